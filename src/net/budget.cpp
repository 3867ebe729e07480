#include "net/budget.h"

#include <algorithm>

namespace woadridge::net {
namespace {

// The log, the listener, discovery, the event loop's own (three), a connection being accepted, and files of
// the standard library: about a dozen; the rest is slack.
constexpr int kOwn = 32;
// Each job holds one client connection for as long as it waits or runs, and a worker connection only while it
// runs, or two while there is a copy.
constexpr double kClients = 0.55;

}  // namespace

Budget::Budget(int descriptors) {
  const int shared = std::max(2, descriptors - kOwn);
  most_clients_ = std::max(1, static_cast<int>(kClients * shared));
  most_workers_ = std::max(1, shared - most_clients_);
}

}  // namespace woadridge::net
