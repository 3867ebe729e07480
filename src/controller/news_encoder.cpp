#include "controller/news_encoder.h"

#include <algorithm>
#include <utility>

namespace woadridge::controller {
namespace {

constexpr std::size_t kAnswersKept = 16;  // agents that are told often hold one of few versions

}  // namespace

bool NewsEncoder::is_whole(const common::Ask& ask) const {
  const bool whole_plan = plans_.version() > ask.plan && !plans_.holds(ask.plan);
  const bool whole_board = ask.term != board_.term() && ask.sums.empty();
  return whole_plan || whole_board;
}

common::Frame NewsEncoder::answer(const common::Ask& ask, const Newer& newer, Scope scope,
                                  const Holding& holding, const CoreList* core) {
  // By the sums of what one agent holds of an earlier term: for it alone.
  if (newer.board && ask.term != board_.term() && !ask.sums.empty())
    return write(compose(ask, newer, board_, plans_, scope, holding), core);
  const Present present{board_.term(), board_.version(), plans_.version(), core ? *core : CoreList{}};
  if (present != present_) answers_.clear();
  present_ = present;
  const common::Version named = scope == Scope::all ? 0 : std::max(holding.named, ask.seen_plan);
  const Held held{ask.term, ask.board,    ask.plan, newer.board,    newer.plan,
                  scope,    holding.term, named,    core != nullptr};
  if (const auto kept = answers_.find(held); kept != answers_.end()) return kept->second;
  if (answers_.size() >= kAnswersKept) answers_.clear();
  return answers_[held] = write(compose(ask, newer, board_, plans_, scope, holding), core);
}

common::Frame NewsEncoder::write(common::News news, const CoreList* core) {
  if (core) news.core = *core;
  ++encoded_;
  return common::frame_of(common::pack(common::CoreSays{std::move(news)}));
}

}  // namespace woadridge::controller
