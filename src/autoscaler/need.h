// How many instances a function is worth. Everything is weighed in one coin: gigabytes of an instance's
// memory times seconds.
#pragma once

#include <cstdint>

#include "autoscaler/demand_estimate.h"

namespace woadridge::autoscaler {

struct Prices {
  double start = 0.47;  // a start costs as much as so many GB for a second; operators differ little in it
  double late = 0.5;    // an answer that misses its aim, likewise
  double lost = 1.5;    // a request that misses its deadline, likewise
};

struct Trade {  // of one function: what its configuration says
  double memory_gb = 0.128;
  double startup_s = 1;
  std::uint32_t slots = 1;  // of an instance
  double aim_s = 1;         // the shortest of its routes
  double deadline_s = 4;
};

// Of starts that take `startup_s` on average, the share that an aim doesn't wait for.
double share_late_cold(const Trade& trade, double work_s);
// What finding no instance costs, with the requests that come while one starts.
double cost_of_cold(const Prices& prices, const Trade& trade, const Reading& reading);
// Instances for the demand that goes on: the cheapest number, with what waits for a slot and comes late.
std::uint32_t worth_keeping(const Prices& prices, const Trade& trade, const Reading& reading, double margin);
// Instances to start for those that wait now, besides `ready` and `starting`, the first of which is up in
// `up_in_s`.
std::uint32_t worth_starting(const Prices& prices, const Trade& trade, const Reading& reading,
                             std::uint32_t ready, std::uint32_t starting, double up_in_s);

}  // namespace woadridge::autoscaler
