// The whole platform on one machine: its processes, and stand-ins for what is round them. For a person to
// try, or to check itself.
#pragma once

#include <atomic>
#include <optional>
#include <string>

#include "lab/platform/nodes.h"
#include "lab/platform/provider.h"

namespace woadridge::lab::platform {

struct TrialCall {
  Layout layout;
  NodeOptions nodes;  // folder empty: one under /tmp that goes with the trial
  std::string configuration = "examples/platform/configuration.json";
  int workers = 4;
  std::uint32_t memory_mb = 4096;
  double work_ms = 80;
  bool check = false;
};

// Until it is told to stop, or its checks are through. 0: as it should be; 1: not.
int run_trial(const TrialCall& call, const std::atomic<bool>& stop);

}  // namespace woadridge::lab::platform
