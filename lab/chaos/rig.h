// Chaos on real dispatchers: processes on loopback addresses of their own, joined through the relay, with
// faults between them by a schedule; judged from what receivers have met.
#pragma once

#include <atomic>
#include <functional>

#include "lab/chaos/report.h"

namespace woadridge::lab {

struct RigOptions {
  std::string program;             // the dispatcher
  std::string folder;              // logs, configurations, voters' folders
  std::vector<std::string> words;  // further arguments of each
  bool with_group = true;
  Micros call_takes = 0;  // discovery is overbooked
  std::function<void(double)> progress;
  const std::atomic<bool>* stop = nullptr;
};

ChaosReport play_processes(const ChaosScenario& scenario, const std::vector<ChaosFault>& schedule,
                           const RigOptions& options);

}  // namespace woadridge::lab
