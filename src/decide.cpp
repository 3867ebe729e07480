// All decisions of a dispatcher; the interface is src/decide.h, the reasons are in docs/design.md.
// Thresh-SPLIT(d): hint above d -> a small lane for big jobs, the rest -> the other workers, each job held
// here until a worker of its lane has room. Read from the top: learn, classify, hold, pick, send, outcome,
// time-out.
#include "decide.h"

#include <algorithm>
#include <cmath>
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
constexpr double kJobMemory = 10;          // mean jobs after which what a worker has shown fades
constexpr double kKindMemory = 100;        // the same for a kind of worker
constexpr double kUnknownSpeed = 0.5;  // of a kind never seen to finish a job: half a core, on the safe side
constexpr double kColdMargin = 0.7;    // part of the cold budget used: hints are off by up to a half
constexpr double kJudgedMost = 0.5;    // share of workers judged bad at once: more is a common cause
constexpr double kQuietPeriods = 2.5;  // progress notes missed before a running job's worker is judged
constexpr Micros kFirstTrial = 500'000;  // a judged worker's first trial comes after this, then doubling ...
constexpr int kDoublings = 4;            // ... so often
constexpr Micros kSlotTrial = 500'000;   // between two tries to find one more slot than a kind has shown
constexpr double kWaitMargin = 2;        // times the mean wait at workers that a last start leaves room for
constexpr double kOthersJobs = 1.5;      // mean jobs over which what is known of others' use fades
constexpr double kShareSpan = 10e6;      // microseconds over which a tenant's traffic is weighed
constexpr double kShareFirst = 0.7;    // of a tenant's usual traffic goes first: what a short fleet can serve
constexpr double kShareBurst = 1e6;    // microseconds of its part that it may send at once
constexpr double kSharp = 1;
constexpr Micros kAskAgain = 400'000;  // first wait after a failed list call, doubling as often, with jitter

}  // namespace

struct Dispatcher::State {
  Settings set;
  Random random;
  Micros now = 0, born = 0, quiet = 0;  // quiet: longest silence of a running job
  std::vector<Action>* out = nullptr;
  std::map<WorkerId, Worker> workers;
  std::map<std::pair<std::string, double>, Kind> kinds;
  std::map<std::string, const ClassSettings*> classes;
  std::map<RequestId, Request> requests;
  std::map<QueueKey, std::map<QueuePlace, RequestId>> queues;
  std::map<std::uint64_t, Alarm> alarms;
  std::map<std::string, Micros> start_delay;  // least time from a send to its start note, by zone
  std::map<std::string, Micros> longest_ttl;  // by class: a first try's
  std::map<std::string, Tenant> tenants;
  std::deque<Micros> hints;
  std::uint64_t arrivals = 0, tokens = 0;
  double threshold = 0, factor = 1, big_share = 0, mean_run = 0, mean_wait = 0;  // threshold 0: unknown
  double late_share = 0;
  Micros late_at = 0, big_full_at = 0;
  int failed_asks = 0;
  bool asking = false, pump_due = false, split = false, stuck = false;  // stuck: no room when last tried

  // ---- learn ----
  void on(const Start& e) {
    set = e.settings;
    random = Random(set.seed);
    born = now, quiet = static_cast<Micros>(kQuietPeriods * static_cast<double>(set.progress_every));
    for (const auto& c : set.classes) classes[c.name] = &c;
    for (const auto& t : set.tenants) tenants[t.name] = {t.quota_per_s / 1e6, 0, 0, now};
    if (set.list_mode == ListMode::asked) ask_later(set.tick);
  }

  void alarm(Micros at, Why why, RequestId id = 0, int attempt = 0) {
    alarms[++tokens] = {why, id, attempt};
    out->push_back(SetTimer{std::max(at, now), tokens});
  }

  void ask_later(Micros wait) {
    if (std::exchange(asking, true)) return;
    if (set.must_ask_in > 0) wait = std::min(wait, set.must_ask_in);
    alarm(now + static_cast<Micros>(static_cast<double>(wait) * (1 + random.uniform())), Why::ask);
  }

