// All decisions of a dispatcher; the interface is src/decide.h, the reasons are in docs/design.md.
// Thresh-SPLIT(d): hint above d -> a small lane for big jobs, the rest -> the other workers, each job held
// here until a worker of its lane has room. In order: learn, classify, hold, pick, send, outcome, time-out.
#include "decide.h"

#include <algorithm>
#include <set>

#include "records.h"

namespace woadridge {
namespace {

constexpr std::size_t kWarmUpHints = 20;   // own hints before d means anything: below, all jobs are small
constexpr std::size_t kHintMemory = 1000;  // hints kept: ten lie above the 99th percentile
constexpr std::size_t kHintStep = 16;      // arrivals between two computations of d: it moves slowly
constexpr double kBigQuantile = 0.99;      // where d starts, from the design page
constexpr double kThresholdFall = 0.9;     // d's factor for each small-lane "full" ...
constexpr double kThresholdFloor = 0.05;   // ... down to here ...
constexpr double kThresholdDrift = 1.02;   // ... and back at each computation of d
constexpr double kRoom = 0.5;              // least free room, in slots, that counts: rounds to one slot
constexpr double kJobMemory = 10;          // mean jobs over which a worker's pace and the usual wait fade
constexpr double kKindMemory = 100;        // the same for a kind of worker
constexpr double kUnknownSpeed = 0.5;  // of a kind never seen to finish a job: half a core, on the safe side
constexpr double kKnownWorkers = 4;    // workers that a dispatcher keeps to in each lane and zone ...
constexpr double kKnownPerJob = 1.4;   // ... and so many more for each own job out
constexpr double kFill = 1.5;          // times the mean load at which a key's place passes on a part ...
constexpr double kPartStep = 0.8;      // ... that changes at most so fast with each list ...
constexpr double kLeastPart = 0.02;    // ... and never to all
constexpr double kKeeperRoom = -1;     // slots: one job may wait at a key's place, a fetch takes longer
constexpr int kRanked = 16;    // workers looked at for one job once one of them would do: more differ little
constexpr int kLookedAt = 96;  // and before: a walk over a fleet that others fill must end
constexpr double kZoneGap = 0.1;     // the own zone comes first until its late share is so far above others'
constexpr double kShort = 0.75;      // share of late starts in every zone at which the fleet is short
constexpr double kColdMargin = 0.7;  // part of the cold budget used: hints are off by up to a half
constexpr double kEvenParts = 20;    // dispatchers that have even parts of a cold budget; of more, ...
constexpr double kGrants = 1.0;      // ... one with 1/n of the traffic may send 1/n over its draw in a span,
constexpr double kProvenGrants = 1.6;    // ... so much where its last own job started at once, ...
constexpr double kMostGrant = 0.25;      // ... and at most this: docs/design.md has the bound
constexpr Micros kFirstTrial = 500'000;  // a judged worker's first trial comes after this, then doubling ...
constexpr int kDoublings = 4;            // ... so often
constexpr int kMissedNotes = 2;          // times the progress notes' span in which a running job is heard of
constexpr Micros kSlotTrial = 500'000;   // between two tries to find one more slot than a kind has shown
constexpr double kWaitMargin = 1.5;      // times the usual wait at workers that a last start leaves room for
constexpr double kOthersJobs = 1.5;      // mean jobs over which what is known of others' use fades
constexpr double kShareSpan = 10e6;      // microseconds over which a tenant's traffic is weighed
constexpr double kShareFirst = 0.7;      // of a tenant's part goes first: what a short fleet can serve
constexpr int kStops = 2;                // evidence that a cancel stops work: chance shows it rarely ...
constexpr int kRunsOn = -1;              // ... and a queue of others hides it often
constexpr int kSay = 4;                  // the most that one dispatcher's word adds to it
constexpr int kBelieved = 6;             // evidence at which it is believed
constexpr int kGivenUp = -3;             // and at which no more trials are made
constexpr double kTrialsFree = 20;       // copies for such trials, and beyond them ...
constexpr double kTrialsPart = 0.02;  // ... this part of what is sent: where no job ever waits none concludes
constexpr Micros kAskAgain = 400'000;  // first wait after a failed list call, doubling as often, with jitter

}  // namespace

struct Dispatcher::State : Memory {
  // ---- learn ----
  void on(const Start& e) {
    random = Random(e.settings.seed);
    born = now;
    on(Change{e.settings});
  }

