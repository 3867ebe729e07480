// The group's own code in simulated time: network, folders and clocks are models, everything else is what
// runs in the dispatcher. The same scenario and seed give the same run.
#pragma once

#include <functional>

#include "lab/chaos/report.h"

namespace woadridge::lab {

// Plays the schedule. In a build with planted faults the one that is set takes part.
ChaosReport play_simulated(const ChaosScenario& scenario, const std::vector<ChaosFault>& schedule);

// Leaves out faults as long as something is still broken: what remains is needed for it.
using PlayChaos = std::function<ChaosReport(const ChaosScenario&, const std::vector<ChaosFault>&)>;
std::vector<ChaosFault> shrink(const ChaosScenario& scenario, std::vector<ChaosFault> schedule,
                               const PlayChaos& play);

}  // namespace woadridge::lab
