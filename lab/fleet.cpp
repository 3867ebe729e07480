#include "lab/fleet.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace woadridge::lab {
namespace {

constexpr int kWarmSteps = 16;             // a warming worker's rate is piecewise constant in so many steps
constexpr Micros kPublishEvery = 50'000;   // changes of the list within this span are told together
constexpr Micros kReleaseGap = 1'000'000;  // from the end of an old process to the start of its successor
constexpr Micros kFailsAfter = 1'000;  // from the start of a job to its failure, at a worker that fails all
constexpr std::uint64_t kGroupsInZone = 1'000'000;  // group numbers of one zone stay below

std::int64_t whole_share(double share, std::size_t of) {
  return std::max<std::int64_t>(1, std::llround(share * static_cast<double>(of)));
}

}  // namespace

const std::string& zone_of(const Scenario& scenario, DispatcherId dispatcher) {
  return scenario.fleet.zones[dispatcher % scenario.fleet.zones.size()];
}

std::vector<std::vector<DispatcherId>> struck_dispatchers(const Scenario& scenario) {
  Stream random(scenario.seed, "dispatcher troubles");
  std::vector<std::vector<DispatcherId>> struck(scenario.troubles.size());
  for (std::size_t i = 0; i < struck.size(); ++i) {
    if (scenario.troubles[i].kind < TroubleKind::kill_dispatcher) continue;
    for (int d = 0; d < scenario.dispatchers; ++d) struck[i].push_back(static_cast<DispatcherId>(d));
    random.shuffle(struck[i]);
    struck[i].resize(static_cast<std::size_t>(whole_share(scenario.troubles[i].share, struck[i].size())));
  }
  return struck;
}

void ToldBook::learn(DispatcherId dispatcher, const ListNews& news, Micros now, std::vector<Told>& into) {
  if (news.kind == ListKind::failed) return;
  if (news.kind == ListKind::full) {  // whoever is absent is gone
    std::vector<bool> listed(phases_.size(), false);
    for (const WorkerIndex w : *news.workers) listed[w] = true;
    for (WorkerIndex w = 0; w < phases_.size(); ++w)
      if (!listed[w]) learn(dispatcher, w, Phase::gone, now, into);
  }
  for (std::size_t i = 0; i < news.workers->size(); ++i)
    learn(dispatcher, (*news.workers)[i], (*news.entries)[i].phase, now, into);
}

void ToldBook::learn(DispatcherId dispatcher, WorkerIndex worker, Phase phase, Micros now,
                     std::vector<Told>& into) {
  if (std::exchange(phases_[worker], phase) != phase) into.push_back({dispatcher, worker, phase, now});
}

Fleet::Fleet(const Scenario& scenario, Micros begin, FleetOut& out)
    : scenario_(scenario),
      out_(out),
      list_random_(scenario.seed, "list"),
      trouble_random_(scenario.seed, "troubles"),
      trouble_targets_(scenario.troubles.size()) {
  records_.begin = begin;
  Stream random(scenario.seed, "fleet");
  build(random);
  for (std::size_t i = 0; i < scenario.troubles.size(); ++i)
    set(begin + scenario.troubles[i].at, What::trouble_begins, i);
  if (scenario.list.watched) return;
  for (int d = 0; d < scenario.dispatchers; ++d)
    set(begin + static_cast<Micros>(list_random_.uniform() * static_cast<double>(scenario.list.poll_every)),
        What::poll, static_cast<std::uint64_t>(d));
}

