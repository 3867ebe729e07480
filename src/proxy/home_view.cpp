#include "proxy/home_view.h"

#include <algorithm>
#include <utility>

#include "common/homes.h"

namespace woadridge::proxy {
namespace {

constexpr Micros kSettle = 400'000;  // some works of an instance: what one that is gone has out there ends

}  // namespace

ViewChange HomeView::told(Micros now, const common::News& news) {
  ViewChange change;
  const bool first_board = board_.term == 0;
  const bool other_term = news.term != board_.term;
  change.peers = news.peers_told && news.peers != board_.peers;
  const auto plan_before = board_.plan.version;
  change.taken = board_.apply(news);
  change.plan = board_.plan.version != plan_before;
  if (!change.taken) return change;
  if (news.whole || !news.buckets.empty()) {
    std::vector<std::string> gone;
    for (const auto& [id, function] : function_of_)
      if (!board_.instances.contains(id)) gone.push_back(id);
    for (const auto& id : gone) forget(id, change);
  }
  for (const auto& id : news.gone) forget(id, change);
  if (change.peers) {
    draws_.clear();
    down_until_.clear();
    peer_at_.clear();
    for (std::size_t at = 0; at < board_.peers.size(); ++at) peer_at_[board_.peers[at].name] = at;
  }
  for (const auto& told : news.changed) {
    const auto& instance = board_.instances.at(told.id);
    change.functions.insert(instance.service);
    function_of_[instance.id] = instance.service;
    instances_[instance.service][instance.id] = instance;
    note(now, instance, first_board);
    if (instance.waits_for == own_) to_release_.emplace(instance.id, now);
    else to_release_.erase(instance.id);
  }
  if (other_term) ask_for_releases(now);
  return change;
}

// A new holder has heard of none that was told to the one before.
void HomeView::ask_for_releases(Micros now) {
  for (const auto& [id, instance] : board_.instances)
    if (instance.waits_for == own_) to_release_.emplace(id, now);
}

void HomeView::forget(const std::string& instance, ViewChange& change) {
  const auto found = function_of_.find(instance);
  if (found == function_of_.end()) return;
  change.functions.insert(found->second);
  change.gone.push_back(instance);
  instances_[found->second].erase(instance);
  function_of_.erase(found);
  history_.forget(instance);
  to_release_.erase(instance);
}

bool HomeView::is_down(Micros now, const std::string& peer) const {
  const auto down = down_until_.find(peer);
  return down != down_until_.end() && down->second > now;
}

const common::Peer* HomeView::peer(const std::string& name) const {
  const auto at = peer_at_.find(name);
  return at == peer_at_.end() ? nullptr : &board_.peers[at->second];
}

const std::string& HomeView::function_of(const std::string& instance) const {
  static const std::string none;
  const auto found = function_of_.find(instance);
  return found == function_of_.end() ? none : found->second;
}

std::vector<std::string> HomeView::functions() const {
  std::vector<std::string> all;
  for (const auto& [function, instances] : instances_)
    if (!instances.empty()) all.push_back(function);
  return all;
}

const common::Peer* HomeView::by_draw(Micros now, const std::string& function) {
  auto found = draws_.find(function);
  if (found == draws_.end()) found = draws_.emplace(function, common::homes(function, board_.peers)).first;
  for (const auto at : found->second) {
    const auto& peer = board_.peers[at];
    if (peer.name == own_) {
      if (leaving_) continue;
      return nullptr;
    }
    if (!is_down(now, peer.name)) return &peer;
  }
  return nullptr;  // nobody else is there
}

const common::Peer* HomeView::owner(Micros now, const common::Instance& instance) {
  if (instance.home.empty()) return by_draw(now, instance.service);
  if (instance.home == own_ && !leaving_) return nullptr;
  const auto* named = peer(instance.home);
  if (named == nullptr || is_down(now, instance.home)) return by_draw(now, instance.service);
  return named;
}

HomeReason HomeView::reason_for(Micros now, const common::Instance& instance, const std::string& home) {
  if (instance.home == home) return HomeReason::named;
  if (!instance.home.empty())
    return is_down(now, instance.home) ? HomeReason::unreachable : HomeReason::drawn;
  const auto& order = draws_[instance.service];
  const bool passed_over = !order.empty() && is_down(now, board_.peers[order.front()].name);
  return passed_over ? HomeReason::unreachable : HomeReason::drawn;
}

std::vector<HomeGroup> HomeView::groups(Micros now, const std::string& function) {
  std::vector<HomeGroup> all;
  const auto found = instances_.find(function);
  if (found == instances_.end()) return all;
  for (const auto& [id, instance] : found->second) {
    if (instance.condition == common::Condition::draining) continue;
    const auto* peer = owner(now, instance);
    auto group = std::find_if(all.begin(), all.end(), [&](const HomeGroup& g) { return g.peer == peer; });
    if (group == all.end()) group = all.insert(all.end(), HomeGroup{peer, 0, 0});
    (instance.condition == common::Condition::ready ? group->up : group->starting) += instance.capacity;
  }
  return all;
}

bool HomeView::is_home(Micros now, const std::string& function) {
  const auto all = groups(now, function);
  if (all.empty()) return by_draw(now, function) == nullptr;
  return std::any_of(all.begin(), all.end(), [](const HomeGroup& g) { return g.peer == nullptr; });
}

Micros HomeView::usable_from(const std::string& instance) const {
  const auto* entry = history_.find(instance);
  return entry == nullptr ? 0 : entry->usable_from;
}

void HomeView::note(Micros now, const common::Instance& instance, bool first_board) {
  const auto* peer = owner(now, instance);
  const auto& name = peer == nullptr ? own_ : peer->name;
  const bool changed = history_.see(now, instance.id, name, instance.waits_for);
  if (!changed && usable_from(instance.id) != kNever) return;
  history_.reason(instance.id, reason_for(now, instance, name));
  history_.usable_from(instance.id, usable_at(now, instance, first_board));
}

Micros HomeView::usable_at(Micros now, const common::Instance& instance, bool first_board) const {
  const bool knows_proxies = !board_.peers.empty();
  if (instance.home.empty() || (instance.home != own_ && !knows_proxies)) return kNever;
  if (!instance.waits_for.empty() && instance.waits_for != own_) return now + longest_hand_over_;
  if (instance.home != own_) return now + settle_after(now, history_.find(instance.id)->before);
  // An earlier life of this process may have calls out.
  const bool alone = board_.peers.size() == 1;
  if (first_board) return alone ? now : now + kSettle;
  return now + settle_after(now, history_.find(instance.id)->before);
}

// Who is on the list has stopped, and has said so; who isn't may have died, or have been told to end.
Micros HomeView::settle_after(Micros now, const std::string& before) const {
  return before.empty() || peer_at_.contains(before) || is_down(now, before) ? 0 : kSettle;
}

std::vector<common::Instance> HomeView::own(Micros now, const std::string& function) {
  std::vector<common::Instance> mine;
  for (const auto& [id, instance] : instances_[function]) {
    note(now, instance, false);
    if (owner(now, instance) == nullptr) mine.push_back(instance);
  }
  return mine;
}

}  // namespace woadridge::proxy
