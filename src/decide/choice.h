// Choice: which worker a held job goes to, if any.
#pragma once

#include "decide/refusal.h"

namespace woadridge {

constexpr double kKnownWorkers = 4, kKnownPerJob = 1.4;  // kept to in each lane and zone; more a job out
constexpr double kKeeperRoom = -1;           // slots: one job may wait at a key's place, a fetch takes longer
constexpr int kRanked = 16, kLookedAt = 96;  // workers looked at once one would do, and before: a walk ends

struct Choice : Refusal {
  bool fits(const Worker& w, const Request& r) const {
    if (!usable(w) || !r.queue.names(w.info)) return false;
    // Unlike servers: a job that can still be in time doesn't go where it would end late.
    const auto end = now + static_cast<Micros>(r.work / speed(w) + usual_wait());
    const bool may_be_late = w.info.slots > 0 || std::get<0>(r.place) > 1 || w.of->pace.time <= 0;
    return (may_be_late || end <= r.due) && (ends == 0 || end <= ends);
  }

  bool may_take(Worker& w, const Request& r) { return fits(w, r) && within_cold_budget(w, r.work); }

  // Guards against a fetch for each job: those about one thing begin at one place of an order common to all.
  Worker* keeper(const Request& r) {
    for (std::uint64_t n = 0; r.key && n < kRanked; ++n) {
      Worker* const w = at_place(r.queue.kind, key_hash(key_hash(*r.key) + n));
      if (w == nullptr) break;
      if (w->part < 1 && random.uniform() >= w->part) continue;
      if (w->big_lane != (r.big && split) || w->late_starts > 0 || !may_take(*w, r)) continue;
      if (room(*w) >= (w->info.slots > 0 ? 1 : kKeeperRoom) * r.slots) return w;
    }
    return nullptr;
  }

  // Most free room (for the speed), then fewest own jobs, then at random, among the first in the own order.
  // Guards against knowledge older than jobs are long: all dispatchers would rank the same workers first.
  Worker* best_on(const index::Shelf& shelf, const Request& r, bool near, bool idle_only, double closed = 0) {
    const double known = kKnownWorkers + kKnownPerJob * mean_out;
    Worker* chosen = nullptr;
    std::tuple<double, double, double> top{};
    double seen = std::min(closed, kKnownPerJob * mean_out);
    int looked = 0;
    for (const auto& spot : shelf) {
      auto* w = static_cast<Worker*>(spot.owner);
      if (!within_cold_budget(*w, r.work)) continue;
      if (looked++ >= (chosen != nullptr ? kRanked : kLookedAt)) break;
      if ((near && !w->near) || !fits(*w, r)) continue;
      if (chosen != nullptr && seen >= known) break;
      ++seen;
      const double free = room(*w);
      if (free < (near || w->info.slots > 0 ? 1 : kRoom) * r.slots || (idle_only && others(*w) >= kRoom))
        continue;
      const double chance = set.weights == Weights::live ? random.uniform() : 1;
      const std::tuple by{free * speed(*w) * chance, -w->out, random.uniform()};
      if (chosen != nullptr && by <= top) continue;
      chosen = w;
      top = by;
    }
    return chosen;
  }

  // Where a job may find room; where there is none, one that could show one slot more than its kind has.
  Worker* best_of(const Request& r, bool big_lane, bool idle_only, bool near) {
    const index::Home* home = home_for(r.queue, near);
    if (home == nullptr) return nullptr;
    if (idle_only) return best_on(home->idle[big_lane], r, near, true);
    const double closed = home->closed(big_lane);
    Worker* chosen = best_on(home->open[big_lane], r, near, false, closed);
    return chosen != nullptr ? chosen : best_on(home->full[big_lane], r, near, false, closed);
  }

  Worker* best(const Request& r, bool big_lane, bool idle_only) {
    Worker* near = own_zone_first() ? best_of(r, big_lane, idle_only, true) : nullptr;
    return near != nullptr ? near : best_of(r, big_lane, idle_only, false);
  }

  // Own lane first; then small jobs on big-lane workers no big job waits for, big ones on idle small ones.
  Worker* pick(const Request& r) {
    Worker* own = keeper(r);
    if (own == nullptr) own = best(r, r.big, false);
    if (own != nullptr || (!r.big && big_waits())) return own;
    // Of told slots the last idle small-lane worker is kept, unless big jobs pile up: one could hold one job.
    const bool last = r.big && split && set.tells_slots && idle_small(r.queue) < 2;
    return last && turn(r) <= run_time(r) ? nullptr : best(r, !r.big, r.big && split);
  }
};

}  // namespace woadridge