  // A list that can't be had stays in force. All ask at once after an outage: back off, with jitter.
  void on(const WorkerList& news) {
    if (news.kind == ListKind::failed) return ask_later(kAskAgain << std::min(failed_asks++, kDoublings));
    if (news.kind != ListKind::remembered) failed_asks = 0;
    std::set<WorkerId> named;
    for (const auto& info : news.workers) named.insert(info.id), learn_worker(info);
    if (news.kind != ListKind::changes)
      for (auto& [id, w] : workers)
        if (!named.contains(id)) w.info.phase = Phase::gone;
    std::erase_if(workers, [](auto& e) { return e.second.info.phase == Phase::gone && !e.second.attempts; });
    set_lanes();
  }

  void learn_worker(const WorkerInfo& info) {
    Worker& w = workers[info.id];
    const Micros last_start = w.info.started;
    w.info = info, w.info.started = last_start, w.hash = id_hash(info.id),
    w.of = &kinds[{info.kind, info.size}];
    if (info.started > last_start) restarted(w, info.started);
  }

  void restarted(Worker& w, Micros at) {  // another process: nothing learnt holds for it
    w.info.started = at;
    w.work = w.time = w.cap = w.others = 0, w.reported.reset();
    w.judged_until = 0, w.strikes = 0, w.unreachable = false;
  }

  double speed(const Worker& w) {  // own jobs there, leaning on its kind until there are some
    if (w.of->time <= 0) return kUnknownSpeed;
    return (w.work + mean_run * w.of->work / w.of->time) / (w.time + mean_run);
  }

  // Work done in a time tells the speed; hints are noisy, so sums that fade with the time run are compared.
  void learn_speed(Worker& w, double work, double time) {
    const auto add = [&](auto& to, double jobs) {
      const double keep = std::exp(-time / (jobs * mean_run));
      to.work = to.work * keep + work, to.time = to.time * keep + time;
    };
    add(w, kJobMemory), add(*w.of, kKindMemory);
  }

  void learn_report(Worker& w, const Report& report) {
    if (!report.free_slots) return;
    w.reported = *report.free_slots;
    w.of->slots = std::max(w.of->slots, std::round(*report.free_slots));
  }

  // Slots in use by others: as seen last, fading as their jobs end; they send new ones, so over two jobs.
  double others(const Worker& w) {
    const double fade = std::max(1.0, kOthersJobs * mean_run);
    const double usual = w.of->slots * late_share * std::exp(-static_cast<double>(now - late_at) / fade);
    return usual + (w.others - usual) * std::exp(-static_cast<double>(now - w.others_at) / fade);
  }

  void see_start(bool late) { late_share += ((late ? 1 : 0) - late_share) / kJobMemory, late_at = now; }

  void see_others(Worker& w, double slots) { w.others = slots, w.others_at = now; }

  void on(const Started& e) {
    auto [r, found] = attempt(e.id, e.attempt);
    if (found == nullptr || found->seen_start) return;
    Attempt& a = *found;
    Worker& w = workers[a.worker];
    Kind& kind = *w.of;
    a.seen_start = true, a.started = a.heard = now;
    --w.unstarted, w.running += r->slots;
    if (a.late_start) --w.late_starts;
    mean_wait += (static_cast<double>(now - a.sent) - mean_wait) / kJobMemory;
    auto& least = start_delay[w.info.zone];
    if (least == 0 || now - a.sent < least) least = now - a.sent;
    kind.slots = std::max(kind.slots, w.running);
    if (!a.late_start) see_start(false);
    see_others(w, a.late_start ? kind.slots - w.running : std::min(others(w), kind.slots - w.running));
    if (set.progress_every > 0) alarm(now + quiet, Why::silence, e.id, e.attempt);
    // One that could not be reached and now runs a job has restarted, whatever the late list says: cold.
    if (w.unreachable) restarted(w, now);
  }

  void on(const Progress& e) {  // a slowed worker shows by the first note, long before its jobs end
    auto [r, a] = attempt(e.id, e.attempt);
    if (a != nullptr) learn_pace(workers[a->worker], *r, *a, e.done);
  }

