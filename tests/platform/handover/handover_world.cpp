#include "handover_world.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace woadridge::handover {
namespace {

constexpr Micros kTick = 10 * kMs;
constexpr Micros kWork = 80 * kMs;
constexpr Micros kListed = 300 * kMs;  // after a term has begun
constexpr Micros kGather = 600 * kMs;  // of a term, before its board is told
constexpr Micros kAskAgain = kSecond;  // a question without news is answered after so long
constexpr Micros kReport = 100 * kMs;
constexpr Micros kFullPause = 50 * kMs;  // of a proxy that was turned away
constexpr std::uint32_t kSlots = 8, kBears = 50;
constexpr const char* kFunction = "f";

}  // namespace

World::World(std::uint64_t seed, std::size_t proxies, std::size_t instances) : random_(seed) {
  for (std::size_t n = 0; n < proxies; ++n) {
    auto& proxy = proxies_.emplace_back();
    proxy.name = "p" + std::to_string(n);
    proxy.view = proxy::HomeView(proxy.name, kLongestHandOver);
  }
  for (std::size_t n = 0; n < instances; ++n)
    instances_.push_back(
        {"i" + std::to_string(n), kFunction, "", "a", "m", kSlots, common::Condition::ready, 0, ""});
  new_holder(200 * kMs);
}

Micros World::delay(const Proxy& proxy) {
  return std::uniform_int_distribution<Micros>(proxy.delays.least, proxy.delays.most)(random_);
}

void World::new_holder(Micros latest) {
  begin_term();
  for (std::size_t n = 0; n < proxies_.size(); ++n) {
    proxies_[n].linked = false;
    const Micros wait = std::uniform_int_distribution<Micros>(0, latest)(random_);
    at(now + wait, [this, n, term = term_] {
      if (term == term_) link(n);
    });
  }
}

void World::begin_term() {
  board_.begin(++term_);
  roster_.begin(now, term_ == 1);
  placement_.begin();
  began_ = now;
  listed_ = false;
  at(now + kListed, [this, term = term_] {
    if (term == term_) list();
  });
}

void World::list() {
  listed_ = true;
  for (auto instance : instances_) {
    placement_.place(now, instance);
    board_.change(instance);
  }
}

void World::link(std::size_t n) {
  auto& proxy = proxies_[n];
  if (proxy.linked) return;
  proxy.linked = proxy.told = true;
  for (const auto& [id, instance] : proxy.view.board().instances)
    if (instance.home == proxy.name && instance.waits_for.empty()) placement_.held(id, proxy.name);
  ask(proxy);
}

void World::ask(Proxy& proxy) {
  proxy.asked_at = now;
  common::Ask ask;
  ask.name = proxy.name;
  ask.zone = "a";
  ask.proxy = proxy.name + ":1";
  ask.term = proxy.view.board().term;
  ask.peers = static_cast<std::uint32_t>(proxy.view.board().peers.size());
  roster_.asked(now, ask);
  if (proxy.leaving) roster_.leaving(proxy.name);
}

void World::stop(std::size_t n) {
  auto& proxy = proxies_[n];
  proxy.leaving = true;
  proxy.view.leave();
  at(now + delay(proxy), [this, n] {
    if (proxies_[n].leaving) roster_.leaving(proxies_[n].name);
  });
}

void World::restart(std::size_t n) {
  auto& proxy = proxies_[n];
  for (const auto& [id, count] : proxy.out) out_[id] -= count;  // its connections end with it
  proxy.out.clear();
  proxy.view = proxy::HomeView(proxy.name, kLongestHandOver);
  proxy.linked = proxy.leaving = false;
  ++proxy.life;
  roster_.wire_ended(now, proxy.name);
  at(now + 500 * kMs, [this, n] { link(n); });
}

void World::run(Micros span) {
  const Micros until = now + span;
  while (now < until) {
    while (!events_.empty() && events_.top().when <= now) {
      const auto what = events_.top().what;
      events_.pop();
      what();
    }
    step();
    for (std::size_t n = 0; n < proxies_.size(); ++n) {
      tell(n);
      release(n);
      send(n);
    }
    now += kTick;
  }
}

void World::look_at_peers() {
  auto peers = roster_.at(now);
  placement_.present(roster_.present());
  if (!roster_.settled(now) || peers == board_.peers()) return;
  board_.peers(peers);
  placement_.peers(std::move(peers), kBears);
}

void World::step() {
  look_at_peers();
  if (!listed_) return;
  if (now - reported_at_ >= kReport) {
    common::Report report;
    const double arrived = calls_per_s * static_cast<double>(now - reported_at_) / kSecond;
    report.demand.push_back({kFunction, static_cast<std::uint32_t>(arrived), 0, 0, 0, 0, 0, 0});
    placement_.told(now, report);
    reported_at_ = now;
  }
  for (const auto& [id, home] : placement_.moves(now)) board_.home(id, home.name, home.waits_for);
}

void World::tell(std::size_t n) {
  auto& proxy = proxies_[n];
  if (!proxy.linked) return;
  if (now - proxy.asked_at >= kAskAgain) ask(proxy);
  const auto& held = proxy.view.board();
  const bool ready = listed_ && (roster_.settled(now) || now - began_ >= kGather);
  if (!proxy.told || !ready || !board_.newer_than(held.term, held.version)) return;
  const bool other_term = held.term != board_.term();
  auto news = other_term ? board_.rebase(held.sums()) : board_.since(held.term, held.version);
  if (board_.peers().empty()) news.peers_told = false;
  proxy.told = false;
  at(now + delay(proxy), [this, n, life = proxy.life, news = std::move(news)] { hear(n, life, news); });
}

void World::hear(std::size_t n, std::uint64_t life, const common::News& news) {
  auto& proxy = proxies_[n];
  if (life != proxy.life || news.term != term_) return;
  proxy.told = true;
  proxy.view.told(now, news);
  ask(proxy);
}

void World::release(std::size_t n) {
  auto& proxy = proxies_[n];
  const auto waiting = proxy.view.to_release();
  for (const auto& [id, since] : waiting) {
    if (proxy.out[id] > 0 || !proxy.linked) continue;
    proxy.view.released(id);
    at(now + delay(proxy), [this, id = id, name = proxy.name, term = term_] {
      if (term == term_) placement_.released(id, name);
    });
  }
}

// There is always more to do than the slots bear.
void World::send(std::size_t n) {
  auto& proxy = proxies_[n];
  if (now < proxy.full_until) return;
  for (const auto& instance : proxy.view.own(now, kFunction)) {
    if (proxy.view.usable_from(instance.id) > now) continue;
    while (proxy.out[instance.id] < kSlots && now >= proxy.full_until) attempt(n, instance);
  }
}

void World::attempt(std::size_t n, const common::Instance& instance) {
  auto& proxy = proxies_[n];
  if (out_[instance.id] >= kSlots) {
    ++turned_away;
    proxy.full_until = now + kFullPause;
    return;
  }
  ++out_[instance.id];
  ++proxy.out[instance.id];
  ++served;
  at(now + kWork, [this, n, life = proxy.life, id = instance.id] {
    if (life != proxies_[n].life) return;
    --out_[id];
    --proxies_[n].out[id];
  });
}

}  // namespace woadridge::handover
