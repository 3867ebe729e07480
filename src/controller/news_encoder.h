// Writes what the holder tells its agents: the difference between what an agent holds and what there is.
// Agents that hold the same are told the same, so each difference is encoded once and its bytes are shared.
// No I/O and no clock.
#pragma once

#include <map>
#include <memory>
#include <tuple>

#include "common/frames.h"
#include "common/messages.h"
#include "controller/board.h"
#include "controller/news_composer.h"

namespace woadridge::controller {

using CoreList = decltype(common::News::core);

class NewsEncoder {
 public:
  NewsEncoder(const Board& board, const PlanHistory& plans) : board_(board), plans_(plans) {}

  // Whether the answer is the whole configuration or the whole board: of megabytes, in a large fleet.
  bool is_whole(const common::Ask& ask) const;
  // The answer to that question. `core`: the list of the core's members, where the agent lacks it.
  common::Frame answer(const common::Ask& ask, const Newer& newer, Scope scope, const Holding& holding,
                       const CoreList* core);

  std::size_t encoded() const { return encoded_; }  // answers that were written, not shared

 private:
  // What decides an answer: what the agent holds, and of what it is told.
  using Held = std::tuple<std::uint64_t, common::Version, common::Version, bool, bool, Scope, std::uint64_t,
                          common::Version, bool>;
  // What all kept answers lead to.
  using Present = std::tuple<std::uint64_t, common::Version, common::Version, CoreList>;

  common::Frame write(common::News news, const CoreList* core);

  const Board& board_;
  const PlanHistory& plans_;
  Present present_{};
  std::map<Held, common::Frame> answers_;
  std::size_t encoded_ = 0;
};

}  // namespace woadridge::controller