// Kinds are dealt out by their shares, zones in turn, groups of neighbours within a zone.
void Fleet::build(Stream& random) {
  const FleetSpec& spec = scenario_.fleet;
  const auto count = static_cast<std::size_t>(spec.workers);
  workers_.resize(count);
  double all = 0;
  for (const auto& kind : spec.kinds) all += kind.share;
  for (std::size_t i = 0; i < count; ++i) {
    double place = (static_cast<double>(i) + 0.5) / static_cast<double>(count) * all;
    // Neighbours differ in kind: the golden ratio spreads what the index orders.
    place = std::fmod(place * 0.6180339887498949 * static_cast<double>(count), all);
    std::size_t kind = 0;
    while (kind + 1 < spec.kinds.size() && place >= spec.kinds[kind].share) place -= spec.kinds[kind++].share;
    const KindSpec& k = spec.kinds[kind];
    Worker& w = workers_[i];
    w.slots = k.slots;
    w.speed = random.uniform(k.speed_low, k.speed_high);
    w.rate = w.speed;
    WorkerFacts facts;
    char name[24];
    std::snprintf(name, sizeof name, "w-%04zu", i);
    facts.name = name;
    facts.zone = spec.zones[i % spec.zones.size()];
    const std::size_t in_zone = i / spec.zones.size();
    facts.group = static_cast<std::int64_t>(
        in_zone / static_cast<std::size_t>(spec.group_size) * spec.zones.size() + i % spec.zones.size());
    facts.kind = k.name;
    facts.capacity = w.slots * w.speed;
    names_[facts.name] = static_cast<WorkerIndex>(i);
    records_.workers.push_back(std::move(facts));
  }
}

void Fleet::set(Micros at, What what, std::uint64_t a, std::uint64_t b) {
  due_.push({at, ++orders_, what, a, b});
}

void Fleet::advance(Micros now) {
  while (!due_.empty() && due_.top().at <= now) {
    const Due due = due_.top();
    due_.pop();
    carry_out(std::max(due.at, records_.begin), due);
  }
}

void Fleet::carry_out(Micros now, const Due& due) {
  const auto w = static_cast<WorkerIndex>(due.a);
  switch (due.what) {
    case What::job_ends: {
      const auto job = workers_[w].jobs.find(due.b);
      if (job != workers_[w].jobs.end() && job->second.running) {
        Job& j = job->second;
        const double left = j.left - workers_[w].rate * static_cast<double>(now - j.settled);
        if (workers_[w].rate > 0 && left < 0.5 + workers_[w].rate)
          end_job(now, w, due.b, workers_[w].failing > 0 ? Said::failed : Said::done);
      }
      return;
    }
    case What::progress: {
      const auto job = workers_[w].jobs.find(due.b);
      if (job == workers_[w].jobs.end()) return;
      Job& j = job->second;
      const double left = j.left - workers_[w].rate * static_cast<double>(now - j.settled);
      if (workers_[w].hung == 0)
        say(w, j, Said::progress, std::clamp(1 - left / std::max(1.0, j.offer.work), 0.0, 1.0));
      return set(now + scenario_.fleet.progress_every, What::progress, due.a, due.b);
    }
    case What::warm_step:
      if (due.b == workers_[w].generation && workers_[w].up) replan(now, w);
      return;
    case What::trouble_begins:
      return begin_trouble(now, due.a);
    case What::trouble_ends:
      return end_trouble(now, due.a);
    case What::restart:
      if (due.b == workers_[w].generation) restart(now, w);
      return;
    case What::listed_gone:
      if (due.b == workers_[w].generation && !workers_[w].up) list_changed(now, w, Phase::gone);
      return;
    case What::publish:
      return publish(now);
    case What::poll:
      if (list_up()) news_to(now, static_cast<DispatcherId>(due.a), whole_list());
      return set(now + scenario_.list.poll_every, What::poll, due.a);
    case What::release_step:
      return release_step(now, due.a, due.b);
  }
}

// ---- jobs ----

const ClassSettings& Fleet::rules_of(const Job& job) const {
  return scenario_.classes[static_cast<std::size_t>(job.offer.class_index)].rules;
}

bool Fleet::accepts(WorkerIndex w) const {
  return workers_[w].up && workers_[w].refusing == 0;
}

bool Fleet::reachable(WorkerIndex w, const std::string& from) const {
  const std::string& zone = records_.workers[w].zone;
  return zone == from || (!cut_zones_.contains(zone) && !cut_zones_.contains(from));
}

bool Fleet::cut(WorkerIndex w, DispatcherId d) const {
  return !cut_zones_.empty() && !reachable(w, zone_of(scenario_, d));
}