  // What is open goes on under the class that it was taken with; what is forbidden from now on ends now.
  void on(const Change& e) {
    trial = {};
    if (!e.settings.may_copy)
      for (const auto id : open_ids()) call_off_all_but(requests.at(id), requests.at(id).first_out());
    const auto mode = set.list_mode;
    take(e.settings);
    for (auto& [id, w] : workers) show(w);
    set_lanes();
    stuck = false;
    if (set.list_mode == ListMode::asked && mode != ListMode::asked) ask_later(set.tick);
  }

  void ask_later(Micros wanted) {
    if (std::exchange(asking, true)) return;
    if (set.must_ask_in > 0) wanted = std::min(wanted, set.must_ask_in);
    alarm(now + static_cast<Micros>(static_cast<double>(wanted) * (1 + random.uniform())), Why::ask);
  }

  // A list that can't be had stays in force. All ask at once after an outage: back off, with jitter. Guards
  // against calls that were waited for in vain: discovery works them off all the same, before those to come.
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

  void on(const Beside& e) { see_beside(e); }

  // Nothing new there until staff put it back. Meanwhile it was restarted, whatever the late list says: cold.
  void on(const Maintain& e) {
    Worker* w = set_banned(e.worker, e.out);
    if (w == nullptr) return;
    if (!e.out) w->new_process(now);
    show(*w);
    set_lanes();
  }

  double speed(const Worker& w) const {  // own jobs there, leaning on its kind until there are some
    const double lean = std::max(1.0, mean_run);
    return (w.pace.work + lean * w.of->pace.speed(kUnknownSpeed)) / (w.pace.time + lean);
  }

  // What was done since the last news; hints are noisy, so sums that fade are compared. Not of repeats, which
  // may go on from saved work, nor of jobs without a hint, which are taken for average ones.
  void learn_pace(Worker& w, const Request& r, Attempt& a, double done) {
    if (r.hinted && a.seen_start && r.attempts.size() == 1 && done > a.done) {
      const double work = r.work * (done - a.done);
      const auto time = static_cast<double>(now - a.heard);
      w.pace.add(work, time, kJobMemory * mean_run);
      w.of->pace.add(work, time, kKindMemory * mean_run);
    }
    a.done = std::max(a.done, done);
    a.heard = now;
  }

  // Slots in use by others: as seen last, fading as their jobs end to what is usual in the zone.
  double others(const Worker& w) const {
    return usual_others(w) + w.others.left(now, kOthersJobs * mean_run);
  }

  double usual_others(const Worker& w) const {  // cold ones are no busier than they are let
    return cold(w) ? 0 : w.of->slots * w.zone_late->left(now, kOthersJobs * mean_run);
  }

  void see_others(Worker& w, double slots) { w.others.see(now, slots - usual_others(w)); }

  void see_start(const Worker& w, bool is_late) { w.zone_late->blend(now, is_late ? 1 : 0, kJobMemory); }

  // Guards against a zone with more traffic than its workers can carry: first only while starts are prompt.
  bool own_zone_first() const {
    const auto own = late.find(set.zone);
    const auto prompter = [&](auto& l) { return own->second.value > l.second.value + kZoneGap; };
    return own == late.end() || std::none_of(late.begin(), late.end(), prompter);
  }

  double usual_wait() const { return wait.left(now, kJobMemory * mean_run); }

  void see_wait(const Attempt& a) { wait.blend(now, static_cast<double>(now - a.sent), kJobMemory); }

  void on(const Taken& e) {
    if (Attempt* a = attempt(e.id, e.attempt).second; a != nullptr) a->taken = true;
  }

