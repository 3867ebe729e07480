// The judge: the four rules, from the workers' and clients' own records alone.
#pragma once

#include <string>
#include <vector>

#include "lab/records.h"

namespace woadridge::lab {

struct Rules {  // what the judge holds a run to
  std::vector<ClassSettings> classes;
  Micros drain_grace = 0;
  Micros slack = 0;  // added to each limit of time: what the lab's own clock may be off by
  double cold_from = 1;
  Micros warm_after = 0;
  double overload_factor = 0;
  Micros overload_span = 0;
};

struct Breach {
  int rule = 0;      // 1 to 4
  std::string what;  // names the request, the worker and the times (seconds of the run)
};

struct Verdict {
  std::vector<Breach> breaches;  // the first hundred of each rule, in the order of time
  std::uint64_t counts[5] = {};  // by rule; 0 is not used
  std::uint64_t lost = 0;        // rule 1, told apart: no answer, ...
  std::uint64_t doubled_answers = 0;
  std::uint64_t late_answers = 0;
  std::uint64_t keys_run_twice = 0;  // run to the end, whoever's doing: clients may ask for it
  bool kept() const { return counts[1] + counts[2] + counts[3] + counts[4] == 0; }
};

// Time: near linear in the records.
Verdict judge(const Rules& rules, const Records& records);

}  // namespace woadridge::lab
