// The run on sockets: the same model behind real listeners, driving real dispatcher processes that the lab
// starts, reloads, ends and kills. Real time, so no two runs are alike; a run in which the lab itself was
// late says so.
#pragma once

#include "lab/figures.h"

namespace woadridge::lab {

struct SocketsOptions {
  std::string dispatcher;  // the program
  std::string folder;      // for configurations and logs; must exist
  std::function<void(double part)> progress;
  const std::atomic<bool>* stop = nullptr;
};

struct SocketsResult {
  Played played;
  Micros worst_lag = 0;    // by which an event of the lab's own loop came late
  std::string no_verdict;  // why there is none; empty: there is
};

// The bound on the lab's own lag; the judge gives as much slack.
constexpr Micros kLagBound = 50'000;

SocketsResult run_sockets(const Scenario& scenario, const SocketsOptions& options);

// The configuration of one dispatcher, as JSON text.
std::string dispatcher_config(const Scenario& scenario, DispatcherId dispatcher, const std::string& listen,
                              const std::string& discovery);

struct FleetCall {  // woadridge-lab fleet
  int workers = 3;
  int slots = 2;
  Micros work = 100'000;
  bool small_writes = false;
  std::uint16_t list_port = 8500;
  std::uint16_t first_worker_port = 8601;
};
int keep_fleet(const FleetCall& call, const std::atomic<bool>& stop);

}  // namespace woadridge::lab
