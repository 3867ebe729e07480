// Soaks: the platform's own programs as real processes, with stand-ins round them, through a day of troubles
// that is drawn from a seed; what was seen from outside is judged by the rules.
#pragma once

#include <atomic>
#include <string>

#include "lab/platform/nodes.h"
#include "lab/platform/soak/day.h"

namespace woadridge::lab::platform::soak {

struct SoakCall {
  Layout layout;
  NodeOptions nodes;  ///< folder: of all runs; empty: one under /tmp
  DayOptions day;     ///< seed: of the first run; cores and edges: the layout's
  int runs = 1;
  int functions = 100;
  double requests_per_s = 200;
  std::uint32_t worker_memory_mb = 8192;
  bool quotas = false;  ///< processes get the parts of a core that their settings name, not all they want
  bool keep = false;    ///< the folders of clean runs, too
};

/// 0: no rule was broken; 1: one was; 2: a run could not be judged.
int run_soak(const SoakCall& call, const std::atomic<bool>& stop);

}  // namespace woadridge::lab::platform::soak
