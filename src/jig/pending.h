// What the proxy reported while nobody took it: one report, in bounds, that says what holds now. No I/O, no
// clock.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "jig/seek.h"
#include "toolbox/messages.h"

namespace woadridge::jig {

class Pending {
 public:
  void add(Millis now, const toolbox::Report& report);
  bool empty() const { return demand_.empty() && reached_.empty() && lost_.empty(); }
  toolbox::Report take(Millis now);  // and is empty; what is older than the holder can use is left out
  void clear();

  static constexpr std::size_t kMostIds = 512, kMostServices = 8192;
  static constexpr Millis kOld = 3000;

 private:
  struct Aged {
    toolbox::Demand demand;
    Millis at = 0;
  };
  std::vector<Aged> demand_;  // by service
  std::deque<std::string> reached_, lost_;
};

}  // namespace woadridge::jig
