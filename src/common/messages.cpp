#include "common/messages.h"

#include <algorithm>
#include <string_view>

#include "text.h"

namespace woadridge::common {

namespace {

// Both by name; `changed` wins.
template <class Part>
void merge(std::vector<Part>& into, const std::vector<Part>& changed, const std::vector<std::string>& gone) {
  std::map<std::string_view, const Part*> by_name;
  for (const auto& part : changed) by_name.emplace(part.name, &part);
  std::vector<Part> merged;
  for (auto& part : into) {
    if (std::find(gone.begin(), gone.end(), part.name) != gone.end()) continue;
    const auto found = by_name.find(part.name);
    if (found == by_name.end()) {
      merged.push_back(std::move(part));
    } else {
      merged.push_back(*found->second);
      by_name.erase(found);
    }
  }
  for (const auto& part : changed)
    if (by_name.contains(part.name)) merged.push_back(part);
  into = std::move(merged);
}

template <class Part>
void difference(const std::vector<Part>& from, const std::vector<Part>& to, std::vector<Part>& changed,
                std::vector<std::string>& gone) {
  std::map<std::string_view, const Part*> before;
  for (const auto& part : from) before.emplace(part.name, &part);
  for (const auto& part : to) {
    const auto found = before.find(part.name);
    if (found == before.end() || !(*found->second == part)) changed.push_back(part);
    if (found != before.end()) before.erase(found);
  }
  for (const auto& [name, part] : before) gone.emplace_back(name);
}

}  // namespace

std::size_t bucket_of(const std::string& id) {
  const auto hash = fnv1a(id);
  return static_cast<std::size_t>(hash ^ (hash >> 32)) % kBuckets;
}

std::uint64_t sum_of(const Instance& i) {
  std::uint64_t hash = fnv1a(i.id);
  for (const auto* text : {&i.service, &i.address, &i.zone, &i.home, &i.waits_for})
    hash = fnv1a(*text, hash * 31 + 7);
  return hash * 31 + static_cast<std::uint64_t>(i.capacity) * 4 + static_cast<std::uint64_t>(i.condition);
}

void put_change(News& news, const Plan& from, const Plan& to) {
  news.plan_told = true;
  news.plan_from = from.version;
  news.plan.version = to.version;
  news.plan.limits = to.limits;
  difference(from.routes, to.routes, news.plan.routes, news.routes_gone);
  difference(from.services, to.services, news.plan.services, news.services_gone);
}

// A plan never goes back: a late word of an older one changes nothing.
bool Board::apply(const News& news) {
  if (news.plan_told && news.plan.version > plan.version) {
    if (news.plan_from == 0) {
      plan = news.plan;
    } else if (news.plan_from == plan.version) {
      plan.version = news.plan.version;
      plan.limits = news.plan.limits;
      merge(plan.routes, news.plan.routes, news.routes_gone);
      merge(plan.services, news.plan.services, news.services_gone);
    }
  }
  const bool rebased = !news.buckets.empty() || news.whole;
  if (news.term < term || (news.term != term && !rebased)) return false;
  term = news.term;
  version = news.board;
  if (news.peers_told) peers = news.peers;
  take_instances(news);
  return true;
}

void Board::take_instances(const News& news) {
  std::map<std::string, Instance> changed;
  for (const auto& told : news.changed) {
    Instance& instance = changed[told.id] = told;
    const auto held = instances.find(told.id);
    if (!told.home.empty() || held == instances.end()) continue;
    instance.home = held->second.home;
    instance.waits_for = held->second.waits_for;
  }
  if (news.whole) instances.clear();
  if (!news.buckets.empty())
    std::erase_if(instances, [&](const auto& entry) {
      const auto bucket = bucket_of(entry.first);
      return std::find(news.buckets.begin(), news.buckets.end(), bucket) != news.buckets.end();
    });
  for (auto& [id, instance] : changed) instances[id] = std::move(instance);
  for (const auto& id : news.gone) instances.erase(id);
}

bool Board::lacks_base_of(const News& news) const {
  const bool newer = news.plan_told && news.plan.version > plan.version;
  return newer && news.plan_from != 0 && news.plan_from != plan.version;
}

std::vector<std::uint64_t> Board::sums() const {
  std::vector<std::uint64_t> all(kBuckets, 0);
  for (const auto& [id, instance] : instances) all[bucket_of(id)] += sum_of(instance);
  return all;
}

News Board::whole() const {
  News news;
  news.term = term;
  news.board = version;
  news.whole = news.peers_told = true;
  news.peers = peers;
  for (const auto& [id, instance] : instances) news.changed.push_back(instance);
  news.plan_told = plan.version > 0;
  news.plan = plan;
  news.holder_term = term;
  news.newest_plan = plan.version;
  return news;
}

}  // namespace woadridge::common
