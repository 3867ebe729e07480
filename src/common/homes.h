// Which proxy is a function's home. Every process that holds the same peers comes to the same answer, so
// nobody has to be asked: rendezvous hashing, the highest draw first, the next one where that can't be
// reached.
#pragma once

#include <string_view>
#include <vector>

#include "common/messages.h"

namespace woadridge::common {

// Places in `peers`, the home first. Empty without peers.
std::vector<std::size_t> homes(std::string_view service, const std::vector<Peer>& peers);

}  // namespace woadridge::common
