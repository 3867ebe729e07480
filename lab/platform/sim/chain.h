// The commands `platform FILE`, many runs of one scenario and a report of them, and `platform replacements`.
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

namespace woadridge::lab::sim {

struct ChainCall {
  std::string file, out;
  std::uint64_t seed = 1;
  std::optional<int> runs;
  std::optional<std::size_t> members;
  int jobs = 1;
  bool shrinks = false;
};

struct ReplacementsCall {
  int seeds = 20, jobs = 1;
};

// 0: every rule was kept; 1: one was broken; 2: the scenario is at fault; 4: cut short.
int run_chain(const ChainCall& call, const std::atomic<bool>& stop);
// The table of losses during replacements; 0: each cell is as it must be, 1: one is not.
int run_replacements(const ReplacementsCall& call);

}  // namespace woadridge::lab::sim
