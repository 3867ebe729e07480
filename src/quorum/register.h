// A register: a value held by the members together, changed by prepare and accept at a majority (CASPaxos,
// Rystsov 2018). Here: what one member holds of one register, and the asking side of one operation. No I/O,
// no clock.
//
// Why nothing acknowledged is lost, also when disks are (at most as many as leave a majority of the members
// with theirs). An acknowledged value was accepted under ballot b, on disk, at a majority Q, after a majority
// P had promised b on disk. Members whose disk is as they left it answer as in Paxos: any later prepare meets
// Q. A member x that lost its disk answers nothing until it has had a promise of a ballot b' of its own from
// m of the *others* R, m being a majority of *all* members, and then holds the newest value of those as its
// own proposal under b':
//  - x was in Q: of Q without x are m-1 members, R are m of n-1 others, 2m-1 > n-1: they meet. Who is in both
//  has
//    accepted b, or has promised b before x accepted it, so b' > b and R accepts b no more. What is not in R
//    and not x is less than a majority less one: either b was accepted by one of R and x finds it, or b is
//    never acknowledged.
//  - x had promised b and no more: the promise is gone. Every promise names the life of the disk that keeps
//  it
//    and all newer lives that its giver knows, and R holds x's new life on disk before x takes part. Of the
//    others that promised b one, p, is in R (m-1 and m of n-1 others). Promised before p was in R: b' > b,
//    and nothing below b' is accepted by R or x any more. After: p's promise tells of x's new life, and the
//    asker begins again, so nobody accepts anything that rests on the promise that is gone, not even the
//    asker alone (a later round would take that for what may have been chosen). Accepts name the lives that
//    promised them, and who knows of a newer one refuses.
//  - b' is x's alone: whatever x proposed in an earlier life was promised by a majority, so by one of R.
//
// Members may change: "majority" is one of the list in force, or of the two lists of a joint one each
// (electorate.h), and what is counted together is of one epoch. Why that loses nothing either:
// docs/design/control-safety.md.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/rows.h"
#include "quorum/electorate.h"
#include "quorum/messages.h"

namespace woadridge::quorum {

using common::Bytes;
using common::bytes_of;
using common::Rows;

struct Held {
  Ballot promised, accepted;
  Bytes value;
};

class Register {  // what this member holds
 public:
  explicit Register(std::string name) : name_(std::move(name)) {}
  void load(const Rows& kept);
  Rows rows() const;            // of all that isn't on disk for sure
  void kept(const Held& held);  // that is on disk now

  const std::string& name() const { return name_; }
  const Held& now() const { return now_; }
  const Held& safe() const { return safe_; }  // what survives: all that may be counted on
  void hold(Held held) { now_ = std::move(held); }
  bool promise(const Ballot& ballot, std::uint64_t round);  // false: something stands against it
  bool accept(const Ballot& ballot, Bytes value);

 private:
  std::string name_;
  Held now_, safe_;
  std::uint64_t promised_round_ = 0;  // the asker may ask again
};

using Change =
    std::function<std::optional<std::string>(const std::string*)>;  // none: leave it; null: no value yet
using Envelopes = std::vector<std::pair<std::string, Message>>;

class Operation {  // the asking side: one read or change, over as many rounds as it takes
 public:
  /// claim: a change that first asks whether leases stand against it; carry: whatever may have been chosen is
  /// accepted anew.
  enum class Kind { read, change, claim, carry };
  enum class End { open, done, declined, failed };
  struct Order {
    Kind kind = Kind::read;
    std::string name;
    Change change;
    Micros until = 0;
    Micros patience = 300'000;  // claim: look again at the latest after so long
  };

  struct Now {
    Micros time = 0;
    std::uint64_t chance = 0;   // drawn anew for each call
    std::uint64_t fresh = 0;    // a number for a round
    std::uint64_t counter = 0;  // above all ballots that this member has seen of the register
    const Held* own = nullptr;  // what this member holds itself
  };

  Operation(std::uint64_t ticket, Order order, std::string ballots_of, Electorate group);
  std::uint64_t ticket() const { return ticket_; }
  const std::string& name() const { return order_.name; }
  std::uint64_t round() const { return round_; }
  bool resting() const { return phase_ == Phase::resting; }
  bool writes() const {  // one at a time for each register
    return order_.kind == Kind::change || order_.kind == Kind::carry || full_;
  }
  /// Another list is in force: the operation begins anew with its majorities, what it had counts for nothing.
  void regroup(Electorate group, const Now& now);
  std::uint64_t epoch() const { return group_.epoch(); }
  End end() const { return end_; }
  bool newly() const { return newly_; }             // its value was accepted in its own round
  const Ballot& ballot() const { return chosen_; }  // done: what a majority has accepted
  const Bytes& value() const { return value_; }
  Micros sent_accept() const { return sent_accept_; }
  Micros due() const;

  Envelopes begin(const Now& now);  // of its first round, or of the next one after a rest
  Envelopes tick(const Now& now);   // once due() has come
  Envelopes receive(const std::string& from, const Holds& message, const Now& now);
  Envelopes receive(const std::string& from, const Promise& message, const Now& now);
  Envelopes receive(const std::string& from, const Accepted& message, const Now& now);
  std::uint64_t highest_seen() const { return highest_; }

 private:
  enum class Phase { idle, query, prepare, accept, resting };
  bool counts(const std::string& from, std::uint64_t epoch) const {
    return group_.contains(from) && epoch == group_.epoch();
  }
  Envelopes to_missing(const std::string* only = nullptr) const;
  Envelopes prepare(const Now& now);
  Envelopes rest(const Now& now, Micros least);
  void saw(const Ballot& b) {
    if (b.counter > highest_) highest_ = b.counter;
  }

  std::uint64_t ticket_;
  Order order_;
  std::string ballots_of_;
  Electorate group_;
  Phase phase_ = Phase::idle;
  End end_ = End::open;
  bool full_ = false, newly_ = false;
  std::uint64_t round_ = 0;
  unsigned tries_ = 0;
  Ballot ballot_, have_, best_, chosen_;
  Bytes have_value_, best_value_, value_;
  std::map<std::string, Holds> holds_;
  std::map<std::string, Promise> promises_;
  Lives promised_by_;
  std::map<std::string, std::uint64_t> lives_;  // the newest that those who promised know of
  std::set<std::string> for_, against_;
  std::uint64_t highest_ = 0;
  Micros again_ = 0, settle_ = 0, sent_accept_ = 0;
  std::uint32_t lease_left_ms_ = 0;
};

}  // namespace woadridge::quorum
