// Thresh-SPLIT(d): hint above d -> a small lane for big jobs, the rest -> the other workers.
#pragma once

#include "decide/room.h"

namespace woadridge {

// Own hints before d means anything, hints kept (ten above d at first), arrivals between computations of d.
constexpr std::size_t kWarmUpHints = 20, kHintMemory = 1000, kHintStep = 16;
constexpr double kBigQuantile = 0.99;             // where d starts, from the design page
constexpr double kAlike = 2, kLowQuantile = 0.1;  // told slots: d is at least so many times this hint
// d's factor for each small-lane "full", down to the floor, and back at each computation of d.
constexpr double kThresholdFall = 0.9, kThresholdFloor = 0.05, kThresholdDrift = 1.02;
constexpr Micros kFirstTrial = 500'000;  // a judged worker's first trial comes after this, then doubling

struct Lanes : Rooms {
  void learn_hint(Micros hint) {
    hints.add(hint, kHintMemory);
    if (hints.kept.size() < kWarmUpHints || arrivals % kHintStep != 0) return;
    factor = std::min(1.0, factor * kThresholdDrift);
    if (set.tells_slots && std::exchange(small_waited, false)) lower_factor();
    const double least = set.tells_slots ? kAlike * hints.quantile(kLowQuantile) : 0;
    threshold = std::max(hints.quantile(kBigQuantile) * factor, least);
    big_share = hints.work_above(threshold);
    set_lanes();
  }

  // d falls while the small lane is full and the big lane isn't: big jobs' workers have room for more.
  void see_full(const Worker& w) {
    if (w.big_lane) big_full_at = now;
    else if (now - big_full_at > kFirstTrial) lower_factor();
  }

  void lower_factor() { factor = std::max(kThresholdFloor, factor * kThresholdFall); }

  // For each kind needed the first in hash order, up to big jobs' share; judged ones don't hold a lane.
  void set_lanes() {
    std::vector<Worker*> chosen;
    for (const auto& [kind, row] : shelves.rows()) {
      std::int64_t taken = 0;
      const double wanted = big_share * static_cast<double>(row.size);
      std::size_t n = 0;
      for (const auto& spot : row.workers) {
        const auto with = static_cast<double>(taken + (set.tells_slots ? spot.owner->size - 1 : 0));
        if (++n == row.workers.size() || (n > 1 && with >= wanted)) break;
        chosen.push_back(static_cast<Worker*>(spot.owner));
        taken += chosen.back()->size;
      }
    }
    split = !chosen.empty();  // a lone worker serves both lanes
    for (Worker* w : put_in_big_lane(chosen)) show(*w);
  }
};

}  // namespace woadridge
