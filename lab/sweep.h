// Many runs of one scenario: a grid of varied keys, each with several seeds; and what differs between two
// reports.
#pragma once

#include "lab/figures.h"

namespace woadridge::lab {

struct Vary {
  std::string key;
  std::vector<std::string> values;  // as in TOML
};

struct SweepOptions {
  std::vector<Vary> vary;
  std::vector<Setting> settings;  // in force for all
  int seeds = 3;                  // the scenario's own and those after it
  int jobs = 1;                   // runs at a time
  std::function<void(double part)> progress;
  const std::atomic<bool>* stop = nullptr;
};

// Plays the whole grid. Each cell has, by figure, the median over the seeds with a 95% interval (bootstrap
// with a fixed seed), and the values themselves.
std::variant<Json, std::vector<Fault>> sweep(const std::string& file, const SweepOptions& options);
std::string sweep_table(const Json& sweep);

// Figure by figure; of sweeps also which differences lie within the spread of the seeds. Empty text: nothing
// to compare, and `wrong` says why.
std::string compare(const Json& a, const Json& b, std::string& wrong);

struct Interval {
  double median = 0, low = 0, high = 0;
};
Interval median_of(std::vector<double> values);  // 95%, by bootstrap

}  // namespace woadridge::lab
