// The faults of this package that a test build can switch on (common/planted.h).
#pragma once

#include "common/planted.h"

namespace woadridge::agent {

enum class Planted {
  none,
  stays_with_silent,  // a holder that doesn't answer is never left
  forgets_its_proxy,  // after a restart the proxy's word of what it holds counts for nothing
};

using common::planted;
#ifdef WOADRIDGE_PLANTED
inline Planted& planted_now = common::planted_fault<Planted>;
#endif

}  // namespace woadridge::agent
