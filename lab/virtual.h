// The virtual run: simulated time, every dispatcher's decisions taken by real instances of the decision
// module (or of a baseline), the fleet and the clients by the lab's model. The same scenario and seed give
// the same records to the byte, on any machine and with any number of jobs.
#pragma once

#include <atomic>
#include <functional>

#include "lab/fleet.h"
#include "lab/policy.h"

namespace woadridge::lab {

struct Sample {                    // of one second
  std::vector<std::int16_t> jobs;  // at each worker
  std::vector<Doing> doing;
};

struct RunOptions {
  int jobs = 1;
  std::function<void(double part)> progress;  // called now and then, from one thread
  const std::atomic<bool>* stop = nullptr;    // set: the run ends early, and says so
  // Changes what a dispatcher is about to do: for tests that plant a bug and want the judge to find it.
  std::function<void(Micros, DispatcherId, const Event&, std::vector<Action>&)> tamper;
};

struct RunResult {
  Records records;
  std::vector<Sample> samples;
  std::uint64_t events = 0;     // handed to the deciders
  std::uint64_t decisions = 0;  // sends, refusals and failures that came back
  bool partial = false;
};

RunResult run_virtual(const Scenario& scenario, Policy policy, const RunOptions& options);

}  // namespace woadridge::lab
