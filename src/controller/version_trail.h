// What a holder's board and configuration were some time ago: an agent that still holds less is behind, and
// not just on its way. No I/O and no clock.
#pragma once

#include <cstdint>
#include <deque>

#include "common/messages.h"
#include "decide.h"

namespace woadridge::controller {

class VersionTrail {
 public:
  struct Versions {
    std::uint64_t term = 0;
    common::Version board = 0, plan = 0;
  };
  /// News of a moment ago may be under way.
  static constexpr Micros kLate = 3'000'000;

  void begin() { entries_.clear(); }
  void note(Micros now, Versions present);
  /// Whether what was there `kLate` ago is more than that.
  bool is_behind(Micros now, const Versions& held) const;

 private:
  struct Entry {
    Micros at = 0;
    Versions versions;
  };
  std::deque<Entry> entries_;  // oldest first; of those older than kLate the newest alone
};

}  // namespace woadridge::controller