  // What was done since the last news of it. A repeat may go on from saved work, and would pass for speed.
  void learn_pace(Worker& w, const Request& r, Attempt& a, double done) {
    if (a.seen_start && r.attempts.size() == 1 && done > a.done)
      learn_speed(w, r.work * (done - a.done), static_cast<double>(now - a.heard));
    a.done = std::max(a.done, done), a.heard = now;
  }

  void on(const Probed&) {}  // none is ever asked for: see docs/design.md
  void on(const StreamBegun& e) {
    if (auto* r = attempt(e.id, e.attempt).first; r != nullptr) r->streaming = true;
  }
  void on(const Stop&) {}

  // ---- classify ----
  Request* find(RequestId id) {
    const auto found = requests.find(id);
    return found == requests.end() ? nullptr : &found->second;
  }

  // The attempt, if it is still out: late news of ended ones change nothing.
  std::pair<Request*, Attempt*> attempt(RequestId id, int number) {
    auto* r = find(id);
    if (r == nullptr || number < 0 || number >= static_cast<int>(r->attempts.size()))
      return {nullptr, nullptr};
    Attempt& a = r->attempts[static_cast<std::size_t>(number)];
    return {r, a.out ? &a : nullptr};
  }

  void learn_hint(Micros hint) {
    hints.push_back(hint);
    if (hints.size() > kHintMemory) hints.pop_front();
    if (hints.size() < kWarmUpHints || arrivals % kHintStep != 0) return;
    std::vector<Micros> sorted(hints.begin(), hints.end());
    std::sort(sorted.begin(), sorted.end());
    factor = std::min(1.0, factor * kThresholdDrift);
    const auto at = static_cast<std::size_t>(kBigQuantile * static_cast<double>(sorted.size() - 1));
    threshold = static_cast<double>(sorted[at]) * factor;
    double all = 0, big = 0;
    for (const double h : sorted) all += h, big += h > threshold ? h : 0;
    big_share = all > 0 ? big / all : 0;
    set_lanes();
  }

  // d falls while the small lane is full and the big lane isn't: big jobs' workers have room for more.
  void see_full(const Worker& w) {
    if (w.big_lane) big_full_at = now;
    else if (now - big_full_at > kFirstTrial) factor = std::max(kThresholdFloor, factor * kThresholdFall);
  }

  bool listed(const Worker& w) const { return w.info.phase == Phase::serving; }

  // A shared fault makes all look bad: above a share the judgements are void. Not so out of reach: with a
  // whole zone down, sending there again is a storm of failed connects.
  bool judged(const Worker& w) {
    if (now >= w.judged_until) return false;
    if (w.unreachable) return true;
    double bad = 0, all = 0;
    for (const auto& [id, v] : workers)
      if (listed(v)) ++all, bad += now < v.judged_until ? 1 : 0;
    return bad <= all * kJudgedMost;
  }

  // The big lane: for each kind that a class needs the first workers in hash order, up to the big jobs'
  // share of the size. A lane must outlive its only worker, so judged ones are passed over.
  void set_lanes() {
    for (auto& [id, w] : workers) w.big_lane = split = false;  // a lone worker serves both lanes
    std::set<std::string> needed;
    for (const auto& c : set.classes) needed.insert(c.worker_kind);
    for (const auto& kind : needed) {
      std::vector<Worker*> fit;
      double total = 0, taken = 0;
      for (auto& [id, w] : workers)
        if (listed(w) && !judged(w) && (kind.empty() || kind == w.info.kind))
          fit.push_back(&w), total += w.info.size;
      std::sort(fit.begin(), fit.end(), [](auto* a, auto* b) { return a->hash < b->hash; });
      for (std::size_t i = 0; i + 1 < fit.size() && (i == 0 || taken < big_share * total); ++i)
        split = fit[i]->big_lane = true, taken += fit[i]->info.size;
    }
  }

  double recent(const Tenant& t) const {
    return t.recent * std::exp(-static_cast<double>(now - t.at) / kShareSpan);
  }

