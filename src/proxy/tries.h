// How often one call may still be sent, and what may be said of it. The count belongs to the call: it goes
// with it from proxy to proxy and comes back with the answer. At-most-once calls: Birrell and Nelson,
// "Implementing remote procedure calls" (1984); Spector, "Performing remote operations" (1982).
#pragma once

#include <algorithm>
#include <cstdint>

#include "proxy/planted.h"

namespace woadridge::proxy {

class Tries {
 public:
  Tries() = default;
  // `most`: the route's max-tries. `used`: instances that it may have run on before it came here. `granted`:
  // how many there may be in all when it leaves here.
  Tries(bool repeatable, std::uint32_t most, std::uint32_t used, std::uint32_t granted)
      : repeatable_(repeatable),
        most_(std::max(1u, most)),
        used_(used),
        granted_(std::clamp(granted, 1u, std::max(1u, most))) {
    if (planted(Planted::tries_per_proxy)) used_ = 0, granted_ = most_;
  }
  Tries(bool repeatable, std::uint32_t most) : Tries(repeatable, most, 0, most) {}

  bool repeatable() const { return repeatable_; }
  std::uint32_t most() const { return most_; }
  // Instances that it may have run on, those that are at work included.
  std::uint32_t used() const { return planted(Planted::attempt_out_is_free) ? used_ : used_ + out_; }
  std::uint32_t granted() const { return granted_; }
  bool may_have_run() const { return used() > 0; }

  // It may be sent to an instance, or to a peer, once more.
  bool may_run() const { return used() < granted_ && (repeatable_ || used() == 0); }

  // 429, 503, 408 and 421 say that it has not run and never will.
  bool may_promise() const { return used() == 0 || planted(Planted::promise_after_run); }

  // What a peer gets: one more. It asks for the next by its answer, so that a peer that dies with a call
  // takes one try along and no more.
  std::uint32_t grant_to_peer() const { return std::min(granted_, used() + 1); }

  // An attempt at an instance begins. It counts from now on, as its call may be answered before it ends.
  void begin() { ++out_; }

  // The attempt has ended. The instance has read it, or may have, and has not said that it did not run it.
  void ran() {
    --out_;
    ++used_;
  }

  // The attempt has ended, and has surely not run.
  void not_run() { --out_; }

  // A peer that was given `grant` broke off: it may have used all of that.
  void peer_lost(std::uint32_t grant) {
    if (!planted(Planted::lost_peer_is_free)) used_ = std::max(used_, grant);
  }

  // A peer that was given `grant` says how many were used when it answered.
  void peer_answered(std::uint32_t grant, std::uint32_t told) {
    used_ = std::max(used_, std::min(told, grant));
  }

 private:
  bool repeatable_ = false;
  std::uint32_t most_ = 1;
  std::uint32_t used_ = 0;  // of the attempts that have ended, here and at other proxies
  std::uint32_t out_ = 0;   // attempts of this proxy that have not ended
  std::uint32_t granted_ = 1;
};

}  // namespace woadridge::proxy