void Fleet::offer(Micros now, WorkerIndex index, const Offer& offer) {
  Worker& w = workers_[index];
  Sent sent{offer.ref.request, offer.ref.attempt, offer.ref.dispatcher, index,
            offer.class_index, offer.first_byte};
  sent.work = offer.work;
  const bool lost = cut(index, offer.ref.dispatcher);
  const bool up = accepts(index) || (w.up && !offer.fresh);
  if (!lost && up) sent.received = now;
  const std::size_t record = records_.sends.size();
  records_.sends.push_back(sent);
  if (lost) {
    unsaid_.emplace(index, offer.ref);
    return;
  }
  if (!up) return out_.note({offer.ref, index, offer.fresh ? Said::refused : Said::broken});
  if (offer.fresh && scenario_.fleet.connection_work > 0)
    count_cold(now, index, static_cast<double>(scenario_.fleet.connection_work));
  count_cold(now, index, offer.work);
  if (!w.up) return out_.note({offer.ref, index, Said::broken});  // it has just fallen
  const std::uint64_t number = ++numbers_;
  Job& job = w.jobs[number];
  job.offer = offer;
  job.left = offer.work + (offer.fresh ? static_cast<double>(scenario_.fleet.connection_work) : 0);
  job.sent = record;
  w.by_ref[offer.ref] = number;
  if (w.silent > 0) return say(index, job, Said::connected);
  if (static_cast<int>(w.queue.size()) >= scenario_.fleet.queue && w.running >= w.slots) {
    records_.sends[record].given_back = now;
    return end_job(now, index, number, Said::returned);
  }
  w.queue.push_back(number);
  if (w.hung > 0) return say(index, job, Said::connected);
  job.said_taken = true;
  say(index, job, Said::taken);
  begin_waiting(now, index);
}

// Rule 4's fall: all dispatchers together sent more than the factor times what it can do at that moment.
void Fleet::count_cold(Micros now, WorkerIndex index, double work) {
  Worker& w = workers_[index];
  const FleetSpec& spec = scenario_.fleet;
  if (spec.overload_factor <= 0 || w.started == 0 || now - w.started >= spec.warm_after) return;
  w.recent.emplace_back(now, work);
  w.recent_work += work;
  while (w.recent.front().first <= now - spec.overload_for) {
    w.recent_work -= w.recent.front().second;
    w.recent.pop_front();
  }
  const double can = records_.workers[index].capacity * warm_part(now, w);
  if (w.recent_work <= spec.overload_factor * can * static_cast<double>(spec.overload_for)) return;
  w.fallen = true;
  die(now, index);
}

void Fleet::begin_waiting(Micros now, WorkerIndex index) {
  Worker& w = workers_[index];
  while (w.up && w.hung == 0 && w.running < w.slots && !w.queue.empty()) {
    const std::uint64_t number = w.queue.front();
    w.queue.pop_front();
    if (!dropped(now, index, number)) begin(now, index, number);
  }
}

std::uint64_t Fleet::scope_of(WorkerIndex w, const ClassSettings& rules) const {
  if (rules.scope == Scope::all) return 0;
  const auto& zones = scenario_.fleet.zones;
  const auto zone = static_cast<std::uint64_t>(
      std::find(zones.begin(), zones.end(), records_.workers[w].zone) - zones.begin());
  if (rules.scope == Scope::zone) return (zone + 1) * kGroupsInZone;
  return (zone + 1) * kGroupsInZone + 1 + static_cast<std::uint64_t>(records_.workers[w].group);
}

// A repeat of a key that is remembered here doesn't run: it is answered as the first one was, at its end.
bool Fleet::dropped(Micros now, WorkerIndex w, std::uint64_t number) {
  Job& job = workers_[w].jobs.at(number);
  const ClassSettings& rules = rules_of(job);
  if (rules.effect != Effect::keyed || job.offer.key == 0) return false;
  const KeyPlace place{job.offer.key, scope_of(w, rules)};
  const auto found = memory_.find(place);
  if (found == memory_.end() || now - found->second.first > rules.memory) {
    remember(now, place, w, number);
    return false;
  }
  if (found->second.ended) {
    end_job(now, w, number, Said::done);
  } else {
    job.follows = true;
    found->second.followers.emplace_back(w, number);
  }
  return true;
}

