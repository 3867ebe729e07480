// What the voters' log says once it is applied: sessions of members, duties, who holds which by which number,
// and which folders vote. The same at each voter. No I/O, no clock, no decisions.
#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "group.pb.h"

namespace woadridge::duty {

struct Who {  // a member's process
  std::string name;
  std::uint64_t run = 0;
  auto operator<=>(const Who&) const = default;
};

class Ledger {
 public:
  struct Duty {
    std::uint64_t number = 0;  // of who holds it; 0: nobody does
    Who holder;
  };
  struct Open {
    std::string zone;
    std::uint64_t changed = 0;                   // index of the entry that last changed what it holds
    std::map<std::string, std::uint64_t> holds;  // duty: number
  };

  void load(const std::string& state, std::uint64_t index);
  std::string state() const;
  void apply(const wire::LogEntry& entry);

  const std::map<Who, Open>& sessions() const { return sessions_; }
  const std::map<std::string, Duty>& duties() const { return duties_; }
  const std::set<std::string>& free() const { return free_; }
  const std::map<std::string, std::uint64_t>& voters() const { return voters_; }
  std::uint64_t last_number() const { return last_number_; }
  std::uint64_t index() const { return index_; }
  // Who holds what was given out by that number; null: nobody any more.
  const std::string* duty_of(std::uint64_t number) const;
  // Sessions whose holdings have changed since the last call.
  std::set<Who> take_changed() { return std::exchange(changed_, {}); }

 private:
  void release(const std::string& duty);
  void assign(const wire::Assignment& a);

  std::map<Who, Open> sessions_;
  std::map<std::string, Duty> duties_;
  std::map<std::uint64_t, std::string> by_number_;
  std::set<std::string> free_;
  std::map<std::string, std::uint64_t> voters_;
  std::uint64_t last_number_ = 0;
  std::uint64_t index_ = 0;
  std::set<Who> changed_;
};

std::string zone_of(const std::string& duty);  // duties are named kind/zone or kind/zone/thing

}  // namespace woadridge::duty
