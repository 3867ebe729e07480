// What the packages of the group hand back to be done: frames on their way. Nobody here writes to a socket.
#pragma once

#include <string>
#include <vector>

#include "group.pb.h"
#include "group/options.h"

namespace woadridge::group {

struct Sent {
  std::string address;
  wire::Frame frame;  // whom it is for stands in `to`; the node writes the sender's part
};

using Out = std::vector<Sent>;

}  // namespace woadridge::group
