// In a lab that is built without the platform.
#include <iostream>

#include "lab/platform/sim/chain.h"

namespace woadridge::lab::sim {

int run_chain(const ChainCall&, const std::atomic<bool>&) {
  std::cerr << "woadridge-lab: built without the platform (-DWOADRIDGE_PLATFORM=ON)\n";
  return 2;
}

}  // namespace woadridge::lab::sim
