// Trials whether a cancel drops waiting work, copies where it does, and attempts that start late.
#pragma once

#include "decide/retries.h"

namespace woadridge {

// Evidence that a cancel stops work, when it is believed or given up, and the most that one's word adds.
constexpr int kStops = 2, kRunsOn = -1, kBelieved = 6, kGivenUp = -3, kSay = 4;
// Copies for such trials, and of what is sent beyond them: where no job ever waits none concludes.
constexpr double kTrialsFree = 20, kTrialsPart = 0.02;

struct Trials : Retries {
  void end_trial(const Request& r, int verdict) {
    evidence += verdict;
    if (verdict != 0) tell(std::clamp(evidence, -kSay, kSay));  // alone with few jobs it would take a day
    trial = {};
    call_off_all_but(r, r.answered ? -1 : 0);
  }

  // Copies go to one worker until one waits; two are called off, one more sent: does it start in their place?
  bool fit_for_trial(const Request& r, const Worker& w) {
    if (!set.may_copy || !set.may_cancel || proof() >= kBelieved || proof() <= kGivenUp) return false;
    if (r.of->effect != Effect::safe || r.attempts.size() != 1 || cold(w)) return false;
    if (trial_copies > kTrialsFree + kTrialsPart * sends) return false;
    return r.work <= mean_run && r.work > 4 * static_cast<double>(start_limit(w));
  }

  bool may_line_up(const Request& r, Worker& w, int more) {
    return r.attempts_left() >= more && may_resend(r) && may_take(w, r);
  }

  void go_on_trial(Request& r, int started, Worker& w) {
    if (trial.id == 0 && fit_for_trial(r, w)) trial.id = r.id;
    if (trial.id != r.id) return call_off_all_but(r, started);
    if (trial.waiting >= 0 || !may_line_up(r, w, 1)) return end_trial(r, 0);
    send(r, w);
  }

  void line_up(Request& r, Worker& w, int waiting) {
    if (trial.waiting >= 0) return;
    if (r.of->late_worth > 0) return end_trial(r, kRunsOn);  // no use for it, but the slots have shown
    if (r.out_attempt(0) == nullptr || !may_line_up(r, w, 2)) return end_trial(r, 0);
    send(r, w);
    for (const int dropped : {waiting, waiting + 1}) out->push_back(Cancel{r.id, dropped});
    trial.waiting = waiting + 2;
    send(r, w);
  }

  // A job that waits is sent once more where waiting work is dropped, and the first to start is kept.
  void copy(Request& r) {
    if (proof() < kBelieved || r.held || !may_resend(r)) return;
    tie_to_group(r);
    if (Worker* w = pick(r)) send(r, *w);
  }

  // Sent and not started though a free slot would have taken it at once: others use that worker.
  void overdue(Request& r, Attempt& a, int number) {
    if (a.seen_start || a.late_start) return;
    Worker& w = *a.worker;
    count_late(w, a);
    show(w);
    see_others(w, std::max(0.0, w.of->slots - w.running));
    if (trial.id == r.id) return line_up(r, w, number);
    see_start(w, true);
    copy(r);
  }

  // Sent, not started and now too late: where it is worth nothing and a cancel stops it, it makes room.
  void vain(Request& r, const Attempt& a) {
    if (a.seen_start || trial.id == r.id) return;
    see_wait(a);
    if (set.may_cancel && r.of->late_worth <= 0 && !r.any_running() && may_refuse(r)) give_up(r);
  }
};

}  // namespace woadridge
