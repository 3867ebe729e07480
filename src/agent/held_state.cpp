#include "agent/held_state.h"

#include <algorithm>
#include <tuple>

#include "agent/planted.h"

namespace woadridge::agent {

bool HeldState::is_stale(const common::News& news) const {
  if (planted(Planted::takes_lower_term)) return false;
  return news.holder_term < seen_term_ || news.term < board_.term;
}

HeldState::Taken HeldState::take(const common::News& news) {
  Taken taken;
  taken.stale = is_stale(news);
  if (taken.stale) return taken;
  const auto before = std::make_tuple(board_.term, board_.version, board_.plan.version);
  const bool below = news.plan_told && news.plan.version < seen_plan_ && !planted(Planted::takes_lower_plan);
  if (below) {
    common::News without = news;
    without.plan_told = false;
    board_.apply(without);
  } else {
    board_.apply(news);
  }
  seen_term_ = std::max(seen_term_, news.holder_term);
  seen_plan_ = std::max({seen_plan_, board_.plan.version, news.newest_plan});
  taken.new_to_us = before != std::make_tuple(board_.term, board_.version, board_.plan.version);
  if (!taken.new_to_us && !news.whole) return taken;
  // The proxy can use a difference only from what it holds itself.
  const bool base_differs = news.plan_told && news.plan_from != 0 && news.plan_from != proxy_plan_;
  taken.feed = below || base_differs ? Feed::whole : Feed::as_told;
  if (taken.feed == Feed::as_told) proxy_plan_ = std::max(proxy_plan_, board_.plan.version);
  return taken;
}

void HeldState::heard_of_term(std::uint64_t term) {
  seen_term_ = std::max(seen_term_, term);
}

bool HeldState::proxy_holds(const common::Ask& ask) {
  proxy_plan_ = ask.plan;
  if (planted(Planted::forgets_its_proxy)) return false;
  seen_term_ = std::max(seen_term_, ask.term);
  seen_plan_ = std::max({seen_plan_, ask.plan, ask.seen_plan});
  const bool newer_board = ask.term > board_.term, newer_plan = ask.plan > board_.plan.version;
  if (newer_board) {
    common::Board none;
    none.plan = std::move(board_.plan);
    board_ = std::move(none);
  }
  if (newer_plan) board_.plan = {};
  return newer_board || newer_plan;
}

common::News HeldState::whole() {
  common::News news = board_.whole();
  news.newest_plan = seen_plan_;
  proxy_plan_ = std::max(proxy_plan_, board_.plan.version);
  return news;
}

}  // namespace woadridge::agent
