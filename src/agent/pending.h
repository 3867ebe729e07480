// What the proxy reported while nobody took it: one report, in bounds, that says what holds now. No I/O, no
// clock.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "agent/seek.h"
#include "common/messages.h"

namespace woadridge::agent {

class Pending {
 public:
  void add(Millis now, const common::Report& report);
  bool empty() const { return demand_.empty() && reached_.empty() && lost_.empty() && released_.empty(); }
  common::Report take(Millis now);  // and is empty; what is older than the holder can use is left out
  void clear();

  static constexpr std::size_t kMostIds = 512, kMostServices = 8192;
  static constexpr Millis kOld = 3000;

 private:
  struct Aged {
    common::Demand demand;
    Millis at = 0;
  };
  std::vector<Aged> demand_;  // by service
  std::deque<std::string> reached_, lost_, released_;
};

}  // namespace woadridge::agent