  // How much of the quotas comes through here, by the tenant in the middle: one that floods doesn't move it.
  double usual_part() const {
    std::vector<std::pair<double, double>> parts;
    double all = 0, below = 0;
    const double seen = 1 - kShareSpan * std::expm1(-static_cast<double>(now - born) / kShareSpan);
    for (const auto& [name, t] : tenants)
      if (t.quota > 0) parts.emplace_back(recent(t) / seen / t.quota, t.quota), all += t.quota;
    std::sort(parts.begin(), parts.end());
    for (const auto& [part, quota] : parts)
      if ((below += quota) >= all / 2) return part;
    return 0;
  }

  // Guards against one tenant crowding out the rest: this instance sees a part of each tenant's traffic only,
  // so a tenant is over its share when it sends more than the others' part of their quotas.
  bool beyond_share(const std::string& name) {
    const auto found = tenants.find(name);
    if (found == tenants.end() || found->second.quota <= 0 || set.over_share_worth >= 1) return false;
    Tenant& t = found->second;
    const double span = static_cast<double>(now - t.at);
    t.recent = recent(t) + 1, t.at = now;
    const double allowed = kShareFirst * usual_part() * t.quota;
    t.credit = std::min(t.credit + span * allowed, 1 + kShareBurst * allowed);
    return t.credit < 1 || (t.credit -= 1, false);
  }

  void on(const Arrival& a) {
    Request& r = requests[a.id];
    static const ClassSettings unknown;
    r.id = a.id, r.deadline = now + a.time_left, r.slots = std::max(a.slots, 1.0);
    r.of = classes.contains(a.class_name) ? classes[a.class_name] : &unknown;
    r.arrival = ++arrivals;
    r.work = a.hint ? static_cast<double>(*a.hint) : mean_run;
    if (a.hint) learn_hint(*a.hint);
    if (mean_run <= 0) mean_run = r.work;
    r.big = threshold > 0 && a.hint && static_cast<double>(*a.hint) > threshold;
    // A shorter time than a first try's tells a repeat, and how long ago its client first asked.
    auto& longest = longest_ttl[a.class_name];
    longest = std::max(longest, a.time_left);
    const Micros gone_by = longest - a.time_left;
    r.due = now - gone_by + r.of->aim + static_cast<Micros>(r.of->stretch * r.work);
    r.over_share = !a.repeated && gone_by < set.connect_timeout && beyond_share(a.tenant);
    alarm(r.deadline - 2 * set.tick, Why::deadline, r.id);
    hold(r);
  }

  // ---- hold ----
  // Time still allows the aim, on a worker of the best kind and after the usual wait there.
  bool in_time(const Request& r) const { return now + run_time(r) <= r.due; }

  Micros run_time(const Request& r) const {
    double best = 0;
    for (const auto& [key, kind] : kinds) best = std::max(best, kind.time > 0 ? kind.work / kind.time : 0);
    return best > 0 ? static_cast<Micros>(r.work / best + kWaitMargin * mean_wait) : 0;
  }

  void hold(Request& r) {
    r.queue = {true, r.big, r.of->worker_kind, "", -1};
    const Attempt* first = may_have_run(r);
    if (first != nullptr && r.of->effect == Effect::keyed) {
      r.queue.anywhere = r.of->scope == Scope::all;
      if (r.of->scope == Scope::zone) r.queue.zone = first->zone;
      if (r.of->scope == Scope::group) r.queue.group = first->group;
    }
    const bool late = !in_time(r);
    // Too late for its full worth while others wait: refused at once, so that the client knows.
    if (late && queues.contains(r.queue) && may_refuse(r)) return give_up(r);
    r.place = {late ? 2 : r.over_share ? 1 : 0, r.big ? static_cast<Micros>(r.work) : 0, r.arrival};
    stuck &= queues.contains(r.queue);
    queues[r.queue][r.place] = r.id;
    r.held = true;
    if (r.of->effect == Effect::keyed && first != nullptr)
      alarm(first->sent + r.of->memory, Why::hopeless, r.id);
    if (!late) alarm(r.due - run_time(r) + set.tick, Why::hopeless, r.id);
  }