void Fleet::remember(Micros now, const KeyPlace& place, WorkerIndex w, std::uint64_t number) {
  memory_[place] = {now, false, {w, number}, {}};
  remembered_.emplace_back(now, place);
  Micros longest = 0;
  for (const auto& c : scenario_.classes) longest = std::max(longest, c.rules.memory);
  while (!remembered_.empty() && remembered_.front().first < now - longest) {
    const auto old = memory_.find(remembered_.front().second);
    if (old != memory_.end() && old->second.first == remembered_.front().first && old->second.ended)
      memory_.erase(old);
    remembered_.pop_front();
  }
}

// The job that holds its key has ended. If it was cut short the key is free, and who followed begins.
void Fleet::release_key(Micros now, WorkerIndex w, const Job& job, std::uint64_t number, bool ran) {
  const ClassSettings& rules = rules_of(job);
  if (rules.effect != Effect::keyed || job.offer.key == 0) return;
  const auto found = memory_.find({job.offer.key, scope_of(w, rules)});
  if (found == memory_.end() || found->second.holder != std::pair(w, number)) return;
  const auto followers = std::move(found->second.followers);
  if (ran) found->second.ended = true;
  else memory_.erase(found);
  for (const auto& [at, follower] : followers) {
    const auto j = workers_[at].jobs.find(follower);
    if (j == workers_[at].jobs.end()) continue;
    j->second.follows = false;
    if (ran) {
      end_job(now, at, follower, Said::done);
    } else {
      workers_[at].queue.push_front(follower);
      begin_waiting(now, at);
    }
  }
}

void Fleet::begin(Micros now, WorkerIndex index, std::uint64_t number) {
  Worker& w = workers_[index];
  Job& job = w.jobs.at(number);
  job.running = true;
  job.settled = now;
  if (w.failing > 0) job.left = std::min(job.left, w.rate * static_cast<double>(kFailsAfter));
  ++w.running;
  job.run = records_.runs.size();
  records_.runs.push_back({job.offer.ref.request, job.offer.key, index, job.offer.class_index, now});
  if (scenario_.fleet.tells_start) say(index, job, Said::started);
  if (scenario_.fleet.progress_every > 0)
    set(now + scenario_.fleet.progress_every, What::progress, index, number);
  if (w.rate > 0)
    set(now + std::max<Micros>(1, static_cast<Micros>(std::ceil(job.left / w.rate))), What::job_ends, index,
        number);
}

void Fleet::settle(Micros now, Worker& w) {
  for (auto& [number, job] : w.jobs) {
    if (!job.running) continue;
    job.left -= w.rate * static_cast<double>(now - job.settled);
    job.settled = now;
  }
}

// What a worker does of its work: all of it once it is warm.
double Fleet::warm_part(Micros now, const Worker& w) const {
  const FleetSpec& spec = scenario_.fleet;
  if (w.started == 0 || spec.warm_after <= 0) return 1;
  const double warm =
      std::min(1.0, static_cast<double>(now - w.started) / static_cast<double>(spec.warm_after));
  return spec.cold_from + (1 - spec.cold_from) * warm;
}

double Fleet::speed_now(Micros now, WorkerIndex index) const {
  const Worker& w = workers_[index];
  if (!w.up || w.hung > 0) return 0;
  return w.speed * warm_part(now, w) / w.slow;
}

// The worker's rate has changed: what runs is settled at the old one and its ends are planned anew.
void Fleet::replan(Micros now, WorkerIndex index) {
  Worker& w = workers_[index];
  settle(now, w);
  w.rate = speed_now(now, index);
  if (w.rate <= 0) return;
  for (const auto& [number, job] : w.jobs)
    if (job.running)
      set(now + std::max<Micros>(1, static_cast<Micros>(std::ceil(std::max(0.0, job.left) / w.rate))),
          What::job_ends, index, number);
}

void Fleet::say(WorkerIndex index, const Job& job, Said said, double share) {
  if (job.orphan) return;
  if (cut(index, job.offer.ref.dispatcher)) {
    if (is_last(said)) unsaid_.emplace(index, job.offer.ref);
    return;
  }
  const Worker& w = workers_[index];
  Note note{job.offer.ref, index, said, share};
  if (is_last(said) && scenario_.fleet.reports) note.free_slots = free_slots(index);
  if (said == Said::done && w.resetting > 0) note.said = Said::broken;  // it has run, and nobody is told
  note.trickled = is_last(said) && w.trickling > 0;
  out_.note(note);
}

