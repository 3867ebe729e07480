// What is done to the machines of a run, and how all of it ends.
#include <algorithm>

#include "lab/platform/sim/world.h"

namespace woadridge::lab::sim {

namespace {

bool named(std::uint32_t machines, std::size_t n) {
  return (machines >> n & 1U) != 0;
}

}  // namespace

bool World::out_of_service(const Node& node) const {
  return !node.member || node.frozen || node.wiped || node.ending || now < node.slow_until ||
         now < node.stalled_until || now < node.full_until || now < node.bad_until;
}

void World::freeze(std::size_t n, Micros span) {
  nodes[n].frozen = true;
  at(now + span, [this, n, life = nodes[n].life] {
    Node& node = nodes[n];
    if (!node.member || node.life != life) return;
    node.frozen = false;
    auto held_back = std::exchange(node.held_back, {});
    if (node.dice.chance(0.5)) std::shuffle(held_back.begin(), held_back.end(), node.dice);
    for (const auto& run : held_back) run();
    if (node.member) take(n);
  });
}

void World::cut(std::uint32_t from, std::uint32_t to, Micros span) {
  for (std::size_t a = 0; a < places_.size(); ++a)
    for (std::size_t b = 0; b < places_.size(); ++b) {
      if (a == b || !named(from, a) || !named(to, b)) continue;
      auto& until = cut_until(places_[a], places_[b]);
      until = std::max(until, now + span);
    }
}

// Everybody loses power, and some their disks.
void World::strike(const Entry& e) {
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    if (nodes[n].gone) continue;
    const auto at = std::find(places_.begin(), places_.end(), n) - places_.begin();
    const bool stands = static_cast<std::size_t>(at) < places_.size();
    if (stands && named(e.others, static_cast<std::size_t>(at)) && may_lose_its_disk(n)) wipe(n);
    else stop(n);
    start_later(n, 50'000 + nodes[n].dice.below(e.span));
  }
}

bool World::apply(const Entry& e) {
  const std::size_t n = places_[e.a];
  if (e.kind == Kind::put) return put(n, e.number), true;
  if (e.kind == Kind::read) return read(n), true;
  if (e.kind == Kind::resend) return resend(n, e.number, [](bool) {}), true;
  const std::uint32_t all = (1U << places_.size()) - 1, self = 1U << e.a;
  const bool founded =
      std::any_of(nodes.begin(), nodes.end(), [](auto& x) { return x.disk.contains("list"); });
  switch (e.kind) {
    case Kind::herd:
      for (const std::size_t i : places_) {
        stop(i, false);
        start_later(i, 50'000 + nodes[i].dice.below(e.span));
      }
      return true;
    case Kind::split:
      cut(e.others, all & ~e.others, e.span);
      cut(all & ~e.others, e.others, e.span);
      return true;
    case Kind::seeds: {
      Dice dice(e.number);
      for (auto& node : nodes) {
        if (node.bootstrap && !founded) continue;
        node.seeds = any_seeds(dice);
        if (node.member) node.member->seeds(node.seeds);
      }
      return true;
    }
    case Kind::drift:
      set_rate(n, 1 + (Dice(e.number).share() * 2 - 1) * kMostDrift);
      return true;
    case Kind::wipe_after_ack:
      after_ack_ = e;
      return true;
    default:
      break;
  }
  // One thing at a time for a machine, and a majority in service most of the time: else little happens at
  // all.
  Node& node = nodes[n];
  const auto out =
      std::count_if(places_.begin(), places_.end(), [this](auto at) { return out_of_service(nodes[at]); });
  if (out_of_service(node) || static_cast<std::size_t>(out) >= (places_.size() - 1) / 2) return false;
  switch (e.kind) {
    case Kind::kill:
    case Kind::power:
      stop(n, e.kind == Kind::power);
      break;
    case Kind::wipe:
      if (!founded || disks_lost() >= losses_ || !may_lose_its_disk(n)) return false;
      wipe(n);
      break;
    case Kind::replace:
    case Kind::planned_replace: {
      if (!founded || disks_lost() >= losses_ || nodes.size() >= kMostNodes) return false;
      if (e.number % 3 == 0) {  // the seeds are exchanged meanwhile
        Dice dice(e.number);
        for (auto& any : nodes) any.seeds = any_seeds(dice);
        for (auto& any : nodes)
          if (any.member) any.member->seeds(any.seeds);
      }
      replace(e.a, e.kind == Kind::planned_replace, e.span);
      return true;
    }
    case Kind::end:
      leave(n);
      at(now + 100'000 + static_cast<Micros>(e.number % 800'000), [this, n, e, life = node.life] {
        if (nodes[n].life != life) return;
        stop(n, false);
        start_later(n, e.span);
      });
      return true;
    case Kind::freeze:
    case Kind::pause:
      freeze(n, e.span);
      return true;
    case Kind::cut:
      cut(self, e.others, e.span);
      cut(e.others, self, e.span);
      return true;
    case Kind::half_cut:
      if (e.number % 2 == 0) cut(self, e.others, e.span);
      else cut(e.others, self, e.span);
      return true;
    case Kind::slow_disk:
      node.slow_until = now + e.span;
      return true;
    case Kind::stalled_disk:
      node.stalled_until = now + e.span;
      return true;
    case Kind::full_disk:
      node.full_until = now + e.span;
      return true;
    case Kind::bad_disk:
      node.bad_until = now + e.span;
      return true;
    default:
      return false;
  }
  start_later(n, e.span);
  return true;
}

void World::calm() {
  calm_ = true;
  after_ack_.reset();
  std::fill(cut_until_.begin(), cut_until_.end(), 0);
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    Node& node = nodes[i];
    if (node.gone) continue;
    // One that was told to end goes soon; one that is still to be told goes when nothing more is lost by it.
    if (!stands(i) && node.ending) continue;
    node.slow_until = node.stalled_until = node.full_until = node.bad_until = 0;
    if (node.frozen || node.ending) stop(i, false);
    if (!node.member) start(i);
  }
}

}  // namespace woadridge::lab::sim