  void on(const Started& e) {
    auto [r, a] = attempt(e.id, e.attempt);
    if (a == nullptr || a->seen_start) return;
    Worker& w = *a->worker;
    a->start(now);
    count_start(w, *r, *a);
    see_own_start(kShareSpan);
    if (trial.id != r->id) see_wait(*a);
    see_delay(w.info.zone, now - a->sent);
    see_slots(w, w.running);
    if (!a->late_start) see_start(w, false);
    const double rest = w.of->slots - w.running;
    see_others(w, a->late_start ? rest : std::min(others(w), rest));
    // One that could not be reached and now runs a job has restarted, whatever the late list says: cold.
    if (w.unreachable) w.new_process(now);
    show(w);
    // A start note may come in the batch of the final answer.
    if (!r->answered) go_on_trial(*r, e.attempt, w);
    else if (trial.id == r->id && e.attempt == trial.waiting) end_trial(*r, kStops);
  }

  void on(const Progress& e) {  // a slowed worker shows long before its jobs end
    auto [r, a] = attempt(e.id, e.attempt);
    if (a != nullptr) learn_pace(*a->worker, *r, *a, e.done);
  }

  void on(const auto&) {}  // Stop, and Probed: no probe is asked for, see docs/design.md

  // ---- classify ----
  void learn_hint(Micros hint) {
    hints.add(hint, kHintMemory);
    if (hints.kept.size() < kWarmUpHints || arrivals % kHintStep != 0) return;
    factor = std::min(1.0, factor * kThresholdDrift);
    threshold = hints.quantile(kBigQuantile) * factor;
    big_share = hints.work_above(threshold);
    set_lanes();
  }

  // d falls while the small lane is full and the big lane isn't: big jobs' workers have room for more.
  void see_full(const Worker& w) {
    if (w.big_lane) big_full_at = now;
    else if (now - big_full_at > kFirstTrial) factor = std::max(kThresholdFloor, factor * kThresholdFall);
  }

  bool usable(const Worker& w) const { return w.is_offered() && now >= w.judged_until; }

  // Listed, and nothing goes there: by hand or by judgement. Who drains is left out by the list.
  std::size_t avoided(Micros at) const {
    std::size_t all = 0;
    for (const auto& [id, w] : workers)
      all += w.info.phase == Phase::serving && (w.banned || at < w.judged_until);
    return all;
  }

  void show(Worker& w) { shelves.stand(w, {usable(w), room_at(w), w.out <= 0, w.big_lane}); }

  // By own jobs alone: walks pass the shut ones and look at the full ones last.
  index::Room room_at(const Worker& w) const {
    using index::Room;
    if ((w.cap > 0 && w.out >= w.cap) || w.late_starts > 0) return Room::shut;
    return w.out < w.of->slots ? Room::open : w.waiting == 0 ? Room::full : Room::shut;
  }

  // One more slot than its kind had shown: full ones of the kind are no longer.
  void see_slots(const Worker& w, double slots) {
    if (slots <= w.of->slots) return;
    w.of->slots = slots;
    w.of->next_trial = now;  // what has just shown one may have more
    for (Worker* other : filled()) show(*other);
  }

  // The big lane: for each kind that a class needs the first workers in hash order, up to the big jobs'
  // share of the size. A lane must outlive its only worker, so judged ones are passed over.
  void set_lanes() {
    std::vector<Worker*> chosen;
    for (const auto& [kind, row] : shelves.rows()) {
      std::int64_t taken = 0;
      const double wanted = big_share * static_cast<double>(row.size);
      std::size_t n = 0;
      for (const auto& spot : row.workers) {
        if (n + 1 == row.workers.size() || (n > 0 && static_cast<double>(taken) >= wanted)) break;
        ++n;
        chosen.push_back(static_cast<Worker*>(spot.owner));
        taken += chosen.back()->size;
      }
    }
    split = !chosen.empty();  // a lone worker serves both lanes
    for (Worker* w : put_in_big_lane(chosen)) show(*w);
  }