void Fleet::end_job(Micros now, WorkerIndex index, std::uint64_t number, Said said) {
  Worker& w = workers_[index];
  const auto found = w.jobs.find(number);
  if (found == w.jobs.end()) return;
  const Job job = found->second;
  remove(index, number);
  const bool ran = job.running && said == Said::done;
  if (ran) records_.runs[job.run].ended = now;
  say(index, job, said);
  if (job.running) release_key(now, index, job, number, ran);
  begin_waiting(now, index);
}

void Fleet::remove(WorkerIndex index, std::uint64_t number) {
  Worker& w = workers_[index];
  const auto found = w.jobs.find(number);
  if (found->second.running) --w.running;
  else std::erase(w.queue, number);
  const auto ref = w.by_ref.find(found->second.offer.ref);
  if (ref != w.by_ref.end() && ref->second == number) w.by_ref.erase(ref);
  w.jobs.erase(found);
}

void Fleet::close(Micros now, WorkerIndex index, const AttemptRef& ref) {
  Worker& w = workers_[index];
  unsaid_.erase({index, ref});
  const auto found = w.by_ref.find(ref);
  if (found == w.by_ref.end()) return;
  const std::uint64_t number = found->second;
  Job& job = w.jobs.at(number);
  job.orphan = true;
  const bool gone = job.running ? scenario_.fleet.cancel_stops : scenario_.fleet.cancel_drops || w.silent > 0;
  if (gone) end_job(now, index, number, Said::lost);
}

int Fleet::probe(WorkerIndex index) const {
  const Worker& w = workers_[index];
  return accepts(index) && w.hung == 0 && w.silent == 0 ? free_slots(index) : -1;
}

int Fleet::free_slots(WorkerIndex index) const {
  const Worker& w = workers_[index];
  return w.up && w.hung == 0 && w.silent == 0 && w.refusing == 0
             ? std::max(0, w.slots - w.running - static_cast<int>(w.queue.size()))
             : 0;
}

int Fleet::jobs_at(WorkerIndex index) const {
  return static_cast<int>(workers_[index].jobs.size());
}

Doing Fleet::doing(Micros now, WorkerIndex index) const {
  const Worker& w = workers_[index];
  if (w.fallen) return Doing::fallen;
  if (!w.up) return Doing::down;
  if (w.hung > 0) return Doing::hung;
  if (w.slow > 1) return Doing::slow;
  if (w.silent + w.refusing + w.resetting + w.trickling + w.failing > 0) return Doing::odd;
  if (w.listed == Phase::draining) return Doing::draining;
  return w.started > 0 && now - w.started < scenario_.fleet.warm_after ? Doing::cold : Doing::serving;
}

// ---- troubles ----

void Fleet::die(Micros now, WorkerIndex index) {
  Worker& w = workers_[index];
  if (!w.up) return;
  w.up = false;
  ++w.generation;
  while (!w.jobs.empty()) {  // what it had is lost, and whoever waited for it sees the connection break
    const std::uint64_t number = w.jobs.begin()->first;
    const Job job = w.jobs.begin()->second;
    remove(index, number);
    say(index, job, Said::broken);
    if (job.running) release_key(now, index, job, number, false);
  }
  w.queue.clear();
  out_.door(index, false, true);
  set(now + scenario_.list.notice, What::listed_gone, index, w.generation);
}

void Fleet::restart(Micros now, WorkerIndex index) {
  Worker& w = workers_[index];
  if (w.up || w.fallen) return;
  w.up = true;
  ++w.generation;
  w.started = now;
  w.recent.clear();
  w.recent_work = 0;
  w.rate = speed_now(now, index);
  records_.starts.push_back({index, now});
  if (w.refusing == 0) out_.door(index, true, false);
  for (int i = 1; i <= kWarmSteps; ++i)
    set(now + scenario_.fleet.warm_after * i / kWarmSteps, What::warm_step, index, w.generation);
  list_changed(now, index, Phase::serving);
}

