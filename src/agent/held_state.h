// What an agent holds of the platform, the highest that it has seen, and what its proxy must be told of it.
// No I/O and no clock.
//
// Neither a term nor a configuration ever goes back here. What was seen outlives this process in its proxy,
// and the proxy in this one: each tells the other when it starts (a fence token kept by whoever lives on).
#pragma once

#include <cstdint>

#include "common/messages.h"

namespace woadridge::agent {

class HeldState {
 public:
  enum class Feed { nothing, as_told, whole };  // what goes to the proxy
  struct Taken {
    bool stale = false;      // told under a term that is over: the teller is to be left
    bool new_to_us = false;  // something was newer
    Feed feed = Feed::nothing;
  };

  Taken take(const common::News& news);
  void heard_of_term(std::uint64_t term);  // that another machine of the core knows of
  // A proxy has come, and says what it holds. True: that is newer, so all must be asked for anew.
  bool proxy_holds(const common::Ask& ask);
  bool holds_anything() const { return board_.term > 0 || board_.plan.version > 0; }
  common::News whole();  // for the proxy

  const common::Board& board() const { return board_; }
  std::uint64_t seen_term() const { return seen_term_; }
  common::Version seen_plan() const { return seen_plan_; }

 private:
  bool is_stale(const common::News& news) const;

  common::Board board_;
  std::uint64_t seen_term_ = 0;
  common::Version seen_plan_ = 0;
  common::Version proxy_plan_ = 0;  // of the configuration that the proxy was told, or said that it holds
};

}  // namespace woadridge::agent
