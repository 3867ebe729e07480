// What a run amounts to: figures, their course over time, and the JSON report that all pages are drawn from.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/judge.h"
#include "lab/virtual.h"

namespace woadridge::lab {

using Json = nlohmann::ordered_json;

struct ProcessSample {  // of a real dispatcher, on sockets
  std::string name;
  Micros at = 0;   // of the run
  double cpu = 0;  // of a core, since the sample before
  double memory_mb = 0;
  int descriptors = 0;
};

struct Played {       // one policy's run of a scenario
  std::string label;  // who decided
  RunResult result;
  Verdict verdict;
  std::vector<ProcessSample> processes;
};

Rules rules_for(const Scenario& scenario, Micros slack);
Played play_virtual(const Scenario& scenario, Policy policy, const RunOptions& options);  // and judged

// The report of one scenario; the first run is the one that counts, the others are set beside it. Holds
// neither times of the lab itself nor names of files: the same runs give the same bytes.
Json report_of(const Scenario& scenario, const std::string& mode, const std::vector<Played>& runs);

std::string digest_of(const Records& records);  // 128 bit of xxhash over all records, in hexadecimal
std::string events_csv(const Records& records);

}  // namespace woadridge::lab
