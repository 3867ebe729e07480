// Sends and what follows them: outcomes, judgement of workers, another attempt or the final answer.
#pragma once

#include "decide/choice.h"

namespace woadridge {

// How long a full answer counts where slots are told; between two tries to place what is held, at least.
constexpr Micros kOverlap = 200'000, kRecent = 2'000'000, kLeastPause = 2'000;
// Doublings of a judged worker's rest or a wait for a list; spans of progress notes until one is missed.
constexpr int kDoublings = 4, kMissedNotes = 2;

struct Retries : Choice {
  Micros start_limit(const Worker& w) { return 4 * least_delay(w, set.connect_timeout / 4) + 2 * set.tick; }

  void send(Request& r, Worker& w) {
    dequeue(r);
    if (w.of->slots - others(w) - w.out < kRoom) w.of->next_trial = now + kSlotTrial;
    const auto number = static_cast<int>(r.attempts.size());
    Attempt& a = r.attempts.emplace_back(Attempt{&w, w.info.zone, w.info.group, now});
    const Micros last_start = r.due - static_cast<Micros>(r.work / speed(w));
    if (!set.tells_start) a.start(now);
    if (set.tells_start) alarm(now + start_limit(w), Why::overdue, r.id, number);
    if (set.tells_start && last_start > now) alarm(last_start, Why::vain, r.id, number);
    if (set.tells_taken) alarm(now + set.connect_timeout, Why::silent, r.id, number);
    count_send(w, r, a.seen_start);
    mean_out += (slots_out - mean_out) / kKindMemory;
    if (cold(w)) w.sent.emplace_back(now, cold_load(r.work));
    show(w);
    out->push_back(Send{r.id, w.info.id, 0});
  }

  void pump() {
    for (const auto& key : queue_keys()) {
      while (queues.contains(key)) {
        Request& r = requests.at(queues[key].begin()->second);
        Worker* w = pick(r);
        if (!may_resend(r)) give_up(r);
        else if (w != nullptr) send(r, *w);
        else if (std::get<0>(r.place) > 1 && r.of->late_worth <= 0) give_up(r);
        else break;
      }
      small_waited |= !key.big && queues.contains(key) && !big_waits();
      while (queues.contains(key) && in_vain(last_of(key))) give_up(last_of(key));
    }
    stuck = true;
    if (queues.empty() || std::exchange(pump_due, true)) return;
    alarm(now + std::max({static_cast<Micros>(mean_run / 8), 4 * set.tick, kLeastPause}), Why::pump);
  }

  void judge(Worker& w) {
    rest(w, w.judged_until = now + (kFirstTrial << std::min(w.strikes++, kDoublings)));
    show(w);
    set_lanes();
  }

  // One connection that breaks says little of the worker: it is judged at the second with no answer between.
  void doubt(Worker& w) {
    if (!std::exchange(w.suspect, true)) return;
    w.unreachable = true;
    judge(w);
  }

  void learn_outcome(Worker& w, const Request& r, Attempt& a, Result result) {
    if (result == Result::ok) {
      w.strikes = std::max(0, w.strikes - 1);
      w.suspect = false;
      if (w.cap > 0) w.cap += 1;
      learn_pace(w, r, a, 1);
      if (a.seen_start) mean_run += (static_cast<double>(now - a.started) - mean_run) / kKindMemory;
    } else if (result == Result::full && w.info.slots > 0) {
      if (now >= w.cap_ends) w.fulls = now - w.cap_ends < kRecent ? std::min(w.fulls + 1, kDoublings - 1) : 0;
      w.cap = w.out;
      rest(w, w.cap_ends = now + (kOverlap << w.fulls));
      alarm(w.cap_ends, Why::rested);
    } else if (result == Result::full) {
      see_full(w);
      see_start(w, true);
      // Full without a job of ours: it drains unannounced or others fill it, so it rests and is tried again.
      if (w.out > 0) w.cap = w.out;
      else judge(w);
      see_others(w, w.of->slots);
    } else if (result == Result::no_connection || result == Result::broken) {
      w.suspect |= result == Result::no_connection;
      doubt(w);
    }
    // Guards against a worker that fails at once: always free, it draws every job. Repeats may be at fault.
    if (result == Result::error && r.may_have_run() == &a) judge(w);
  }

  // An attempt has ended without an answer: another if the rules and the time allow, else the final answer.
  void go_on(Request& r) {
    if (r.held || r.any_out()) return;
    if (now >= r.deadline || !may_resend(r)) give_up(r);
    else hold(r);
  }

  // Guards against a connection that has fallen silent: taken is told at once, a run each so often.
  void silent(const Request& r, const Attempt& a, int number) {
    if (!set.may_cancel || (a.seen_start && set.progress_every <= 0)) return;
    const Micros queued = a.taken ? now + set.connect_timeout : now;
    const Micros until = a.seen_start ? a.heard + kMissedNotes * set.progress_every : queued;
    if (now < until) return alarm(until, Why::silent, r.id, number);
    doubt(*a.worker);
    out->push_back(Cancel{r.id, number});
  }
};

}  // namespace woadridge
