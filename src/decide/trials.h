// Trials whether a cancel drops waiting work, copies where it does, and attempts that start late.
#pragma once

#include "decide/retries.h"

namespace woadridge {

constexpr int kStops = 2, kRunsOn = -1;      // evidence that a cancel stops work: chance shows it rarely, ...
constexpr int kBelieved = 6, kGivenUp = -3;  // ... a queue hides it often; believed, and no more trials made
constexpr int kSay = 4;                      // the most that one dispatcher's word adds to it
// Copies for such trials, and of what is sent beyond them: where no job ever waits none concludes.
constexpr double kTrialsFree = 20, kTrialsPart = 0.02;

struct Trials : Retries {
  void end_trial(const Request& r, int verdict) {
    evidence += verdict;
    // Guards against trials that take a day where each dispatcher has few jobs: verdicts are shared.
    if (verdict != 0) tell(std::clamp(evidence, -kSay, kSay));
    trial = {};
    call_off_all_but(r, r.answered ? -1 : 0);
  }

  // Does a cancel drop waiting work? Copies of a small safe job go to one worker until one waits; that and
  // another are called off, and one more sent. If it starts as the job ends, nobody stood before it.
  bool fit_for_trial(const Request& r, const Worker& w) {
    if (!set.may_copy || !set.may_cancel || proof() >= kBelieved || proof() <= kGivenUp) return false;
    if (r.of->effect != Effect::safe || r.attempts.size() != 1 || cold(w)) return false;
    if (trial_copies > kTrialsFree + kTrialsPart * sends) return false;
    return r.work <= mean_run && r.work > 4 * static_cast<double>(start_limit(w));
  }

  bool may_line_up(const Request& r, Worker& w, std::size_t more) {
    return r.attempts.size() + more <= static_cast<std::size_t>(r.most_attempts) && may_resend(r) &&
           may_take(w, r);
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
    a.late_start = true;
    count_late(w, 1);
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