  void unhold(Request& r) {
    if (!r.held) return;
    r.held = false;
    stuck = false;
    auto& queue = queues[r.queue];
    queue.erase(r.place);
    if (queue.empty()) queues.erase(r.queue);
  }

  // ---- pick ----
  // Free room in slots. A job sent and not started tells of a full worker long before "full" does.
  double room(Worker& w) {
    if (w.cap > 0 && w.out >= w.cap) return 0;
    if (w.strikes > 0 && w.out > 0) return 0;  // on trial: one job at a time
    if (!set.tells_start) return room_untold(w);
    if (w.late_starts > 0) return 0;
    const double free = w.of->slots - others(w) - w.out;
    const bool one_more = w.out >= w.of->slots && w.unstarted == 0 && now >= w.of->next_trial;
    return one_more ? std::max(free, kRoom) : free;
  }

  double room_untold(const Worker& w) const {
    if (w.reported) return w.out > 0 ? *w.reported : std::max(*w.reported, 1.0);  // only an answer renews it
    if (set.reports != ReportSource::answers) return 1;
    double sum = 0, told = 0;
    for (const auto& [id, v] : workers)
      if (v.reported && listed(v)) sum += *v.reported, ++told;
    return told > 0 ? sum / told - w.out : 1 - w.out;
  }

  bool cold(const Worker& w) const { return w.info.started > 0 && now - w.info.started < set.warm_after; }

  // This dispatcher's part of what a cold worker may be sent in one span, in work. Judged by the warm of
  // its kind and the slowest warming that the settings allow. After an own restart all is taken as spent.
  bool within_cold_budget(Worker& w, double work) {
    if (!cold(w) || set.overload_span <= 0) return true;
    if (now - born < set.overload_span && w.info.started < born) return false;
    while (!w.sent.empty() && w.sent.front().first <= now - set.overload_span) w.sent.pop_front();
    double spent = work;
    for (const auto& [at, amount] : w.sent) spent += amount;
    const double age = static_cast<double>(std::max<Micros>(0, now - set.overload_span - w.info.started));
    const double part = set.cold_from + (1 - set.cold_from) * age / static_cast<double>(set.warm_after);
    const double capacity = w.of->slots * speed(w) * part;
    return spent <= kColdMargin * set.overload_factor * capacity * static_cast<double>(set.overload_span) /
                        std::max(1, set.fleet_size);
  }

  bool may_take(Worker& w, const Request& r) {
    if (!listed(w) || judged(w)) return false;
    if (!r.queue.kind.empty() && w.info.kind != r.queue.kind) return false;
    if (!r.queue.zone.empty() && w.info.zone != r.queue.zone) return false;
    if (r.queue.group >= 0 && w.info.group != r.queue.group) return false;
    // Unlike servers: a job that can still be in time doesn't go where it would end late.
    if (std::get<0>(r.place) < 2 && w.of->time > 0 &&
        now + static_cast<Micros>(r.work / speed(w) + mean_wait) > r.due)
      return false;
    return within_cold_budget(w, r.work);
  }

  // Most free room, then fewest own jobs, then at random; own zone first where a whole slot is free.
  Worker* best(const Request& r, bool big_lane, bool idle_only) {
    Worker* chosen = nullptr;
    double top = 0;
    bool top_near = false;
    for (auto& [id, w] : workers) {
      if (w.big_lane != big_lane) continue;
      const double free = room(w);
      if (free < kRoom * r.slots || !may_take(w, r)) continue;
      if (idle_only && (w.out > 0 || others(w) >= kRoom)) continue;
      const bool blind = !set.tells_start && !w.reported;  // room is a guess: fewest own jobs for the speed
      const bool near = !blind && w.info.zone == set.zone && free >= r.slots;
      const double draw = blind ? -(w.out + 1) / speed(w)
                                : std::log(1e-9 + random.uniform()) / std::pow(free * speed(w), kSharp);
      if (chosen == nullptr || near > top_near || (near == top_near && draw > top))
        chosen = &w, top = draw, top_near = near;
    }
    return chosen;
  }