  // Guards against one tenant crowding out the rest: its part is what the others send of their quotas.
  bool beyond_share(const std::string& name) {
    const auto found = tenants.find(name);
    if (found == tenants.end() || found->second.quota <= 0 || set.over_share_worth >= 1) return false;
    Tenant& own = found->second;
    see_tenant(own, kShareSpan);
    const auto [quotas, sent] = all_tenants_but(own);
    const double part = quotas > 0 ? own.quota * sent / quotas : own.recent.value;
    return random.uniform() * own.recent.value > kShareFirst * part + 1;
  }

  void on(const Arrival& a) {
    Request& r = requests[a.id];
    r.id = a.id;
    r.deadline = now + a.time_left;
    r.slots = std::max(a.slots, 1.0);
    r.of = class_named(a.class_name);
    r.most_attempts = set.max_attempts;
    r.arrival = ++arrivals;
    r.key = a.key;
    r.hinted = a.hint.has_value();
    r.work = r.hinted ? static_cast<double>(*a.hint) : mean_run;
    if (a.hint) learn_hint(*a.hint);
    if (mean_run <= 0) mean_run = mean_work = r.work;
    mean_work += (r.work - mean_work) / kKindMemory;
    r.big = threshold > 0 && a.hint && static_cast<double>(*a.hint) > threshold;
    // A shorter time than a first try's tells a repeat, and how long ago its client first asked.
    auto& longest = longest_ttl[a.class_name];
    longest = std::max(longest, a.time_left);
    const Micros gone_by = longest - a.time_left;
    r.due = now - gone_by + r.of->aim + static_cast<Micros>(r.of->stretch * r.work);
    r.over_share = !a.repeated && gone_by < set.connect_timeout && beyond_share(a.tenant);
    // Guards against clients that wait for a descriptor till their time is up: they are told at once.
    if (a.crowded) return give_up(r);
    alarm(r.deadline - 2 * set.tick, Why::deadline, r.id);
    hold(r);
  }

