// Room: what a worker can be sent now, by its slots, by what others use, by what a cold one may have.
#pragma once

#include "decide/learning.h"

namespace woadridge {

constexpr double kRoom = 0.5;           // least free room, in slots, that counts: rounds to one slot
constexpr Micros kSlotTrial = 500'000;  // between two tries to find one more slot than a kind has shown
// Times the mean load at which a key's place passes on a part, that part's step a list, and its least.
constexpr double kFill = 1.5, kPartStep = 0.8, kLeastPart = 0.02;
constexpr double kColdMargin = 0.7;  // part of the cold budget used: hints are off by up to a half
constexpr double kEvenParts = 20;    // dispatchers that have even parts of a cold budget; of more, ...
constexpr double kGrants = 1.0;      // ... one with 1/n of the traffic may send 1/n over its draw in a span,
constexpr double kProvenGrants = 1.6, kMostGrant = 0.25;  // so much where its last job started at once; a cap
constexpr double kShareSpan = 10e6;  // microseconds over which a tenant's traffic is weighed

struct Rooms : Learning {
  bool usable(const Worker& w) const { return w.is_offered() && now >= w.judged_until; }

  // Own slots that may be out where slots are told. It answers full while someone overlaps, for a moment.
  double limit(const Worker& w) const {
    return now < w.cap_ends ? std::min(w.cap, w.info.slots) : w.info.slots;
  }

  // Free room in slots. A job sent and not started tells of a full worker long before "full" does.
  double room(const Worker& w) const {
    if (w.info.slots > 0) return limit(w) - w.out;
    if ((w.cap > 0 && w.out >= w.cap) || w.late_starts > 0) return 0;
    const double free = w.of->slots - others(w) - w.out;
    const bool one_more = w.out >= w.of->slots && w.waiting == 0 && now >= w.of->next_trial;
    return one_more ? std::max(free, kRoom) : free;
  }

  // By own jobs alone: walks pass the shut ones and look at the full ones last.
  index::Room room_at(const Worker& w) const {
    using index::Room;
    if (w.info.slots > 0) return w.out < limit(w) ? Room::open : Room::shut;
    if ((w.cap > 0 && w.out >= w.cap) || w.late_starts > 0) return Room::shut;
    return w.out < w.of->slots ? Room::open : w.waiting == 0 ? Room::full : Room::shut;
  }

  void show(Worker& w) { stand(w, {usable(w), room_at(w), w.out <= 0, w.big_lane}, limit(w)); }

  // One more slot than its kind had shown: full ones of the kind are no longer.
  void see_slots(const Worker& w, double slots) {
    if (slots <= w.of->slots) return;
    w.of->slots = slots;
    w.of->next_trial = now;  // what has just shown one may have more
    for (Worker* other : filled()) show(*other);
  }

  // Weights that move with load tell what each worker holds, late; its slots stand for its cores.
  void see_weight(Worker& w, double weight) {
    if (!(weight > 0) || !std::isfinite(weight)) return;
    w.of->nominal = std::max(w.of->nominal, weight);
    const double held = w.of->slots * (w.of->nominal / weight - 1);
    see_others(w, std::max(0.0, held - w.out));
    mean_held += (held - mean_held) / kKindMemory;
    const double step = kFill * std::max(mean_held, w.of->slots) / std::max(held, kRoom);
    w.part = std::clamp(w.part * std::clamp(step, kPartStep, 2 - kPartStep), kLeastPart, 1.0);
  }

  // This dispatcher's part of what a cold worker may be sent in a span. After a restart alone all is spent.
  bool within_cold_budget(Worker& w, double work) {
    if (!cold(w) || set.overload_span <= 0) return true;
    if (!beside.began && now - born < set.overload_span && w.info.started < born) return false;
    if (ends > 0 && beside.serves) return false;  // the rest is the other process's
    const double used = pieces() * (cold_load(work) + w.sent_since(now - set.overload_span));
    const double age = static_cast<double>(std::max<Micros>(0, now - set.overload_span - w.info.started));
    const double part = set.cold_from + (1 - set.cold_from) * age / static_cast<double>(set.warm_after);
    const double capacity = w.of->slots * speed(w) * part, span = static_cast<double>(set.overload_span);
    return used <= kColdMargin * set.overload_factor * capacity * span * cold_part(w);
  }

  // Two processes of one dispatcher: a half each, until a span after one let go; who begins has a third.
  double pieces() const {
    if (beside.began && now - born < set.overload_span) return 3;
    return beside.shares || now - shared < set.overload_span ? 2 : 1;
  }

  // 1/100 of a budget holds no job: in a large fleet own draws grant much to few, by their traffic.
  double cold_part(const Worker& w) const {
    const double even = 1.0 / std::max(1, set.fleet_size);
    if (set.fleet_size <= kEvenParts) return even;
    const double part = tenants_quota > 0 ? start_rate(kShareSpan) / tenants_quota : even;
    return std::min(kMostGrant, (w.prompt ? kProvenGrants : kGrants) * part / w.own_draw());
  }

  double cold_load(double work) const { return std::max(work, mean_work); }  // light jobs count too
};

}  // namespace woadridge