  // Own lane first; then small jobs on big-lane workers no big job waits for, big ones on idle small ones.
  Worker* pick(const Request& r) {
    if (Worker* w = best(r, r.big, false)) return w;
    if (!r.big && std::any_of(queues.begin(), queues.end(), [](auto& q) { return q.first.big; }))
      return nullptr;
    return best(r, !r.big, r.big && split);
  }

  // ---- send ----
  void pump() {
    std::vector<QueueKey> keys;
    for (const auto& [key, queue] : queues) keys.push_back(key);
    for (const auto& key : keys) {
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
    if (!queues.empty() && !pump_due) {
      pump_due = true;
      alarm(now + std::max<Micros>(static_cast<Micros>(mean_run / 8), 4 * set.tick), Why::pump);
    }
  }

  Micros start_limit(const Worker& w) {  // a free slot shows by then: handshakes take up to three round trips
    const auto least = start_delay.find(w.info.zone);
    const Micros usual = least == start_delay.end() ? set.connect_timeout / 4 : least->second;
    return 4 * usual + 2 * set.tick;
  }

  void send(Request& r, Worker& w) {
    unhold(r);
    if (set.tells_start && w.of->slots - others(w) - w.out < kRoom) w.of->next_trial = now + kSlotTrial;
    Attempt a;
    a.worker = w.info.id, a.zone = w.info.zone, a.group = w.info.group, a.sent = now;
    if (set.tells_start)
      ++w.unstarted, alarm(now + start_limit(w), Why::overdue, r.id, static_cast<int>(r.attempts.size()));
    else a.seen_start = true, a.started = a.heard = now, w.running += r.slots;
    r.attempts.push_back(a);
    w.out += r.slots, ++w.attempts;
    if (w.reported) *w.reported -= r.slots;
    if (cold(w)) w.sent.emplace_back(now, r.work);
    out->push_back(Send{r.id, w.info.id, 0});
  }

  // ---- outcome ----
  const Attempt* may_have_run(const Request& r) const {  // the earliest such attempt
    for (const auto& a : r.attempts)
      if (!a.never_ran) return &a;
    return nullptr;
  }

  // Rule 2: who may be sent again. Keyed repeats only while the group still remembers the earliest.
  bool may_resend(const Request& r) const {
    if (static_cast<int>(r.attempts.size()) >= set.max_attempts) return false;
    const Attempt* first = may_have_run(r);
    if (first == nullptr || r.of->effect == Effect::safe) return true;
    return r.of->effect == Effect::keyed && now <= first->sent + r.of->memory - set.tick;
  }

  bool may_refuse(const Request& r) const {
    if (r.of->effect == Effect::safe || may_have_run(r) == nullptr) return true;
    return r.of->effect == Effect::keyed && r.of->scope == Scope::all;
  }

  bool is_out(const Request& r) const {
    return std::any_of(r.attempts.begin(), r.attempts.end(), [](auto& a) { return a.out; });
  }

  void answered(Request& r) {  // cancels what is still out; the entry stays until all attempts have ended
    unhold(r);
    r.answered = true;
    for (std::size_t i = 0; i < r.attempts.size(); ++i)
      if (r.attempts[i].out && set.may_cancel) out->push_back(Cancel{r.id, static_cast<int>(i)});
    forget(r);
  }

  void forget(Request& r) {
    if (r.answered && !is_out(r)) requests.erase(r.id);
  }

  void give_up(Request& r) {
    if (may_refuse(r)) out->push_back(Refuse{r.id, set.may_hold_off ? set.max_hold_off : 0});
    else out->push_back(Fail{r.id});
    answered(r);
  }

  void judge(Worker& w) {
    w.judged_until = now + (kFirstTrial << std::min(w.strikes++, kDoublings));
    set_lanes();
  }

  void learn_outcome(Worker& w, const Request& r, Attempt& a, Result result) {
    if (result == Result::ok) {
      w.strikes = 0, w.judged_until = 0;
      if (w.cap > 0) w.cap += 1;
      learn_pace(w, r, a, 1);
      if (a.seen_start) mean_run += (static_cast<double>(now - a.started) - mean_run) / kKindMemory;
    } else if (result == Result::full) {
      see_full(w);
      // Full without a job of ours: it drains unannounced or others fill it, so it rests and is tried again.
      if (w.out > 0) w.cap = w.out;
      else judge(w);
      see_others(w, w.of->slots);
    } else if (result == Result::no_connection || result == Result::broken) {
      w.unreachable = true;
      judge(w);
    }
  }

  void on(const Outcome& o) {
    auto [r, found] = attempt(o.id, o.attempt);
    if (found == nullptr) return;
    Attempt& a = *found;
    Worker& w = workers[a.worker];
    a.out = false;
    w.out -= r->slots, --w.attempts;
    if (a.seen_start) w.running -= r->slots;
    else --w.unstarted, w.late_starts -= a.late_start ? 1 : 0;
    a.never_ran =
        o.result == Result::full || o.result == Result::no_connection || o.result == Result::never_sent;
    learn_outcome(w, *r, a, o.result);
    learn_report(w, o.report);
    if (o.finished && !r->answered) answered(*r);
    else if (r->answered) forget(*r);
    else go_on(*r);
  }

  // An attempt has ended without an answer: another if the rules and the time allow, else the final answer.
  void go_on(Request& r) {
    if (r.held || is_out(r)) return;
    if (now >= r.deadline || !may_resend(r)) give_up(r);
    else hold(r);
  }

  void on(const ClientLeft& e) {
    if (auto* r = find(e.id); r != nullptr && !r->answered) answered(*r);
  }

  // ---- time-out ----
  void on(const TimerFired& e) {
    const auto found = alarms.find(e.token);
    if (found == alarms.end()) return;
    const Alarm a = found->second;
    alarms.erase(found);
    if (a.why == Why::pump) pump_due = stuck = false;
    if (a.why == Why::ask) asking = false, out->push_back(Subscribe{});
    auto* r = find(a.id);
    if (r == nullptr || r->answered) return;
    if (a.why == Why::deadline) deadline(*r);
    if (a.why == Why::hopeless) hopeless(*r);
    if (a.why == Why::overdue) overdue(*r, a.attempt);
    if (a.why == Why::silence) silence(*r, a.attempt);
  }

  // Rule 1: what is held is answered just before the time is up, what is out just after it at the latest.
  void deadline(Request& r) {
    if (r.streaming) return;  // the answer has begun: no deadline any more
    if (now < r.deadline && is_out(r)) return alarm(r.deadline, Why::deadline, r.id);
    give_up(r);
  }

  // Held past the last start for its aim: behind the rest. Past its group's memory: nobody may take it.
  void hopeless(Request& r) {
    if (r.held && !may_resend(r)) return give_up(r);
    if (!r.held || std::get<0>(r.place) > 1) return;
    unhold(r);
    hold(r);
  }

  // Sent and not started though a free slot would have taken it at once: others use that worker.
  void overdue(Request& r, int number) {
    Attempt& a = r.attempts[static_cast<std::size_t>(number)];
    if (!a.out || a.seen_start || a.late_start) return;
    Worker& w = workers[a.worker];
    a.late_start = true, ++w.late_starts, see_start(true);
    see_others(w, std::max(0.0, w.of->slots - w.running));
  }

  // Runs and has said nothing for several progress periods: hung, dead or standing still.
  void silence(Request& r, int number) {
    Attempt& a = r.attempts[static_cast<std::size_t>(number)];
    if (!a.out) return;
    if (now < a.heard + quiet) return alarm(a.heard + quiet, Why::silence, r.id, number);
    judge(workers[a.worker]);
  }
};

Dispatcher::Dispatcher() = default;
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::handle(Micros now, const Event& event, std::vector<Action>& out) {
  if (std::holds_alternative<Start>(event)) state_ = std::make_unique<State>();
  if (std::holds_alternative<Stop>(event)) state_.reset();
  if (!state_) return;
  State& s = *state_;
  s.now = now, s.out = &out;
  std::visit([&s](const auto& e) { s.on(e); }, event);
  if (!std::holds_alternative<Arrival>(event) && !std::holds_alternative<TimerFired>(event)) s.stuck = false;
  if (!s.stuck) s.pump();  // most arrivals and timers open no room
}

}  // namespace woadridge