  // ---- hold ----
  Micros run_time(const Request& r) const {  // on a worker of the best kind and after the usual wait there
    const double best = best_pace();
    return best > 0 ? static_cast<Micros>(r.work / best + kWaitMargin * usual_wait()) : 0;
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

  void hold(Request& r) {
    const Attempt* first = tie_to_group(r);
    const bool is_late = now + run_time(r) > r.due;
    if (ends > 0 && now + run_time(r) > ends && may_refuse(r)) return give_up(r);
    // Too late for its full worth while others wait: refused at once, so that the client knows.
    if (is_late && may_refuse(r) && others_wait(r)) return give_up(r);
    r.place = {is_late ? 2 : r.over_share ? 1 : 0, r.big ? static_cast<Micros>(r.work) : 0, r.arrival};
    stuck &= queues.contains(r.queue);
    enqueue(r);
    if (first != nullptr) alarm(first->sent + r.of->memory, Why::hopeless, r.id);
    if (!is_late) alarm(r.due - run_time(r) + set.tick, Why::hopeless, r.id);
  }

  // Here, or at a worker. Guards against hundreds of dispatchers that keep all queues full of late jobs; what
  // a late answer still earns is given up only while nearly all starts are late.
  bool others_wait(const Request& r) const {
    if (queues.contains(r.queue)) return true;
    const auto is_short = [&](auto& zone) { return zone.second.left(now, kJobMemory * mean_run) > kShort; };
    return (r.of->late_worth <= 0 || std::all_of(late.begin(), late.end(), is_short)) && late_workers > 0;
  }

  // ---- pick ----
  // Free room in slots. A job sent and not started tells of a full worker long before "full" does.
  double room(const Worker& w) const {
    if ((w.cap > 0 && w.out >= w.cap) || w.late_starts > 0) return 0;
    const double free = w.of->slots - others(w) - w.out;
    const bool one_more = w.out >= w.of->slots && w.waiting == 0 && now >= w.of->next_trial;
    return one_more ? std::max(free, kRoom) : free;
  }

  bool cold(const Worker& w) const { return w.info.started > 0 && now - w.info.started < set.warm_after; }

  // This dispatcher's part of what a cold worker may be sent in one span, in work. Judged by the warm of
  // its kind and the slowest warming that the settings allow. After a restart alone all is taken as spent.
  bool within_cold_budget(Worker& w, double work) {
    if (!cold(w) || set.overload_span <= 0) return true;
    if (!beside.began && now - born < set.overload_span && w.info.started < born) return false;
    if (ends > 0 && beside.serves) return false;  // the rest is the other process's
    const double used = pieces() * (cold_load(work) + w.sent_since(now - set.overload_span));
    const double age = static_cast<double>(std::max<Micros>(0, now - set.overload_span - w.info.started));
    const double part = set.cold_from + (1 - set.cold_from) * age / static_cast<double>(set.warm_after);
    const double capacity = w.of->slots * speed(w) * part;
    const double budget =
        kColdMargin * set.overload_factor * capacity * static_cast<double>(set.overload_span);
    return used <= budget * cold_part(w);
  }

  // Guards against two processes of one dispatcher that each send what it may alone: a half each, until a
  // span after the other let go. One that begins beside another has a third: that may just have sent all.
  double pieces() const {
    if (beside.began && now - born < set.overload_span) return 3;
    return beside.shares || now - shared < set.overload_span ? 2 : 1;
  }

  // Guards against cold workers left empty: 1/100 of a budget holds no job. In a large fleet own draws, the
  // same throughout, grant much to few, more likely to those with much of the traffic.
  double cold_part(const Worker& w) const {
    const double even = 1.0 / std::max(1, set.fleet_size);
    if (set.fleet_size <= kEvenParts) return even;
    const double part = tenants_quota > 0 ? start_rate(kShareSpan) / tenants_quota : even;
    return std::min(kMostGrant, (w.prompt ? kProvenGrants : kGrants) * part / w.own_draw());
  }

  double cold_load(double work) const { return std::max(work, mean_work); }  // light jobs count too

  bool may_take(Worker& w, const Request& r) { return fits(w, r) && within_cold_budget(w, r.work); }

  bool fits(const Worker& w, const Request& r) const {
    if (!usable(w) || !r.queue.names(w.info)) return false;
    // Unlike servers: a job that can still be in time doesn't go where it would end late.
    const auto end = now + static_cast<Micros>(r.work / speed(w) + usual_wait());
    if (std::get<0>(r.place) < 2 && w.of->pace.time > 0 && end > r.due) return false;
    return ends == 0 || end <= ends;
  }

  Worker* best(const Request& r, bool big_lane, bool idle_only) {
    Worker* near = own_zone_first() ? best_of(r, big_lane, idle_only, true) : nullptr;
    return near != nullptr ? near : best_of(r, big_lane, idle_only, false);
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
      if (free < (near ? 1 : kRoom) * r.slots) continue;
      if (idle_only && others(*w) >= kRoom) continue;
      const double chance = set.weights == Weights::live ? random.uniform() : 1;
      const std::tuple by{free * speed(*w) * chance, -w->out, random.uniform()};
      if (chosen != nullptr && by <= top) continue;
      chosen = w;
      top = by;
    }
    return chosen;
  }

  // Guards against a fetch for each job: those about one thing begin at one place of the order common to all
  // dispatchers, so that the same few workers keep what they need.
  Worker* keeper(const Request& r) {
    const auto row = shelves.rows().find(r.queue.kind);
    if (!r.key || row == shelves.rows().end()) return nullptr;
    const auto& ring = row->second.workers;
    if (ring.empty()) return nullptr;
    for (std::uint64_t n = 0; n < kRanked; ++n) {
      auto spot = ring.from(key_hash(key_hash(*r.key) + n));
      if (spot == ring.end()) spot = ring.begin();
      Worker& w = static_cast<Worker&>(*spot->owner);
      if (w.part < 1 && random.uniform() >= w.part) continue;
      if (w.big_lane != (r.big && split) || w.late_starts > 0 || !may_take(w, r)) continue;
      if (room(w) >= kKeeperRoom * r.slots) return &w;
    }
    return nullptr;
  }

