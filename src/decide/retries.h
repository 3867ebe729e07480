// Sends and what follows them: outcomes, judgement of workers, another attempt or the final answer.
#pragma once

#include "decide/choice.h"

namespace woadridge {

constexpr int kDoublings = 4;    // of a judged worker's rest, or of waits for a list
constexpr int kMissedNotes = 2;  // times the progress notes' span in which a running job is heard of

struct Retries : Choice {
  Micros start_limit(const Worker& w) {  // a free slot shows by then: handshakes take up to three round trips
    return 4 * least_delay(w.info.zone, set.connect_timeout / 4) + 2 * set.tick;
  }

  void send(Request& r, Worker& w) {
    dequeue(r);
    ++sends;
    if (trial.id == r.id) ++trial_copies;
    if (w.of->slots - others(w) - w.out < kRoom) w.of->next_trial = now + kSlotTrial;
    const auto number = static_cast<int>(r.attempts.size());
    Attempt& a = r.attempts.emplace_back(Attempt{&w, w.info.zone, w.info.group, now});
    if (set.tells_start) {
      alarm(now + start_limit(w), Why::overdue, r.id, number);
      const Micros last_start = r.due - static_cast<Micros>(r.work / speed(w));
      if (last_start > now) alarm(last_start, Why::vain, r.id, number);
    } else {
      a.start(now);
    }
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
    }
    stuck = true;
    if (queues.empty() || std::exchange(pump_due, true)) return;
    alarm(now + std::max<Micros>(static_cast<Micros>(mean_run / 8), 4 * set.tick), Why::pump);
  }

  void judge(Worker& w) {
    w.judged_until = now + (kFirstTrial << std::min(w.strikes++, kDoublings));
    resting.emplace(w.judged_until, w.info.id);
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