std::vector<WorkerIndex> Fleet::targets(const Trouble& t) {
  std::vector<WorkerIndex> fit;
  for (WorkerIndex i = 0; i < workers_.size(); ++i) {
    const WorkerFacts& facts = records_.workers[i];
    if (!t.worker.empty() && facts.name != t.worker) continue;
    if (!t.zone.empty() && facts.zone != t.zone) continue;
    if (t.group >= 0 && facts.group != t.group) continue;
    fit.push_back(i);
  }
  trouble_random_.shuffle(fit);
  if (t.share > 0 && !fit.empty())
    fit.resize(std::min(fit.size(), static_cast<std::size_t>(whole_share(t.share, fit.size()))));
  return fit;
}

void Fleet::begin_trouble(Micros now, std::size_t index) {
  const Trouble& t = scenario_.troubles[index];
  if (t.kind == TroubleKind::list_outage) {
    if (list_outages_++ == 0) {  // watches end
      const auto ended = std::exchange(watchers_, {});
      for (const auto& [who, watch] : ended) out_.news(who, {0, ListKind::failed, nullptr, nullptr}, 0);
    }
    return set(now + t.span, What::trouble_ends, index);
  }
  if (t.kind == TroubleKind::partition) {
    cut_zones_.insert(t.zone);
    return set(now + t.span, What::trouble_ends, index);
  }
  if (t.kind >= TroubleKind::flood) return;  // the clients' and the dispatchers' own
  trouble_targets_[index] = targets(t);
  if (t.kind == TroubleKind::release) return release_step(now, index, 0);
  for (const WorkerIndex w : trouble_targets_[index]) apply(now, w, t, true);
  if (t.span > 0) set(now + t.span, What::trouble_ends, index);
}

void Fleet::end_trouble(Micros now, std::size_t index) {
  const Trouble& t = scenario_.troubles[index];
  if (t.kind == TroubleKind::list_outage) {
    if (--list_outages_ == 0 && !changed_.empty()) publish(now);
    return;
  }
  if (t.kind == TroubleKind::partition) {
    cut_zones_.erase(cut_zones_.find(t.zone));
    return end_partition();
  }
  for (const WorkerIndex w : trouble_targets_[index]) apply(now, w, t, false);
}

void Fleet::apply(Micros now, WorkerIndex index, const Trouble& t, bool on) {
  Worker& w = workers_[index];
  const int step = on ? 1 : -1;
  switch (t.kind) {
    case TroubleKind::die:
      return on ? die(now, index) : restart(now, index);
    case TroubleKind::drain:
      return list_changed(now, index, on ? Phase::draining : Phase::serving);
    case TroubleKind::hang:
      settle(now, w);
      w.hung += step;
      replan(now, index);
      if (w.hung > 0) return;
      for (auto& [number, job] : w.jobs)
        if (!std::exchange(job.said_taken, true) && !job.running) say(index, job, Said::taken);
      return begin_waiting(now, index);
    case TroubleKind::slow:
      w.slow = on ? w.slow * t.factor : w.slow / t.factor;
      return replan(now, index);
    case TroubleKind::reset:
      w.resetting += step;
      return;
    case TroubleKind::trickle:
      w.trickling += step;
      return;
    case TroubleKind::refuse:
      w.refusing += step;
      return out_.door(index, accepts(index), false);
    case TroubleKind::silent:
      w.silent += step;
      return;
    case TroubleKind::fail:
      w.failing += step;
      return;
    default:
      return;
  }
}

// A step drains one batch, and ends the one that has drained: steps 2i and 2i + 1 are of batch i.
void Fleet::release_step(Micros now, std::size_t index, std::uint64_t step) {
  const Trouble& t = scenario_.troubles[index];
  const auto& all = trouble_targets_[index];
  const auto size = static_cast<std::size_t>(whole_share(t.batch, workers_.size()));
  const std::size_t from = step / 2 * size;
  const std::size_t to = std::min(all.size(), from + size);
  for (std::size_t i = from; i < to; ++i) {
    if (step % 2 == 0) {
      if (workers_[all[i]].up) list_changed(now, all[i], Phase::draining);
    } else {
      die(now, all[i]);
      list_changed(now, all[i], Phase::gone);
      set(now + kReleaseGap, What::restart, all[i], workers_[all[i]].generation);
    }
  }
  if (step % 2 != 0 || from >= all.size()) return;
  set(now + t.drain_for, What::release_step, index, step + 1);
  const std::size_t batches = (all.size() + size - 1) / size;
  if (to < all.size())
    set(now + t.span / static_cast<Micros>(std::max<std::size_t>(1, batches)), What::release_step, index,
        step + 2);
}

