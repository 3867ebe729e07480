// One run: a schedule played on a world, and what must hold when all is calm again.
#pragma once

#include <map>
#include <optional>

#include "lab/platform/sim/schedule.h"
#include "lab/platform/sim/world.h"

namespace woadridge::lab::sim {

struct Longest {  // in calm times
  Micros acknowledged = 0, handed_on = 0, taken_over = 0, whole = 0, replaced = 0, agents = 0;
};

struct Run {
  std::uint64_t seed = 0;
  std::size_t members = 0;
  std::optional<Broken> broken;
  std::map<Kind, int> troubles;  // that were possible when their time came
  std::size_t changes = 0;       // acknowledged
  std::size_t agent_cuts = 0, agent_restarts = 0;
  std::uint64_t views = 0, terms = 0, epochs = 0, digest = 0;
  std::vector<std::string> notes, machines;  // of a run that broke a rule: what was logged, how it ended
  Longest longest;
};

Run play(const Scenario& scenario, std::uint64_t seed, const Schedule& schedule);

// Leaves out entries as long as the same rule stays broken.
Schedule shortest(const Scenario& scenario, std::uint64_t seed, const Schedule& schedule, Rule rule);

}  // namespace woadridge::lab::sim
