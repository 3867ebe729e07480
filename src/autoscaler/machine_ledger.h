// The machines that instances stand on, and the books of their memory: the provider's word of it runs behind.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decide.h"

namespace woadridge::autoscaler {

struct Machine {  // as the provider shows it
  std::string name, zone;
  std::uint32_t memory_mb = 0, spare_mb = 0;
  bool draining = false;
};

class MachineLedger {
 public:
  explicit MachineLedger(Micros lag) : lag_(lag) {}

  // All of them, as they were asked for at `asked`. The names of those that are gone.
  std::vector<std::string> see(Micros asked, const std::vector<Machine>& machines);
  void take(Micros now, const std::string& machine, std::uint32_t memory_mb, bool by_a_call);
  void give_back(const std::string& machine, std::uint32_t memory_mb);
  void refused(Micros now, const std::string& machine);  // it had no room after all

  bool known() const { return seen_; }
  bool has(const std::string& machine) const;  // there, not counting what only instances named
  bool leaves(const std::string& machine) const;
  std::string zone_of(const std::string& machine) const;
  std::int64_t room(const std::string& machine) const;
  // Where an instance of so much memory goes: the zone asked for first, then where fewest of `beside`
  // (machines of its kind) are, then where most is free.
  std::optional<std::string> place(Micros now, std::string_view zone, std::uint32_t memory_mb,
                                   const std::vector<std::string>& beside) const;

 private:
  struct Call {
    Micros at = 0;
    std::uint32_t memory_mb = 0;
  };
  struct Entry {
    Machine machine;
    bool there = false;
    std::int64_t own_mb = 0;  // of all instances that are known
    std::deque<Call> calls;   // starts that the spare memory doesn't show yet
    Micros shut_until = 0;
  };
  std::int64_t room(const Entry& entry) const;

  Micros lag_;
  bool seen_ = false;
  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace woadridge::autoscaler