// Connections across the cut are reset when the machines meet again; the jobs go on unheard.
void Fleet::end_partition() {
  for (WorkerIndex i = 0; i < workers_.size(); ++i) {
    for (auto& [number, job] : workers_[i].jobs) {
      if (cut(i, job.offer.ref.dispatcher) ||
          records_.workers[i].zone == zone_of(scenario_, job.offer.ref.dispatcher))
        continue;
      if (std::exchange(job.orphan, true)) continue;
      out_.note({job.offer.ref, i, Said::broken});
    }
  }
  for (auto at = unsaid_.begin(); at != unsaid_.end();) {
    if (cut(at->first, at->second.dispatcher)) {
      ++at;
      continue;
    }
    out_.note({at->second, at->first, Said::broken});
    at = unsaid_.erase(at);
  }
}

// ---- the list ----

WorkerIndex Fleet::index_of(const std::string& name) const {
  const auto found = names_.find(name);
  return found == names_.end() ? static_cast<WorkerIndex>(workers_.size()) : found->second;
}

WorkerInfo Fleet::entry(WorkerIndex index) const {
  const Worker& w = workers_[index];
  const WorkerFacts& facts = records_.workers[index];
  WorkerInfo info;
  info.id = facts.name;
  info.kind = facts.kind;
  info.zone = facts.zone;
  info.group = facts.group;
  info.size = w.slots;
  info.started = w.listed_started;
  info.phase = w.listed;
  return info;
}

void Fleet::list_changed(Micros now, WorkerIndex index, Phase phase) {
  Worker& w = workers_[index];
  w.listed = phase;
  if (phase == Phase::serving) w.listed_started = w.started;
  changed_.insert(index);
  if (!std::exchange(publish_due_, true)) set(now + kPublishEvery, What::publish);
}

void Fleet::publish(Micros now) {
  publish_due_ = false;
  if (!list_up() || changed_.empty()) return;  // told when the list is back
  ++version_;
  auto which = std::make_shared<std::vector<WorkerIndex>>(changed_.begin(), changed_.end());
  auto entries = std::make_shared<std::vector<WorkerInfo>>();
  for (const WorkerIndex w : *which) entries->push_back(entry(w));
  changed_.clear();
  const ListNews news{version_, ListKind::changes, which, entries};
  for (const auto& [who, watch] : watchers_) news_to(now, who, news);
}

ListNews Fleet::whole_list() const {
  auto which = std::make_shared<std::vector<WorkerIndex>>();
  auto entries = std::make_shared<std::vector<WorkerInfo>>();
  for (WorkerIndex w = 0; w < workers_.size(); ++w) {
    if (workers_[w].listed == Phase::gone) continue;
    which->push_back(w);
    entries->push_back(entry(w));
  }
  return {version_, ListKind::full, which, entries};
}

void Fleet::ask_list(Micros now, DispatcherId who) {
  if (!list_up()) {
    watchers_.erase(who);
    return out_.news(who, {0, ListKind::failed, nullptr, nullptr}, scenario_.list.lag_low);
  }
  watchers_[who].last = 0;
  news_to(now, who, whole_list());
}

Micros Fleet::lag(DispatcherId to, Micros now) {
  const auto [low, high] = std::pair(scenario_.list.lag_low, scenario_.list.lag_high);
  const auto drawn =
      static_cast<Micros>(list_random_.uniform(static_cast<double>(low), static_cast<double>(high)));
  Micros& last = watchers_[to].last;
  last = std::max(last, now + drawn);
  return last - now;
}

void Fleet::news_to(Micros now, DispatcherId to, const ListNews& news) {
  out_.news(to, news, scenario_.list.watched ? lag(to, now) : scenario_.list.lag_low);
}

}  // namespace woadridge::lab
