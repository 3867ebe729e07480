// A day of a soak: what is done to the processes, the provider's machines and the configuration, and when.
// All of it is drawn from a seed.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace woadridge::lab::platform::soak {

using Millis = std::chrono::milliseconds;

enum class Action {
  kill,       ///< SIGKILL; started again after `lasts`
  wipe,       ///< the same, with an empty disk
  terminate,  ///< SIGTERM, SIGKILL after the grace; started again once it has ended
  interrupt,  ///< SIGTERM, and once more after `lasts`: it ends at once
  freeze,     ///< SIGSTOP, and SIGCONT after `lasts`
  reload,     ///< SIGHUP
  drain,      ///< a machine of the provider takes no more instances, its own are to end
  reset,      ///< connections of instances break off, also under requests
  hold_back,  ///< instances read what is sent to them after `lasts`
  crash,      ///< instances end at work; their addresses are used again
  refuse,     ///< the provider answers each call with 503
  vanish,     ///< the provider takes no connections
};

/// holder: the core machine that holds the duty then; edge: agent and proxy; worker: a machine of the
/// provider; instance: some of all.
enum class Target { core, holder, edge, agent, proxy, worker, instance, provider };

struct Trouble {
  Millis at{0};  ///< after the start of traffic
  Action action = Action::kill;
  Target target = Target::core;
  std::vector<int> numbers;  ///< empty with `holder`
  Millis lasts{0};
  double share = 0;  ///< of the instances
};

struct Burst {
  Millis from{0}, to{0};
  double times = 1;
};

enum class ChangeKind { add_route, drop_route, move_route, invalid };

struct Change {
  Millis at{0};
  ChangeKind kind = ChangeKind::add_route;
  int first_core = 0;  ///< asked first
};

struct Day {
  std::vector<Trouble> troubles;
  std::vector<Change> changes;
  std::vector<Burst> bursts;
  Millis closing{0};       ///< every process is killed
  Millis closing_down{0};  ///< and started again after so long
  Millis length{0};        ///< of traffic, with what follows the closing fault
};

struct DayOptions {
  std::uint64_t seed = 1;
  int cores = 3, edges = 8, workers = 16;
  Millis length{34'000};         ///< before the closing fault
  Millis recovery{15'000};       ///< after it
  bool edges_suffer = true;      ///< else troubles strike the core alone
  bool instances_suffer = true;  ///< and the provider
  bool only_planned =
      false;  ///< operators' work and nothing else: SIGTERM, SIGHUP, changes, machines that drain
  std::optional<Action> edge_action;  ///< the only one that strikes edges; none: any
};

Day draw_day(const DayOptions& options);
std::string describe(const Trouble& trouble);

}  // namespace woadridge::lab::platform::soak
