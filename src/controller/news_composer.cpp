#include "controller/news_composer.h"

#include <algorithm>
#include <utility>

namespace woadridge::controller {

bool PlanHistory::take(std::shared_ptr<const common::Plan> plan) {
  if (!plan || plan->version <= version()) return false;
  newest_ = std::move(plan);
  plans_[newest_->version] = newest_;
  if (plans_.size() > kKept) plans_.erase(plans_.begin());
  return true;
}

void PlanHistory::put(common::News& news, common::Version held) const {
  const auto base = plans_.find(held);
  if (base != plans_.end()) return common::put_change(news, *base->second, *newest_);
  news.plan_told = true;
  news.plan = *newest_;
}

Newer newer_for(const common::Ask& ask, const Board& board, bool board_ready, const PlanHistory& plans,
                Scope scope) {
  Newer newer;
  newer.board = board_ready && board.newer_than(ask.term, ask.board);
  newer.plan = scope == Scope::all && plans.version() > ask.plan;
  return newer;
}

common::News compose(const common::Ask& ask, const Newer& newer, const Board& board, const PlanHistory& plans,
                     Scope scope, const Holding& holding) {
  common::News news;
  if (newer.board) {
    const bool other_term = ask.term != board.term() && !ask.sums.empty();
    news = other_term ? board.rebase(ask.sums) : board.since(ask.term, ask.board);
    // Until all are back, whoever holds the peers of an earlier term goes by them.
    if (board.peers().empty()) news.peers_told = false;
  } else {
    news.term = ask.term;  // what it holds stays as it is
    news.board = ask.board;
  }
  if (newer.plan) plans.put(news, ask.plan);
  news.holder_term = holding.term;
  news.plan_confirmed = scope == Scope::all;
  news.newest_plan = scope == Scope::all ? plans.version() : std::max(holding.named, ask.seen_plan);
  return news;
}

}  // namespace woadridge::controller
