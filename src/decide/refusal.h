// What is held and what is given up: who may be sent or refused by the rules, and who waits in vain.
#pragma once

#include "decide/lanes.h"

namespace woadridge {

// A tenant's part that goes first; the share of late starts in every zone at which the fleet is short.
constexpr double kShareFirst = 0.7, kShort = 0.75;

struct Refusal : Lanes {
  // Guards against one tenant crowding out the rest: its part is what the others send of their quotas.
  bool beyond_share(const std::string& name) {
    Tenant* own = with_quota(name);
    if (own == nullptr || set.over_share_worth >= 1) return false;
    see_tenant(*own, kShareSpan);
    const auto [quotas, sent] = all_tenants_but(*own);
    const double part = quotas > 0 ? own->quota * sent / quotas : own->recent.value;
    return random.uniform() * own->recent.value > kShareFirst * part + 1;
  }

  // Rule 2: who may be sent again. Keyed repeats only while the group still remembers the earliest.
  bool may_resend(const Request& r) const {
    if (r.attempts_left() <= 0) return false;
    const Attempt* first = r.may_have_run();
    if (first == nullptr || r.of->effect == Effect::safe) return true;
    return r.of->effect == Effect::keyed && now <= first->sent + r.of->memory - set.tick;
  }

  bool may_refuse(const Request& r) const {
    if (r.of->effect == Effect::safe || r.may_have_run() == nullptr) return true;
    return r.of->effect == Effect::keyed && r.of->scope == Scope::all;
  }

  void answered(Request& r) {  // cancels what is still out; the entry stays until all attempts have ended
    dequeue(r);
    r.answered = true;
    const bool tells = trial.id == r.id && r.out_attempt(trial.waiting) != nullptr;
    if (tells) alarm(now + start_delay[r.attempts[0].zone] + 2 * set.tick, Why::verdict, r.id);
    else if (trial.id == r.id) trial = {};
    call_off_all_but(r, tells ? trial.waiting : -1);
    erase_ended(r);
  }

  // Time until a job's turn by the work ahead and the slots told; 0: no slots, as during a first cold start.
  Micros turn(const Request& r) const {
    const bool both = !split || (!r.big && !big_waits());
    const double slots = lane_slots[r.big] + (both ? lane_slots[!r.big] : 0);
    const double time =
        work_ahead(r, r.big && !split) / best_pace(1) + mean_run / 2;  // half of a run is left
    return slots > 0 ? static_cast<Micros>(time / slots) : 0;
  }

  // Would end after its client has given up: told at once. Late for its aim alone is still worth something.
  bool in_vain(const Request& r) const {
    const Micros until = may_refuse(r) && queues.contains(r.queue) ? turn(r) : 0;
    return until > 0 && now + until + run_time(r) > r.deadline;
  }

  Micros hold_off(const Request& r) const {
    const Micros until = turn(r);
    if (!set.may_hold_off || ends > 0) return 0;
    return until > 0 ? std::min(until, set.max_hold_off) : set.max_hold_off;
  }

  void give_up(Request& r) {
    if (may_refuse(r)) out->push_back(Refuse{r.id, hold_off(r)});
    else out->push_back(Fail{r.id});
    answered(r);
  }

  const Attempt* tie_to_group(Request& r) const {  // a keyed repeat: its group alone drops what ran before
    r.queue = {true, r.big, r.of->worker_kind, "", -1};
    const Attempt* first = r.may_have_run();
    if (first == nullptr || r.of->effect != Effect::keyed) return nullptr;
    r.queue.anywhere = r.of->scope == Scope::all;
    if (r.of->scope == Scope::zone) r.queue.zone = first->zone;
    if (r.of->scope == Scope::group) r.queue.group = first->group;
    return first;
  }

  // Guards against queues full of late jobs; what those still earn is given up while all starts are late.
  bool others_wait(const Request& r) const {
    if (queues.contains(r.queue)) return true;
    const auto is_short = [&](auto& zone) { return zone.second.left(now, kJobMemory * mean_run) > kShort; };
    return (r.of->late_worth <= 0 || std::all_of(late.begin(), late.end(), is_short)) && late_workers > 0;
  }

  void hold(Request& r) {
    const Attempt* first = tie_to_group(r);
    const bool is_late = now + run_time(r) > r.due;
    if (ends > 0 && now + run_time(r) > ends && may_refuse(r)) return give_up(r);
    r.place = {is_late ? 2 : r.over_share ? 1 : 0, r.big ? static_cast<Micros>(r.work) : 0, r.arrival};
    if (set.tells_slots ? in_vain(r) : is_late && may_refuse(r) && others_wait(r)) return give_up(r);
    stuck &= queues.contains(r.queue);
    enqueue(r);
    if (first != nullptr) alarm(first->sent + r.of->memory, Why::hopeless, r.id);
    if (!is_late) alarm(r.due - run_time(r) + std::max<Micros>(set.tick, 1), Why::hopeless, r.id);
  }

  // Rule 1: what is held is answered just before the time is up, what is out just after it at the latest.
  void deadline(Request& r) {
    if (now < r.deadline && r.any_out()) return alarm(r.deadline, Why::deadline, r.id);
    give_up(r);
  }

  // Held past the last start for its aim: behind the rest. Past its group's memory: nobody may take it.
  void hopeless(Request& r) {
    if (r.held && !may_resend(r)) return give_up(r);
    if (!r.held || std::get<0>(r.place) > 1) return;
    dequeue(r);
    hold(r);
  }
};

}  // namespace woadridge
