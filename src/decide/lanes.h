// Thresh-SPLIT(d): hint above d -> a small lane for big jobs, the rest -> the other workers.
#pragma once

#include "decide/room.h"

namespace woadridge {

constexpr std::size_t kWarmUpHints = 20;   // own hints before d means anything: below, all jobs are small
constexpr std::size_t kHintMemory = 1000;  // hints kept: ten lie above the 99th percentile
constexpr std::size_t kHintStep = 16;      // arrivals between two computations of d: it moves slowly
constexpr double kBigQuantile = 0.99;      // where d starts, from the design page
// d's factor for each small-lane "full", down to the floor, and back at each computation of d.
constexpr double kThresholdFall = 0.9, kThresholdFloor = 0.05, kThresholdDrift = 1.02;
constexpr Micros kFirstTrial = 500'000;  // a judged worker's first trial comes after this, then doubling

struct Lanes : Rooms {
  void learn_hint(Micros hint) {
    hints.add(hint, kHintMemory);
    if (hints.kept.size() < kWarmUpHints || arrivals % kHintStep != 0) return;
    factor = std::min(1.0, factor * kThresholdDrift);
    threshold = hints.quantile(kBigQuantile) * factor;
    big_share = hints.work_above(threshold);
    set_lanes();
  }

  // d falls while the small lane is full and the big lane isn't: big jobs' workers have room for more.
  void see_full(const Worker& w) {
    if (w.big_lane) big_full_at = now;
    else if (now - big_full_at > kFirstTrial) factor = std::max(kThresholdFloor, factor * kThresholdFall);
  }

  // The big lane: for each kind that a class needs the first workers in hash order, up to the big jobs'
  // share of the size. A lane must outlive its only worker, so judged ones are passed over.
  void set_lanes() {
    std::vector<Worker*> chosen;
    for (const auto& [kind, row] : shelves.rows()) {
      std::int64_t taken = 0;
      const double wanted = big_share * static_cast<double>(row.size);
      std::size_t n = 0;
      for (const auto& spot : row.workers) {
        if (n + 1 == row.workers.size() || (n > 0 && static_cast<double>(taken) >= wanted)) break;
        ++n;
        chosen.push_back(static_cast<Worker*>(spot.owner));
        taken += chosen.back()->size;
      }
    }
    split = !chosen.empty();  // a lone worker serves both lanes
    for (Worker* w : put_in_big_lane(chosen)) show(*w);
  }
};

}  // namespace woadridge
