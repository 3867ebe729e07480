// Says which rules a soak has broken, from what was seen from outside. No I/O and no clock.
#pragma once

#include <string>
#include <vector>

#include "lab/platform/soak/observations.h"

namespace woadridge::lab::platform::soak {

/// The platform's own settings, in microseconds where they are times.
struct Bounds {
  Micros contact = 0, drain = 0, apply = 0, stretch = 0, recovery = 0;
  int shed_slack = 0;
  int edges = 0, cores = 0;
};

struct Finding {
  std::string rule;
  Micros at = 0;
  std::string where;  ///< the machine or the instance
  std::string what;
};

/// When machines were in touch, from the spans of trouble.
class Contact {
 public:
  Contact(const std::vector<TroubleSpan>& troubles, const Bounds& bounds);
  /// For the whole time from `contact` before `from` until `to` neither that edge nor the core was in
  /// trouble.
  bool edge(int number, Micros from, Micros to) const;
  bool all_edges(Micros from, Micros to) const;
  bool instances(Micros from, Micros to) const;

 private:
  bool calm(Micros from, Micros to, Place place, int number) const;

  const std::vector<TroubleSpan>& troubles_;
  const Bounds& bounds_;
};

/// A request that was handled by what was old: how long it had been old then, and how long no machine that
/// counts for it had been in trouble. What breaks no rule shows how near the rules were.
struct Lateness {
  std::string rule, where, what;
  Micros at = 0, late = 0, calm = 0;
};
std::vector<Lateness> lateness(const Observations& seen, const Bounds& bounds);

std::vector<Finding> judge(const Observations& seen, const Bounds& bounds);

}  // namespace woadridge::lab::platform::soak
