// The list of workers as the source has told it, and what of it the decision module has still to hear.
//
// A whole list of thousands that is handed on in one piece holds up serving, and most of it is no news. The
// roster compares each list with what it holds, keeps only the differences, and hands them on in slices: who
// is to get nothing new first. Later news of a worker replace earlier ones that are still waiting, so a slow
// hand-over never tells anything stale. No I/O, no clock; learning costs O(entries), a slice O(its size).
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "decide.h"

namespace woadridge::roster {

struct Address {  // IPv4 or IPv6 in numbers: there is no DNS
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

struct Member {     // one entry of a list: the module's view of a worker, and where the network finds it
  WorkerInfo info;  // the id is the worker's name
  std::optional<Address> address;
};

struct Members {
  std::int64_t version = 0;
  bool whole = false;  // the whole list, or only what changed
  std::vector<Member> entries;
  int unreadable = 0;  // entries left out
};

class Roster {
 public:
  // What a list changes: the new state of a worker, and what of it is new to the network.
  struct Change {
    const Member* member = nullptr;  // as it is held now; of one that is gone only the id counts
    bool restarted = false;          // by its start: connections to the old process are of no use
    bool moved = false;              // its address is new
  };
  // Takes a list and returns what it changes; valid until the next call.
  const std::vector<Change>& learn(const Members& news);

  // The next of what the module has not heard, at most so many; empty: it has heard all.
  std::vector<WorkerInfo> next(std::size_t most);
  void tell_all();  // the module has to hear of each again
  bool waits() const { return !urgent_.empty() || !calm_.empty(); }

  std::vector<Member> present() const;           // all that are listed
  std::size_t size() const { return present_; }  // workers that are listed, draining ones too
  bool empty() const { return present_ == 0; }
  bool ever_named(const std::string& id) const { return held_.contains(id) || left_.contains(id); }

 private:
  struct Held {
    Member member;
    std::uint64_t seen = 0;  // the last whole list that named it
    bool waits = false;      // the module has not heard its state
    bool told = false;       // the module knows of it
  };
  void note(const std::string& id, Held& held);
  void take(const Member& entry);
  void drop(const std::string& id, Held& held);
  void remember_left(const std::string& id);

  std::unordered_map<std::string, Held> held_;
  std::unordered_set<std::string> left_;   // ids that lists have named and that are gone, the latest ...
  std::deque<std::string> left_order_;     // ... in the order in which they went
  std::deque<std::string> urgent_, calm_;  // an id may be in both: the first time counts
  std::vector<Change> changes_;
  std::uint64_t lists_ = 0;
  std::size_t present_ = 0;
};

}  // namespace woadridge::roster
