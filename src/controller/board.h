// What the holder tells, and to whom: the board with the version that changed each part last, and the roll of
// proxies. No I/O and no clock.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "common/messages.h"
#include "decide.h"

namespace woadridge::controller {

class Board {
 public:
  void begin(std::uint64_t term);  // an empty board of a new term
  void peers(const std::vector<common::Peer>& peers);
  void change(const common::Instance& instance);
  void home(const std::string& id, const std::string& home, const std::string& waits_for);
  void gone(const std::string& id);

  const common::Instance* find(const std::string& id) const;
  std::uint64_t term() const { return term_; }
  common::Version version() const { return version_; }
  const std::vector<common::Peer>& peers() const { return peers_; }
  bool newer_than(std::uint64_t term, common::Version version) const {
    return term != term_ || version != version_;
  }
  // The differences since then; all of it for another term, or a version before what is remembered. Takes
  // time by what has changed, not by what there is.
  common::News since(std::uint64_t term, common::Version version) const;
  // For one that holds a board of another term: only the buckets whose sums differ.
  common::News rebase(const std::vector<std::uint64_t>& sums) const;

 private:
  struct Stamped {
    common::Instance instance;
    common::Version changed = 0;
  };
  void put_all(common::News& news) const;

  std::uint64_t term_ = 0;
  common::Version version_ = 0, peers_changed_ = 0;
  common::Version machine_ledger_ = 0;  // who holds an older one may hold instances that nobody remembers
  std::vector<common::Peer> peers_;
  std::map<std::string, Stamped> instances_;
  std::map<common::Version, const Stamped*> by_version_;      // of its last change
  std::deque<std::pair<common::Version, std::string>> gone_;  // oldest first
};

class ProxyRoster {  // of the proxies, by their agents' questions
 public:
  // Of a term: nobody is known. `first`: the first ever, so no proxy holds the board of an earlier one.
  void begin(Micros now, bool first = true);
  void asked(Micros now, const common::Ask& ask);
  void leaving(const std::string& name);
  void wire_ended(Micros now, const std::string& name);
  std::vector<common::Peer> at(Micros now);   // by name; forgets those that are gone
  std::vector<common::Peer> present() const;  // the same, and those that are leaving
  // Whether those of an earlier term are back, as far as can be known: told of half of them, the proxies
  // would take the other half's functions for their own while those serve on. Once settled, it is for the
  // term.
  bool settled(Micros now);

 private:
  struct Entry {
    common::Peer peer;
    Micros asked_at = 0, ended_at = 0;  // ended_at 0: its wire stands
    bool leaving = false;
  };
  std::map<std::string, Entry> entries_;
  Micros began_ = 0, newest_at_ = 0;  // newest_at_: the last newcomer's time
  std::size_t expected_ = 0;          // proxies on the longest list of an earlier term
  bool first_ = true;                 // of all terms
  bool earlier_ = false;              // someone holds the board of an earlier term
  bool settled_ = false;
};

}  // namespace woadridge::controller
