#include "controller/board.h"

#include <algorithm>

namespace woadridge::controller {
namespace {

constexpr std::size_t kRemembered =
    4096;                               // gone instances, minutes of them; older askers get the whole board
constexpr Micros kWireBack = 300'000;   // an agent that restarts is back within this, its proxy serves on
constexpr Micros kSilence = 2'500'000;  // agents ask at least each second: two questions missed

constexpr Micros kFounding = 250'000;      // nobody holds a board: there is nothing to disturb ...
constexpr Micros kTogether = 200'000;      // ... and those that start together are told together
constexpr std::size_t kManyNew = 8;        // so many without a board, and none with one: all have begun anew
constexpr std::size_t kSomeNew = 3;        // so many, after ...
constexpr Micros kAllHaveAsked = 750'000;  // one that serves without a link tries again at least so often
constexpr Micros kNoNewcomer = 1'000'000;  // agents find the holder within a few tries, all at about one time
constexpr Micros kLatest = 4'000'000;      // who isn't back by now is served by others

}  // namespace

void Board::begin(std::uint64_t term) {
  *this = Board();
  term_ = term;
  version_ = machine_ledger_ = 1;  // 0 is what one holds that was never told
}

void Board::peers(const std::vector<common::Peer>& peers) {
  if (peers == peers_) return;
  peers_ = peers;
  peers_changed_ = ++version_;
}

void Board::change(const common::Instance& instance) {
  auto& entry = instances_[instance.id];
  if (entry.changed > 0 && entry.instance == instance) return;
  // Who applies news takes the gone after the changed: one that came back may not be among both.
  if (entry.changed == 0) std::erase_if(gone_, [&](const auto& g) { return g.second == instance.id; });
  by_version_.erase(entry.changed);
  entry = {instance, ++version_};
  by_version_.emplace(version_, &entry);
}

void Board::home(const std::string& id, const std::string& home, const std::string& waits_for) {
  const auto at = instances_.find(id);
  if (at == instances_.end()) return;
  auto instance = at->second.instance;
  instance.home = home;
  instance.waits_for = waits_for;
  change(instance);
}

const common::Instance* Board::find(const std::string& id) const {
  const auto at = instances_.find(id);
  return at == instances_.end() ? nullptr : &at->second.instance;
}

void Board::gone(const std::string& id) {
  const auto at = instances_.find(id);
  if (at == instances_.end()) return;
  by_version_.erase(at->second.changed);
  instances_.erase(at);
  gone_.emplace_back(++version_, id);
  if (gone_.size() <= kRemembered) return;
  machine_ledger_ = gone_.front().first;
  gone_.pop_front();
}

common::News Board::since(std::uint64_t term, common::Version version) const {
  common::News news;
  news.term = term_;
  news.board = version_;
  news.whole = term != term_ || version < machine_ledger_ || version > version_;
  news.peers_told = news.whole || peers_changed_ > version;
  if (news.peers_told) news.peers = peers_;
  if (news.whole) {
    put_all(news);
    return news;
  }
  for (auto at = by_version_.upper_bound(version); at != by_version_.end(); ++at)
    news.changed.push_back(at->second->instance);
  for (auto at = gone_.rbegin(); at != gone_.rend() && at->first > version; ++at)
    news.gone.push_back(at->second);
  return news;
}

void Board::put_all(common::News& news) const {
  news.changed.reserve(instances_.size());
  for (const auto& [id, entry] : instances_) news.changed.push_back(entry.instance);
}

common::News Board::rebase(const std::vector<std::uint64_t>& sums) const {
  std::vector<std::uint64_t> own(common::kBuckets, 0);
  for (const auto& [id, entry] : instances_) own[common::bucket_of(id)] += common::sum_of(entry.instance);
  if (sums.size() != own.size()) return since(0, 0);
  common::News news;
  news.term = term_;
  news.board = version_;
  news.peers_told = true;
  news.peers = peers_;
  for (std::size_t bucket = 0; bucket < own.size(); ++bucket)
    if (own[bucket] != sums[bucket]) news.buckets.push_back(static_cast<std::uint8_t>(bucket));
  if (news.buckets.empty()) news.buckets.push_back(0);  // one at least says that the terms were compared
  for (const auto& [id, entry] : instances_)
    if (std::find(news.buckets.begin(), news.buckets.end(), common::bucket_of(id)) != news.buckets.end())
      news.changed.push_back(entry.instance);
  return news;
}

void ProxyRoster::begin(Micros now, bool first) {
  *this = ProxyRoster();
  first_ = first;
  began_ = newest_at_ = now;
}

bool ProxyRoster::settled(Micros now) {
  if (settled_) return true;
  const auto span = now - began_, calm = now - newest_at_;
  const bool some = entries_.size() >= kSomeNew && span >= kAllHaveAsked;
  const bool enough = entries_.size() >= kManyNew || some;
  const bool all_new = !earlier_ && enough && calm >= kTogether;
  const bool all_back = expected_ > 0 ? entries_.size() >= expected_ : all_new || calm >= kNoNewcomer;
  if (earlier_ || !first_) settled_ = !entries_.empty() && (all_back || span >= kLatest);
  else settled_ = !entries_.empty() && span >= kFounding && (calm >= kTogether || span >= kNoNewcomer);
  return settled_;
}

void ProxyRoster::asked(Micros now, const common::Ask& ask) {
  auto& entry = entries_[ask.name];
  if (entry.asked_at == 0) {
    newest_at_ = now;
    earlier_ |= ask.term > 0;
    if (ask.term > 0) expected_ = std::max<std::size_t>(expected_, ask.peers);
  }
  if (ask.proxy.empty() || entry.ended_at > 0)
    entry.leaving = false;  // that one has ended; the next one stays
  entry.peer = {ask.name, ask.zone, ask.proxy};
  entry.asked_at = now;
  entry.ended_at = 0;
}

void ProxyRoster::leaving(const std::string& name) {
  const auto at = entries_.find(name);
  if (at != entries_.end()) at->second.leaving = true;
}

void ProxyRoster::wire_ended(Micros now, const std::string& name) {
  const auto at = entries_.find(name);
  if (at != entries_.end()) at->second.ended_at = now;
}

std::vector<common::Peer> ProxyRoster::at(Micros now) {
  std::erase_if(entries_, [&](const auto& e) {
    return now - e.second.asked_at > kSilence ||
           (e.second.ended_at > 0 && now - e.second.ended_at > kWireBack);
  });
  std::vector<common::Peer> peers;
  for (const auto& [name, entry] : entries_)
    if (!entry.leaving && !entry.peer.address.empty()) peers.push_back(entry.peer);
  return peers;
}

std::vector<common::Peer> ProxyRoster::present() const {
  std::vector<common::Peer> peers;
  for (const auto& [name, entry] : entries_)
    if (!entry.peer.address.empty()) peers.push_back(entry.peer);
  return peers;
}

}  // namespace woadridge::controller
