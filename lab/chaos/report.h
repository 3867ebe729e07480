// What a chaos run has shown, judged by order and number from what receivers have met.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/chaos/schedule.h"

namespace woadridge::lab {

struct ChaosAct {  // of a holder, as one receiver has met it, in its order
  std::string receiver, duty, holder;
  std::uint64_t number = 0;
  bool taken = false;
};

struct Span {  // for the drawing
  std::string duty, holder;
  std::uint64_t number = 0;
  Micros from = 0, to = 0;
};

struct ChaosReport {
  std::map<std::string, int> faults;
  std::uint64_t acts_taken = 0, stale_acts_refused = 0, two_holders = 0;
  std::vector<Micros> gaps;
  std::vector<std::string> violations;  // the name of what was broken first, then where
  std::vector<Span> spans;
  std::vector<ChaosFault> schedule;
  std::string no_verdict;
  std::map<std::string, double> figures;
};

// Judges acts one by one. Kept by the number and the order in which each receiver has taken them: no clock.
class ActJudge {
 public:
  void judge(const ChaosAct& act, ChaosReport& report);

 private:
  std::map<std::pair<std::string, std::uint64_t>, std::string> holder_of_;  // duty and number
  std::map<std::pair<std::string, std::string>, std::uint64_t> highest_;    // receiver and duty
};

std::string report_json(const ChaosReport& report, const std::string& name, std::uint64_t seed);
std::string chaos_page(const ChaosReport& report, const ChaosScenario& scenario);
Micros percentile(std::vector<Micros> values, double share);

}  // namespace woadridge::lab
