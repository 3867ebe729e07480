// What a holder tells an agent that asks: what its board and its configuration have beyond the versions that
// the agent holds. No I/O and no clock.
#pragma once

#include <map>
#include <memory>

#include "common/messages.h"
#include "controller/answer_permit.h"
#include "controller/board.h"

namespace woadridge::controller {

class PlanHistory {  // the newest configuration, and some before it
 public:
  bool take(std::shared_ptr<const common::Plan> plan);  // false: it isn't newer
  const std::shared_ptr<const common::Plan>& newest() const { return newest_; }
  common::Version version() const { return newest_ ? newest_->version : 0; }
  bool holds(common::Version version) const { return plans_.contains(version); }
  void put(common::News& news, common::Version held) const;  // the difference since then, or all of it

 private:
  static constexpr std::size_t kKept = 8;  // an agent that holds none of these is told the whole
  std::shared_ptr<const common::Plan> newest_;
  std::map<common::Version, std::shared_ptr<const common::Plan>> plans_;
};

struct Newer {  // than what the agent holds
  bool board = false, plan = false;
  bool any() const { return board || plan; }
};

// `board_ready`: the board has all that an earlier holder started.
Newer newer_for(const common::Ask& ask, const Board& board, bool board_ready, const PlanHistory& plans,
                Scope scope);
// `scope` is not Scope::elsewhere.
common::News compose(const common::Ask& ask, const Newer& newer, const Board& board, const PlanHistory& plans,
                     Scope scope, const Holding& holding);

}  // namespace woadridge::controller
