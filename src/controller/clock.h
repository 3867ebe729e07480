// The steady clock of the machine, in microseconds: the core goes by no time of day.
#pragma once

#include <chrono>

#include "decide.h"

namespace woadridge::controller {

inline Micros steady_now() {
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

}  // namespace woadridge::controller
