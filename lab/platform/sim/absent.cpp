// In a lab that is built without the platform.
#include <iostream>

#include "lab/platform/sim/chain.h"

namespace woadridge::lab::sim {

namespace {

int built_without() {
  std::cerr << "woadridge-lab: built without the platform (-DWOADRIDGE_PLATFORM=ON)\n";
  return 2;
}

}  // namespace

int run_chain(const ChainCall&, const std::atomic<bool>&) {
  return built_without();
}

int run_replacements(const ReplacementsCall&) {
  return built_without();
}

}  // namespace woadridge::lab::sim
