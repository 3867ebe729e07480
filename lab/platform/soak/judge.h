// Says which rules a soak has broken, from what was seen from outside. No I/O and no clock.
#pragma once

#include <string>
#include <vector>

#include "lab/platform/soak/observations.h"

namespace woadridge::lab::platform::soak {

/// The platform's own settings, in microseconds where they are times.
struct Bounds {
  Micros contact = 0, drain = 0, apply = 0, recovery = 0, grace = 0, loss_slack = 0, revert_slack = 0;
  Micros retry_window = 0;
  double retry_ratio = 0;
  int retry_slack = 0, max_tries = 1;
  int shed_slack = 0;
  int edges = 0;
};

struct Finding {
  std::string rule;
  Micros at = 0;
  std::string where;  ///< the machine or the instance
  std::string what;
};

/// A request that was handled by what was old: how long it had been old then, and how long no machine that
/// counts for it had been in trouble. What breaks no rule shows how near the rules were.
struct Lateness {
  std::string rule, where, what;
  Micros at = 0, late = 0, calm = 0;
};
std::vector<Lateness> lateness(const Observations& seen);

std::vector<Finding> judge(const Observations& seen, const Bounds& bounds);

}  // namespace woadridge::lab::platform::soak
