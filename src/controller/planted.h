// The faults of this package that a test build can switch on (common/planted.h).
#pragma once

#include "common/planted.h"

namespace woadridge::controller {

enum class Planted {
  none,
  answers_after_lease,    // a holder answers agents without a look at its lease
  acts_after_lease,       // ... and calls the provider
  unconfirmed_is_newest,  // a new holder says that nothing is newer before it has asked a majority
};

using common::planted;
#ifdef WOADRIDGE_PLANTED
inline Planted& planted_now = common::planted_fault<Planted>;
#endif

}  // namespace woadridge::controller
