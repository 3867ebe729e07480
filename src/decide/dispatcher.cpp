// One dispatcher's events; the interface is src/decide.h. Each file here stands on the one that it includes.
#include "decide/trials.h"

namespace woadridge {

constexpr Micros kAskAgain = 400'000;  // first wait after a failed list call, doubling as often, with jitter

struct Dispatcher::State : Trials {
  void on(const Start& e) {
    random = Random(e.settings.seed);
    born = now;
    on(Change{e.settings});
  }

  // What is open goes on under the class that it was taken with; what is forbidden from now on ends now.
  void on(const Change& e) {
    trial = {};
    if (!e.settings.may_copy) call_off_copies();
    const auto mode = set.list_mode;
    take(e.settings);
    for (auto& [id, w] : workers) show(w);
    set_lanes();
    if (set.list_mode == ListMode::asked && mode != ListMode::asked) ask_later(set.tick);
  }

  void ask_later(Micros wanted) {
    if (std::exchange(asking, true)) return;
    if (set.must_ask_in > 0) wanted = std::min(wanted, set.must_ask_in);
    alarm(now + static_cast<Micros>(static_cast<double>(wanted) * (1 + random.uniform())), Why::ask);
  }

  // A list that can't be had stays in force. All ask at once after an outage: back off, with jitter.
  void on(const WorkerList& news) {
    if (news.kind == ListKind::failed)
      return ask_later(std::max(kAskAgain, now - asked) << std::min(failed_asks++, kDoublings));
    if (news.kind != ListKind::remembered) failed_asks = 0;
    ++lists;
    for (auto info : news.workers) {
      const double weight = std::exchange(info.size, set.weights == Weights::nominal ? info.size : 1);
      Worker& w = remember(info);
      if (set.weights == Weights::live) see_weight(w, weight);
      show(w);
    }
    if (news.kind != ListKind::changes) mark_absent();
    for (const auto& id : leaving) show(workers[id]);
    forget_gone();
    set_lanes();
  }

  void on(const Beside& e) { see_beside(e); }

  // Nothing new there until staff put it back. Meanwhile it was restarted, whatever the late list says: cold.
  void on(const Maintain& e) {
    Worker* w = set_banned(e.worker, e.out);
    if (w == nullptr) return;
    if (!e.out) w->new_process(now);
    show(*w);
    set_lanes();
  }

  void on(const Taken& e) { see_taken(e); }

  void on(const Started& e) {
    auto [r, a] = attempt(e.id, e.attempt);
    if (a == nullptr || a->seen_start) return;
    Worker& w = *a->worker;
    count_start(w, *r, *a, kShareSpan);
    if (trial.id != r->id) see_wait(*a);
    see_slots(w, w.running);
    if (!a->late_start) see_start(w, false);
    const double rest = w.of->slots - w.running;
    see_others(w, a->late_start ? rest : std::min(others(w), rest));
    // One that could not be reached and now runs a job has restarted, whatever the late list says: cold.
    if (w.unreachable) w.new_process(now);
    show(w);
    if (!r->answered) go_on_trial(*r, e.attempt, w);  // a start note may come with the final answer
    else if (trial.id == r->id && e.attempt == trial.waiting) end_trial(*r, kStops);
  }

  void on(const Progress& e) {  // a slowed worker shows long before its jobs end
    auto [r, a] = attempt(e.id, e.attempt);
    if (a != nullptr) learn_pace(*a->worker, *r, *a, e.done);
  }

  void on(const auto&) {}  // Stop, and Probed: no probe is asked for, see docs/design.md

  void on(const Arrival& a) {
    Request& r = accept(a);
    if (a.hint) learn_hint(*a.hint);
    if (mean_run <= 0 || (set.tells_slots && a.hint && hints.kept.size() == 1)) mean_run = mean_work = r.work;
    mean_work += (r.work - mean_work) / kKindMemory;
    r.big = threshold > 0 && a.hint && static_cast<double>(*a.hint) > threshold;
    const Micros gone_by = set.tells_slots ? 0 : asked_before(a);
    r.due = now - gone_by + r.of->aim + static_cast<Micros>(r.of->stretch * r.work);
    r.over_share = !a.repeated && gone_by < set.connect_timeout && beyond_share(a.tenant);
    if (a.crowded) return give_up(r);  // rather than let it wait for a descriptor till its time is up
    alarm(r.deadline - 2 * set.tick, Why::deadline, r.id);
    hold(r);
  }

  void on(const Outcome& o) {
    auto [r, a] = attempt(o.id, o.attempt);
    if (a == nullptr) return;
    Worker& w = *a->worker;
    a->end(o.result);
    count_end(w, *r, *a);
    learn_outcome(w, *r, *a, o.result);
    see_slots(w, std::round(o.report.free_slots.value_or(0)));
    show(w);
    if (o.finished && !r->answered) answered(*r);
    else if (r->answered) erase_ended(*r);
    else go_on(*r);
  }

  void on(const ClientLeft& e) {
    if (auto* r = find(e.id); r != nullptr && !r->answered) answered(*r);
  }

  // Guards against jobs lost with the process: what can't end by then isn't begun, the rest answered then.
  void on(const Ending& e) {
    ends = e.at;
    if (now < ends) return;
    for (Request* r : unanswered()) give_up(*r);
  }

  void on(const TimerFired& e) {
    const Alarm a = take_alarm(e.token).value_or(Alarm{Why::none});
    if (a.why == Why::pump) pump_due = stuck = false;
    if (a.why == Why::ask) subscribe();
    auto [r, tried] = attempt(a.id, a.attempt);
    if (r != nullptr && a.why == Why::verdict && trial.id == r->id) return end_trial(*r, kRunsOn);
    if (r == nullptr || r->answered) return;
    if (a.why == Why::deadline) deadline(*r);
    if (a.why == Why::hopeless) hopeless(*r);
    if (tried == nullptr) return;
    if (a.why == Why::silent) silent(*r, *tried, a.attempt);
    if (a.why == Why::overdue) overdue(*r, *tried, a.attempt);
    if (a.why == Why::vain) vain(*r, *tried);
  }

  void on(const PeerTold& e) { hear(e, kSay); }
};

std::size_t Dispatcher::avoided(Micros now) const {
  return state_ ? state_->avoided(now) : 0;
}

void Dispatcher::handle(Micros now, const Event& event, std::vector<Action>& out) {
  if (std::holds_alternative<Start>(event)) state_ = std::make_unique<State>();
  if (std::holds_alternative<Stop>(event)) state_.reset();
  if (!state_) return;
  State& s = *state_;
  s.begin(now, &out);
  for (Worker* w : s.rested()) s.show(*w), s.stuck &= w->info.slots <= 0;
  std::visit([&s](const auto& e) { s.on(e); }, event);
  if (!std::holds_alternative<Arrival>(event) && !std::holds_alternative<TimerFired>(event)) s.stuck = false;
  if (!s.stuck) s.pump();  // most arrivals and timers open no room
}

}  // namespace woadridge
