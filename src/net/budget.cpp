#include "net/budget.h"

#include <algorithm>

namespace woadridge::net {
namespace {

// The log, the listener, two watches on discovery while it moves, the event loop's own (three), a connection
// being accepted, the configuration while it is read, and files of the standard library: about fifteen; the
// rest is slack.
constexpr int kOwn = 32;
// Usual clients hold a third of all descriptors at most while they ask. The rest of the clients' share is for
// their idle connections and for strangers, who are put out first. Each job out holds one connection to a
// worker, or two while there is a copy.
constexpr double kClients = 0.55;
// Of the clients' share a part stays free for telling newcomers that there is no room: each is held for about
// a round trip, so a few serve thousands a second.
constexpr int kTurnstilePart = 8;
constexpr int kTurnstileMost = 16;
constexpr std::int64_t kMegabyte = 1 << 20;
constexpr std::int64_t kMemoryUntold = 192;  // megabytes: the most that the deployment page speaks of
constexpr std::int64_t kBufferPart = 3;  // a third: code, books and what the allocator keeps take the rest

}  // namespace

Budget::Budget(int descriptors, int operators) {
  const int shared = std::max(2, descriptors - kOwn - operators);
  most_clients_ = std::max(1, static_cast<int>(kClients * shared));
  turnstile_ = std::clamp(most_clients_ / kTurnstilePart, most_clients_ > 1 ? 1 : 0, kTurnstileMost);
  most_workers_ = std::max(1, shared - most_clients_);
}

BufferSpace::BufferSpace(std::int64_t memory_mb)
    : whole_(static_cast<std::size_t>((memory_mb > 0 ? memory_mb : kMemoryUntold) * kMegabyte / kBufferPart)),
      most_(whole_) {}

}  // namespace woadridge::net
