#include "roster/roster.h"

#include <utility>

namespace woadridge::roster {
namespace {

constexpr std::size_t kMostLeft = 20'000;  // some 2 MB: a fleet of 200 replaced a hundred times

bool same(const WorkerInfo& a, const WorkerInfo& b) {
  return a.phase == b.phase && a.started == b.started && a.kind == b.kind && a.zone == b.zone &&
         a.group == b.group && a.size == b.size;
}

}  // namespace

const std::vector<Roster::Change>& Roster::learn(const Members& news) {
  changes_.clear();
  ++lists_;
  for (const auto& entry : news.entries) take(entry);
  if (news.whole)
    for (auto& [id, held] : held_)
      if (held.seen != lists_ && held.member.info.phase != Phase::gone) drop(id, held);
  return changes_;
}

std::vector<Member> Roster::present() const {
  std::vector<Member> all;
  for (const auto& [id, held] : held_)
    if (held.member.info.phase != Phase::gone) all.push_back(held.member);
  return all;
}

void Roster::take(const Member& entry) {
  const auto [at, fresh] = held_.try_emplace(entry.info.id);
  Held& held = at->second;
  held.seen = lists_;
  if (entry.info.phase == Phase::gone) {
    if (fresh) held_.erase(at);
    else if (held.member.info.phase != Phase::gone) drop(at->first, held);
    return;
  }
  const bool was_away = fresh || held.member.info.phase == Phase::gone;
  const bool moved = entry.address && (was_away || held.member.address != entry.address);
  const bool restarted = !was_away && entry.info.started > held.member.info.started;
  const bool news = was_away || !same(held.member.info, entry.info);
  if (!news && !moved) return;
  present_ += was_away ? 1 : 0;
  auto address = entry.address ? entry.address : held.member.address;
  held.member = {entry.info, std::move(address)};
  changes_.push_back({&held.member, restarted, moved});
  if (news) note(at->first, held);
}

void Roster::drop(const std::string& id, Held& held) {
  held.member.info.phase = Phase::gone;
  --present_;
  remember_left(id);
  changes_.push_back({&held.member, false, false});
  note(id, held);
}

void Roster::remember_left(const std::string& id) {
  if (!left_.insert(id).second) return;
  left_order_.push_back(id);
  if (left_order_.size() <= kMostLeft) return;
  left_.erase(left_order_.front());
  left_order_.pop_front();
}

void Roster::note(const std::string& id, Held& held) {
  const bool was_waiting = std::exchange(held.waits, true);
  if (held.member.info.phase != Phase::serving) urgent_.push_back(id);
  else if (!was_waiting) calm_.push_back(id);
}

void Roster::tell_all() {
  for (auto& [id, held] : held_) note(id, held);
}

std::vector<WorkerInfo> Roster::next(std::size_t most) {
  std::vector<WorkerInfo> slice;
  while (slice.size() < most && waits()) {
    auto& from = urgent_.empty() ? calm_ : urgent_;
    const auto found = held_.find(from.front());
    from.pop_front();
    if (found == held_.end() || !found->second.waits)
      continue;  // told with the urgent ones, or gone unheard of
    Held& held = found->second;
    held.waits = false;
    const bool gone = held.member.info.phase == Phase::gone;
    if (!gone || held.told) slice.push_back(held.member.info);
    held.told = true;
    if (gone) held_.erase(found);
  }
  return slice;
}

}  // namespace woadridge::roster