  // Own lane first; then small jobs on big-lane workers no big job waits for, big ones on idle small ones.
  Worker* pick(const Request& r) {
    Worker* own = keeper(r);
    if (own == nullptr) own = best(r, r.big, false);
    if (own != nullptr || (!r.big && big_waits())) return own;
    return best(r, !r.big, r.big && split);
  }

  // ---- send ----
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

  // ---- outcome ----
  // Rule 2: who may be sent again. Keyed repeats only while the group still remembers the earliest.
  bool may_resend(const Request& r) const {
    if (static_cast<int>(r.attempts.size()) >= r.most_attempts) return false;
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

  void give_up(Request& r) {
    if (may_refuse(r)) out->push_back(Refuse{r.id, set.may_hold_off && ends == 0 ? set.max_hold_off : 0});
    else out->push_back(Fail{r.id});
    answered(r);
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

  void on(const Outcome& o) {
    auto [r, a] = attempt(o.id, o.attempt);
    if (a == nullptr) return;
    Worker& w = *a->worker;
    a->out = false;
    a->never_ran =
        o.result == Result::full || o.result == Result::no_connection || o.result == Result::never_sent;
    count_end(w, *r, *a);
    learn_outcome(w, *r, *a, o.result);
    see_slots(w, std::round(o.report.free_slots.value_or(0)));
    show(w);
    if (o.finished && !r->answered) answered(*r);
    else if (r->answered) erase_ended(*r);
    else go_on(*r);
  }

  // An attempt has ended without an answer: another if the rules and the time allow, else the final answer.
  void go_on(Request& r) {
    if (r.held || r.any_out()) return;
    if (now >= r.deadline || !may_resend(r)) give_up(r);
    else hold(r);
  }

  void on(const ClientLeft& e) {
    if (auto* r = find(e.id); r != nullptr && !r->answered) answered(*r);
  }

  // Guards against jobs lost with the process: what can't end by then isn't begun, the rest answered then.
  void on(const Ending& e) {
    ends = e.at;
    if (now < ends) return;
    for (const auto id : open_ids())
      if (!requests.at(id).answered) give_up(requests.at(id));
  }

  // ---- time-out ----
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

  // Guards against a connection that has fallen silent: taken is told at once, a run each so often.
  void silent(const Request& r, const Attempt& a, int number) {
    if (!set.may_cancel || (a.seen_start && set.progress_every <= 0)) return;
    const Micros queued = a.taken ? now + set.connect_timeout : now;
    const Micros until = a.seen_start ? a.heard + kMissedNotes * set.progress_every : queued;
    if (now < until) return alarm(until, Why::silent, r.id, number);
    doubt(*a.worker);
    out->push_back(Cancel{r.id, number});
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

  // A job that waits is sent once more where waiting work is dropped, and the first to start is kept.
  void copy(Request& r) {
    if (proof() < kBelieved || r.held || !may_resend(r)) return;
    tie_to_group(r);
    if (Worker* w = pick(r)) send(r, *w);
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

  void end_trial(const Request& r, int verdict) {
    evidence += verdict;
    // Guards against trials that take a day where each dispatcher has few jobs: verdicts are shared.
    const auto word = static_cast<char>(std::clamp(evidence, -kSay, kSay));
    if (verdict != 0 && set.may_tell) out->push_back(Tell{std::string(1, word)});
    trial = {};
    call_off_all_but(r, r.answered ? -1 : 0);
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
  s.now = now;
  s.out = &out;
  for (Worker* w : s.rested()) s.show(*w);
  std::visit([&s](const auto& e) { s.on(e); }, event);
  if (!std::holds_alternative<Arrival>(event) && !std::holds_alternative<TimerFired>(event)) s.stuck = false;
  if (!s.stuck) s.pump();  // most arrivals and timers open no room
}

}  // namespace woadridge
