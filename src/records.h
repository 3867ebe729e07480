// What one dispatcher remembers: plain records, no decisions. Those are all in src/decide/.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <compare>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "decide.h"
#include "index/shelves.h"
#include "text.h"

namespace woadridge {

class Random {  // xorshift64*, seeded by the settings: the same events give the same draws
 public:
  explicit Random(std::uint64_t seed = 0) : state_(seed ^ 0x9e3779b97f4a7c15ULL) {
    if (state_ == 0) state_ = 1;  // the one state that it can't leave
  }
  double uniform() {
    state_ ^= state_ >> 12;
    state_ ^= state_ << 25;
    state_ ^= state_ >> 27;
    return static_cast<double>((state_ * 2685821657736338717ULL) >> 11) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

inline std::uint64_t id_hash(const WorkerId& id, std::uint64_t salt) {  // FNV-1a, then mixed
  std::uint64_t h = fnv1a(id, 1469598103934665603ULL ^ (salt * 0x9e3779b97f4a7c15ULL));
  h ^= h >> 33;
  return (h * 0xff51afd7ed558ccdULL) ^ (h >> 29);
}

inline std::uint64_t key_hash(std::uint64_t key) {  // spread over all of the workers' common order
  key = (key ^ (key >> 33)) * 0xff51afd7ed558ccdULL;
  key = (key ^ (key >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return key ^ (key >> 33);
}

struct Fading {  // a figure that fades from when it was seen last
  double value = 0;
  Micros at = 0;
  double left(Micros now, double span) const {
    const double spans = static_cast<double>(now - at) / std::max(1.0, span);
    return value == 0 || spans > 40 ? 0 : value * std::exp(-spans);  // e^-40 is nothing, and slow to compute
  }
  void see(Micros now, double seen) {
    value = seen;
    at = now;
  }
  void blend(Micros now, double seen, double weight) { see(now, value + (seen - value) / weight); }
};

struct Pace {  // work done and the time that it took
  double work = 0;
  double time = 0;
  double speed(double unknown) const { return time > 0 ? work / time : unknown; }
  void add(double more_work, double more_time, double span) {
    const double keep = std::exp(-more_time / std::max(1.0, span));
    work = work * keep + more_work;
    time = time * keep + more_time;
  }
};

struct Kind {  // what all workers of one kind and size have shown
  double slots = 1;
  double nominal = 0;  // its greatest listed weight: of an idle one, where weights move with load
  Pace pace;
  Micros next_trial = 0;
};

struct Worker : index::Shelved {
  WorkerInfo info;
  Kind* of = nullptr;           // its kind's record, shared by all of the kind and size
  Fading* zone_late = nullptr;  // its zone's share of late starts
  bool near = false;            // in the dispatcher's own zone
  bool big_lane = false;
  std::size_t big_lane_at = 0;   // then its place among these
  std::uint64_t lane_round = 0;  // the last setting of lanes that put it there
  std::uint64_t listed = 0;      // the last list that named it
  double out = 0;                // own slots sent there,
  double running = 0;            // and of these seen to start
  double waiting = 0;            // own slots not seen to start
  int attempts = 0;              // own attempts out there
  int late_starts = 0;           // own attempts that should have started by now
  Fading others;                 // slots in use by others beyond the usual
  double cap = 0;                // own slots allowed since it answered full; 0: no cap
  Micros cap_ends = 0;           // where its slots are told: then alone, and 0 is a cap too
  int fulls = 0;                 // there: full answers that came soon after the last cap's end
  double counted = 0;            // of these slots in its lane's sum, and ...
  bool counted_big = false;      // ... which lane
  double part = 1;               // of the jobs whose place it is that go there: it is overfull else
  Pace pace;                     // of own finished jobs, for its speed
  Micros judged_until = 0;       // no work before
  bool suspect = false;          // has broken off or fallen silent since its last answer
  int strikes = 0;               // judgements not yet made good by an answer
  bool banned = false;           // taken out by staff
  bool unreachable = false;      // refused a connection or broke one since its last sign of life
  bool prompt = false;           // its last own start was in time
  std::deque<std::pair<Micros, double>> sent;  // time and work, while it is cold

  bool is_offered() const { return info.phase == Phase::serving && !banned; }  // by list and staff
  double own_draw() const {  // above 0, below 1, by the dispatcher's seed: the same after a restart
    return static_cast<double>((own_hash >> 11) | 1) * 0x1.0p-53;
  }
  double sent_since(Micros at) {
    while (!sent.empty() && sent.front().first <= at) sent.pop_front();
    double all = 0;
    for (const auto& [when, work] : sent) all += work;
    return all;
  }
  void new_process(Micros at) {  // nothing learnt holds for it
    info.started = at;
    pace = {};
    others = {};
    cap = 0;
    cap_ends = 0;
    judged_until = 0;
    strikes = 0;
    suspect = false;
    unreachable = false;
    prompt = false;
  }
};

struct Tenant {  // what this dispatcher sees of one tenant's traffic
  double quota = 0;
  Fading recent;
};

struct Attempt {
  Worker* worker = nullptr;  // valid while it is out
  std::string zone;
  std::int64_t group = 0;
  Micros sent = 0;
  Micros started = 0;
  Micros heard = 0;  // the last word of it: the start or a progress note
  double done = 0;
  bool out = true;
  bool taken = false;
  bool seen_start = false;
  bool late_start = false;
  bool never_ran = false;
  void start(Micros at) {
    seen_start = true;
    started = at;
    heard = at;
  }
  void hear(Micros at, double share) {
    done = std::max(done, share);
    heard = at;
  }
  void end(Result result) {
    out = false;
    never_ran = result == Result::full || result == Result::no_connection || result == Result::never_sent;
  }
};

struct QueueKey {        // requests that can use the same workers in the same order wait in one queue
  bool anywhere = true;  // false: repeats that only one group may take; they come first
  bool big = false;
  std::string kind;
  std::string zone;
  std::int64_t group = -1;
  bool names(const WorkerInfo& w) const {
    return (kind.empty() || kind == w.kind) && (zone.empty() || zone == w.zone) &&
           (group < 0 || group == w.group);
  }
  auto operator<=>(const QueueKey&) const = default;
};

// Order within a queue: rank (0: in time, 1: beyond its tenant's share, 2: late), then hint (big lane only),
// then arrival.
using QueuePlace = std::tuple<int, Micros, std::uint64_t>;

struct Request {
  RequestId id = 0;
  std::shared_ptr<const ClassSettings> of;  // as it was when this came, and ...
  int most_attempts = 1;                    // ... so was this
  Micros due = 0;
  Micros deadline = 0;
  double work = 0;
  double slots = 1;
  std::uint64_t arrival = 0;
  bool big = false;
  bool hinted = false;
  bool over_share = false;
  std::optional<std::uint64_t> key;
  bool answered = false;
  bool held = false;
  QueueKey queue;
  QueuePlace place;
  std::vector<Attempt> attempts;

  int attempts_left() const { return most_attempts - static_cast<int>(attempts.size()); }
  bool any_out() const {
    return std::any_of(attempts.begin(), attempts.end(), [](auto& a) { return a.out; });
  }
  bool any_running() const {
    return std::any_of(attempts.begin(), attempts.end(), [](auto& a) { return a.out && a.seen_start; });
  }
  int first_out() const {  // the first that runs, else the first; -1: none is out
    const auto runs = [](auto& a) { return a.out && a.seen_start; };
    auto found = std::find_if(attempts.begin(), attempts.end(), runs);
    if (found == attempts.end())
      found = std::find_if(attempts.begin(), attempts.end(), [](auto& a) { return a.out; });
    return found == attempts.end() ? -1 : static_cast<int>(found - attempts.begin());
  }
  const Attempt* may_have_run() const {  // the earliest such attempt
    const auto found = std::find_if(attempts.begin(), attempts.end(), [](auto& a) { return !a.never_ran; });
    return found == attempts.end() ? nullptr : &*found;
  }
  Attempt* out_attempt(int number) {  // the attempt, if it is still out
    if (number < 0 || number >= static_cast<int>(attempts.size())) return nullptr;
    Attempt& a = attempts[static_cast<std::size_t>(number)];
    return a.out ? &a : nullptr;
  }
};

struct Hints {  // the latest ones
  std::deque<Micros> kept;
  void add(Micros hint, std::size_t most) {
    kept.push_back(hint);
    if (kept.size() > most) kept.pop_front();
  }
  double quantile(double part) const {
    std::vector<Micros> all(kept.begin(), kept.end());
    const auto place = static_cast<std::ptrdiff_t>(part * static_cast<double>(all.size() - 1));
    std::nth_element(all.begin(), all.begin() + place, all.end());
    return static_cast<double>(all[static_cast<std::size_t>(place)]);
  }
  double work_above(double threshold) const {  // as a share of all
    double all = 0;
    double above = 0;
    for (const auto hint : kept) {
      all += static_cast<double>(hint);
      if (static_cast<double>(hint) > threshold) above += static_cast<double>(hint);
    }
    return all > 0 ? above / all : 0;
  }
};

struct Trial {  // of what a cancel does: a request with copies at one worker
  RequestId id = 0;
  int waiting = -1;  // the attempt that waits for the slot of the one called off
};

enum class Why { none, deadline, silent, overdue, vain, hopeless, verdict, pump, ask, rested };
struct Alarm {
  Why why = Why::none;
  RequestId id = 0;
  int attempt = 0;
};

struct Memory {
  Settings set;
  Random random;
  Micros now = 0;
  Micros born = 0;
  Micros ends = 0;  // when it will be killed; 0: not told to end
  Beside beside;
  Micros shared = INT64_MIN / 2;  // when another process was last told to share; long before any clock begins
  std::vector<Action>* out = nullptr;
  std::unordered_map<WorkerId, Worker> workers;  // before the shelves: outlive them
  index::Shelves shelves;     // the same workers, to be found; in this dispatcher's own order, by its seed
  std::vector<Worker*> bigs;  // those of the big lane, with gaps where one was forgotten
  std::uint64_t lane_rounds = 0;            // settings of the lanes so far
  std::uint64_t lists = 0;                  // learnt so far
  std::multimap<Micros, WorkerId> resting;  // judged ones, by when that ends
  std::set<WorkerId> banned;                // taken out by staff, listed or not
  std::set<WorkerId> leaving;               // gone, to be forgotten with their last attempt
  int late_workers = 0;                     // with own attempts that should have started by now
  std::map<std::pair<std::string, double>, Kind> kinds;
  std::map<std::string, std::shared_ptr<const ClassSettings>> classes;
  std::unordered_map<RequestId, Request> requests;
  std::map<QueueKey, std::map<QueuePlace, RequestId>> queues;
  std::deque<Alarm> alarms;  // by token, from the oldest that has not fired: nothing here is ever moved
  std::map<std::string, Micros> start_delay;  // least time from a send to its start note, by zone
  std::map<std::string, Micros> longest_ttl;  // by class: a first try's
  std::map<std::string, Fading> late;         // share of late starts, by zone
  std::map<std::string, Tenant> tenants;
  Fading tenants_recent;  // of them all
  double tenants_quota = 0;
  Fading starts;  // own ones, of jobs at workers
  Hints hints;
  std::uint64_t arrivals = 0;
  std::uint64_t tokens = 0;
  double threshold = 0;  // 0: unknown
  double factor = 1;
  double big_share = 0;
  double mean_run = 0;
  double mean_work = 0;  // of what comes
  double slots_out = 0;  // own, over all workers
  double mean_out = 0;
  double mean_held = 0;  // by the weights of live lists
  Fading wait;           // from a send to its start
  Trial trial;
  int evidence = 0;         // that a cancel drops waiting work: of own trials, and ...
  std::map<int, int> told;  // ... as other dispatchers say
  int told_sum = 0;
  double sends = 0;
  double trial_copies = 0;
  int failed_asks = 0;
  Micros asked = 0;  // when the list was last asked for
  Micros big_full_at = 0;
  bool asking = false;
  bool pump_due = false;
  bool split = false;
  bool stuck = false;                                // no room when last tried
  bool small_waited = false;                         // while no big one did, since d was computed
  std::array<double, 2> lane_slots{};                // told ones of usable workers: small lane, big lane
  std::array<std::array<Micros, 3>, 2> held_work{};  // by lane and rank

  std::shared_ptr<const ClassSettings> class_named(const std::string& name) const {
    static const auto unknown = std::make_shared<const ClassSettings>();
    const auto found = classes.find(name);
    return found == classes.end() ? unknown : found->second;
  }
  // Settings in place of those before, if any: workers and requests stay, and what was learnt of them.
  void take(const Settings& settings) {
    set = settings;
    classes.clear();
    for (const auto& c : set.classes) classes[c.name] = std::make_shared<const ClassSettings>(c);
    longest_ttl.clear();
    tenants_quota = 0;
    for (auto& [name, tenant] : tenants) tenant.quota = 0;
    for (const auto& t : set.tenants) tenants_quota += tenants[t.name].quota = t.quota_per_s;
    std::set<std::string> needed;
    for (const auto& c : set.classes) needed.insert(c.worker_kind);
    for (const auto& [id, r] : requests) needed.insert(r.of->worker_kind);
    for (auto& [id, w] : workers) shelves.forget(w);
    shelves.begin({needed.begin(), needed.end()});
    for (auto& [id, w] : workers) place(w);
  }
  std::set<RequestId> open_ids() const {  // in order, whatever the hash table's
    std::set<RequestId> ids;
    for (const auto& [id, r] : requests) ids.insert(id);
    return ids;
  }
  Request& accept(const Arrival& a) {
    Request& r = requests[a.id];
    r.id = a.id;
    r.deadline = now + a.time_left;
    r.slots = std::max(a.slots, 1.0);
    r.of = class_named(a.class_name);
    r.most_attempts = r.of->max_attempts > 0 ? r.of->max_attempts : set.max_attempts;
    r.arrival = ++arrivals;
    r.key = a.key;
    r.hinted = a.hint.has_value();
    r.work = r.hinted ? static_cast<double>(*a.hint) : mean_run;
    return r;
  }
  // How long ago its client first asked: a shorter time than a first try's tells a repeat.
  Micros asked_before(const Arrival& a) {
    auto& longest = longest_ttl[a.class_name];
    longest = std::max(longest, a.time_left);
    return longest - a.time_left;
  }
  std::vector<Request*> unanswered() {  // in order of their ids
    std::vector<Request*> all;
    for (const auto id : open_ids())
      if (!requests.at(id).answered) all.push_back(&requests.at(id));
    return all;
  }
  Request* find(RequestId id) {
    const auto found = requests.find(id);
    return found == requests.end() ? nullptr : &found->second;
  }
  std::pair<Request*, Attempt*> attempt(RequestId id, int number) {  // none for one that has ended
    Request* r = find(id);
    return {r, r == nullptr ? nullptr : r->out_attempt(number)};
  }
  void alarm(Micros at, Why why, RequestId id = 0, int number = 0) {
    alarms.push_back({why, id, number});
    out->push_back(SetTimer{std::max(at, now), ++tokens});
  }
  std::optional<Alarm> take_alarm(std::uint64_t token) {
    const std::uint64_t first = tokens - alarms.size() + 1;
    if (token < first || token > tokens || alarms[token - first].why == Why::none) return std::nullopt;
    const Alarm alarm = std::exchange(alarms[token - first], {});
    while (!alarms.empty() && alarms.front().why == Why::none) alarms.pop_front();
    return alarm;
  }
  Tenant* with_quota(const std::string& name) {
    const auto found = tenants.find(name);
    return found == tenants.end() || found->second.quota <= 0 ? nullptr : &found->second;
  }
  std::pair<double, double> all_tenants_but(const Tenant& one) const {  // quotas, and what was sent lately
    return {tenants_quota - one.quota, std::max(0.0, tenants_recent.value - one.recent.value)};
  }
  void see_tenant(Tenant& one, double span) {  // sums that fade alike fade as one
    one.recent.see(now, one.recent.left(now, span) + 1);
    tenants_recent.see(now, tenants_recent.left(now, span) + 1);
  }
  void subscribe() {
    asking = false;
    asked = now;
    out->push_back(Subscribe{});
  }
  void see_own_start(double span) { starts.see(now, starts.left(now, span) + 1); }
  double start_rate(double span) const {  // own starts a second, over the last span or since this began
    const double known = std::clamp(static_cast<double>(now - born), std::min(1e6, span), span);
    return starts.left(now, span) / known * 1e6;
  }
  void erase_ended(Request& r) {
    if (r.answered && !r.any_out()) requests.erase(r.id);
  }
  void see_delay(const std::string& zone, Micros delay) {
    const auto least = start_delay.emplace(zone, delay).first;
    least->second = std::min(least->second, delay);
  }
  Worker& remember(const WorkerInfo& info) {
    const auto [at, fresh] = workers.try_emplace(info.id);
    Worker& w = at->second;
    const bool moved = fresh || w.info.kind != info.kind || w.info.zone != info.zone ||
                       w.info.group != info.group || w.info.size != info.size;
    const Micros last_start = std::exchange(w.info, info).started;
    w.info.started = last_start;
    w.listed = lists;
    if (fresh) {
      w.name = at->first;
      w.own_hash = id_hash(info.id, set.seed);
      w.lane_hash = id_hash(info.id, 0);
      w.banned = banned.contains(info.id);
    }
    if (moved) place(w);
    if (info.started > last_start) w.new_process(info.started);
    if (info.phase == Phase::gone) leaving.insert(info.id);
    return w;
  }
  void place(Worker& w) {
    w.of = &kinds[{w.info.kind, w.info.size}];
    w.zone_late = &late[w.info.zone];
    w.near = w.info.zone == set.zone;
    shelves.settle(w, w.info.kind, w.info.zone, w.info.group);
    w.size = std::llround(w.info.size / index::kSizeUnit);
  }

  void call_off_all_but(const Request& r, int kept) {
    if (!set.may_cancel) return;
    for (int i = 0; i < static_cast<int>(r.attempts.size()); ++i)
      if (i != kept && r.attempts[static_cast<std::size_t>(i)].out) out->push_back(Cancel{r.id, i});
  }

  void call_off_copies() {
    for (const auto id : open_ids()) call_off_all_but(requests.at(id), requests.at(id).first_out());
  }
  void see_taken(const Taken& e) {
    if (Attempt* a = attempt(e.id, e.attempt).second; a != nullptr) a->taken = true;
  }
  void tell(int word) {
    if (set.may_tell) out->push_back(Tell{std::string(1, static_cast<char>(word))});
  }
  // Listed, and nothing goes there: by hand or by judgement. Who drains is left out by the list.
  std::size_t avoided(Micros at) const {
    std::size_t all = 0;
    for (const auto& [id, w] : workers)
      all += w.info.phase == Phase::serving && (w.banned || at < w.judged_until);
    return all;
  }

  // Whoever is absent from a whole list is gone.
  void mark_absent() {
    for (auto& [id, w] : workers)
      if (w.listed != lists && std::exchange(w.info.phase, Phase::gone) != Phase::gone) leaving.insert(id);
  }
  void forget_gone() {
    std::erase_if(leaving, [this](const WorkerId& id) {
      const auto found = workers.find(id);
      if (found == workers.end() || found->second.info.phase != Phase::gone) return true;
      if (found->second.attempts > 0) return false;
      forget(found->second);
      workers.erase(found);
      return true;
    });
  }
  // Returns those whose lane is another now.
  std::vector<Worker*> put_in_big_lane(const std::vector<Worker*>& chosen) {
    std::vector<Worker*> moved;
    const auto put = [&moved](Worker* w, bool big) {
      if (std::exchange(w->big_lane, big) != big) moved.push_back(w);
    };
    const auto before = std::exchange(bigs, {});
    ++lane_rounds;
    for (Worker* w : chosen)
      if (std::exchange(w->lane_round, lane_rounds) != lane_rounds) bigs.push_back(w);
    for (Worker* w : before)
      if (w != nullptr && w->lane_round != lane_rounds) put(w, false);
    for (std::size_t i = 0; i < bigs.size(); ++i) {
      bigs[i]->big_lane_at = i;
      put(bigs[i], true);
    }
    return moved;
  }
  std::vector<Worker*> filled() const {  // by own jobs, as far as the slots of their kinds have shown
    std::vector<Worker*> found;
    for (const bool big : {false, true})
      for (const auto& spot : shelves.find("", "")->full[big])
        found.push_back(static_cast<Worker*>(spot.owner));
    return found;
  }
  void see_beside(const Beside& e) {
    if (std::exchange(beside, e).shares) shared = now;
  }
  Worker* set_banned(const WorkerId& id, bool yes) {  // null: no worker that is known, or no news
    if (yes ? !banned.insert(id).second : banned.erase(id) == 0) return nullptr;
    const auto found = workers.find(id);
    if (found == workers.end()) return nullptr;
    found->second.banned = yes;
    return &found->second;
  }
  std::vector<Worker*> rested() {  // those whose rest has ended since it was asked last
    std::vector<Worker*> found;
    for (; !resting.empty() && resting.begin()->first <= now; resting.erase(resting.begin()))
      if (const auto w = workers.find(resting.begin()->second); w != workers.end())
        found.push_back(&w->second);
    return found;
  }
  const index::Home* home_for(const QueueKey& queue, bool near) const {  // where its workers stand
    if (queue.group >= 0) return shelves.group(queue.group);
    return shelves.find(queue.kind, near ? set.zone : queue.zone);
  }
  std::size_t idle_small(const QueueKey& queue) const {  // workers of the small lane with no own job
    const index::Home* home = home_for(queue, false);
    return home == nullptr ? 0 : home->idle[0].size();
  }
  Worker* at_place(const std::string& kind, std::uint64_t hash) const {  // in the order common to all
    const auto row = shelves.rows().find(kind);
    if (row == shelves.rows().end() || row->second.workers.empty()) return nullptr;
    auto spot = row->second.workers.from(hash);
    if (spot == row->second.workers.end()) spot = row->second.workers.begin();
    return static_cast<Worker*>(spot->owner);
  }
  Request& last_of(const QueueKey& key) { return requests.at(queues.at(key).rbegin()->second); }
  std::vector<QueueKey> queue_keys() const {
    std::vector<QueueKey> keys;
    for (const auto& [key, queue] : queues) keys.push_back(key);
    return keys;
  }
  int proof() const { return evidence + told_sum; }
  void hear(const PeerTold& e, int most) {  // a peer's last word; what can be none changes nothing
    if (!set.may_tell || e.peer < 0 || e.peer >= set.fleet_size || e.bytes.size() != 1) return;
    const int word = static_cast<signed char>(e.bytes[0]);
    if (std::abs(word) <= most) told_sum += word - std::exchange(told[e.peer], word);
  }
  double best_pace(double unknown) const {  // of all kinds that have been seen to finish a job
    double best = 0;
    for (const auto& [key, kind] : kinds) best = std::max(best, kind.pace.speed(0));
    return best > 0 ? best : unknown;
  }
  bool big_waits() const {
    return std::any_of(queues.begin(), queues.end(), [](auto& q) { return q.first.big; });
  }
  Micros least_delay(const Worker& w, Micros unknown) const {
    const auto least = start_delay.find(w.info.zone);
    return least == start_delay.end() ? unknown : least->second;
  }
  void forget(Worker& w) {
    shelves.forget(w);
    if (w.big_lane) bigs[w.big_lane_at] = nullptr;
  }
  void enqueue(Request& r) {
    queues[r.queue][r.place] = r.id;
    r.held = true;
    held_work[r.big][static_cast<std::size_t>(std::get<0>(r.place))] += static_cast<Micros>(r.work);
  }
  void dequeue(Request& r) {
    if (!r.held) return;
    auto& queue = queues[r.queue];
    queue.erase(r.place);
    if (queue.empty()) queues.erase(r.queue);
    r.held = false;
    stuck = false;
    held_work[r.big][static_cast<std::size_t>(std::get<0>(r.place))] -= static_cast<Micros>(r.work);
  }
  // Held work that comes before it: of its lane, and of the other one too if that goes first.
  double work_ahead(const Request& r, bool other_too) const {
    Micros all = r.held ? -static_cast<Micros>(r.work) : 0;
    for (std::size_t rank = 0; rank < 3; ++rank)
      all += (static_cast<int>(rank) <= std::get<0>(r.place) ? held_work[r.big][rank] : 0) +
             (other_too ? held_work[!r.big][rank] : 0);
    return static_cast<double>(all);
  }
  void stand(Worker& w, const index::Stand& as, double slots) {
    shelves.stand(w, as);
    lane_slots[w.counted_big] -= w.counted;
    w.counted = as.usable ? slots : 0;
    w.counted_big = as.big;
    lane_slots[w.counted_big] += w.counted;
  }
  void rest(const Worker& w, Micros until) { resting.emplace(until, w.info.id); }
  void begin(Micros at, std::vector<Action>* actions) {
    now = at;
    out = actions;
  }
  void count_send(Worker& w, const Request& r, bool started) {
    ++sends;
    if (trial.id == r.id) ++trial_copies;
    ++w.attempts;
    (started ? w.running : w.waiting) += r.slots;
    w.out += r.slots;
    slots_out += r.slots;
  }
  void count_start(Worker& w, const Request& r, Attempt& a, double span) {
    a.start(now);
    see_own_start(span);
    see_delay(w.info.zone, now - a.sent);
    w.waiting -= r.slots;
    w.running += r.slots;
    w.prompt = !a.late_start;
    if (a.late_start) count_late(w, -1);
  }
  void count_late(Worker& w, int more) {
    const bool before = w.late_starts > 0;
    w.late_starts += more;
    late_workers += (w.late_starts > 0 ? 1 : 0) - (before ? 1 : 0);
  }
  void count_late(Worker& w, Attempt& a) {
    a.late_start = true;
    count_late(w, 1);
  }
  void count_end(Worker& w, const Request& r, const Attempt& a) {
    --w.attempts;
    (a.seen_start ? w.running : w.waiting) -= r.slots;
    if (!a.seen_start && a.late_start) count_late(w, -1);
    w.out -= r.slots;
    slots_out -= r.slots;
  }
};

}  // namespace woadridge
