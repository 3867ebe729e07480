#include "autoscaler/autoscaler.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "common/homes.h"
#include "common/saturate.h"

namespace woadridge::autoscaler {
namespace {

constexpr Micros kLook = 250'000;         // between two looks at everything; reports are acted upon at once
constexpr Micros kFirstAgain = 50'000;    // a call without answer is repeated after this, then twice that ...
constexpr Micros kLastAgain = 1'000'000;  // ... and so on, up to this
constexpr Micros kTooMany = 150'000;  // after a refusal over the rate: the others of that second are through
constexpr Micros kStartForgone = 10'000'000;    // a start without answer: the list shows it if it came about
constexpr Micros kNoSuchService = 1'000'000;    // the provider learns of a configuration a little later
constexpr Micros kReachedUnlisted = 4'000'000;  // besides the lag: ready, but in no list: it's gone
constexpr Micros kBuriedShown = 5'000'000;  // besides the lag: lost instances stay listed for some seconds
constexpr Micros kBuriedKept = 60'000'000;  // longer than any list is late
constexpr Micros kStartsTooLong = 6;        // times the mean: far beyond what starts vary
constexpr std::uint32_t kMissedLists = 2;   // what moves between pages while they are read is missed once
constexpr double kOverdue = 0.25;           // of the mean start: what one that has taken it may still take
constexpr double kGaps = 4;                 // chance makes a gap so long once in fifty
constexpr double kNoTimeForStart = 0.5;  // share of late cold starts: with so many it's warm ahead of traffic

Micros micros(double seconds) {
  return common::saturated<Micros>(seconds * 1e6);
}

std::string hex(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%llx", static_cast<unsigned long long>(number));
  return text;
}

}  // namespace

Autoscaler::Autoscaler(Policy options, Bounds bounds, std::uint64_t seed)
    : options_(options), bounds_(bounds), random_(seed), machine_ledger_(bounds.lag) {}

Autoscaler::~Autoscaler() = default;

void Autoscaler::begin(Micros now, std::uint64_t term) {
  const auto plan = plan_;
  functions_.clear();
  lives_.clear();
  by_id_.clear();
  by_ticket_.clear();
  buried_.clear();
  burials_.clear();
  untold_.clear();
  gone_.clear();
  peers_.clear();
  reporters_.clear();
  machine_ledger_ = MachineLedger(bounds_.lag);
  term_ = term;
  began_ = tokens_at_ = now;
  traffic_at_ = looked_at_ = 0;
  tokens_ = options_.calls_at_once;
  out_ = 0;
  listed_ = false;
  listed_at_ = 0;
  plan_ = nullptr;
  if (plan) this->plan(now, plan);
}

// --- what is told ---

Autoscaler::Function& Autoscaler::function(const std::string& name) {
  auto& entry = functions_[name];
  if (!entry) {
    entry = std::make_unique<Function>();
    entry->name = name;
    entry->unplanned_at = 0;
    find_home(*entry);
  }
  return *entry;
}

double Autoscaler::guess_s(const Function& f) const {
  return std::min(0.2, f.trade.aim_s / 5);  // an aim is set at a few times the work
}

void Autoscaler::plan(Micros now, std::shared_ptr<const common::Plan> plan) {
  if (!plan || (plan_ && plan->version <= plan_->version)) return;
  plan_ = std::move(plan);
  std::unordered_map<std::string, std::pair<std::uint32_t, std::uint32_t>> aims;
  for (const auto& route : plan_->routes) {
    auto [at, first] = aims.try_emplace(route.service, route.target_ms, route.deadline_ms);
    if (!first)
      at->second = {std::min(at->second.first, route.target_ms),
                    std::min(at->second.second, route.deadline_ms)};
  }
  std::unordered_set<std::string> planned;
  for (const auto& service : plan_->services) {
    planned.insert(service.name);
    auto& f = function(service.name);
    if (!f.planned) f.planned_at = now;
    f.planned = true;
    const auto aim = aims.find(service.name);
    f.routed = aim != aims.end();
    f.memory_mb = service.memory_mb;
    f.startup_ms = service.startup_ms;
    f.trade.memory_gb = std::max(1u, service.memory_mb) / 1024.0;
    f.trade.startup_s = std::max(1u, service.startup_ms) / 1000.0;
    f.trade.slots = std::max(1u, service.concurrency);
    if (f.routed) {
      f.trade.aim_s = aim->second.first / 1000.0;
      f.trade.deadline_s = aim->second.second / 1000.0;
    }
    for (auto* life : f.lives) life->old = false;
    f.dirty = true;
  }
  for (auto& [name, f] : functions_) {
    if (planned.contains(name)) continue;
    if (f->planned || f->unplanned_at == 0) f->unplanned_at = now;
    f->planned = f->routed = false;
  }
}

void Autoscaler::find_home(Function& f) {
  f.home.clear();
  f.home_zone.clear();
  const auto order = common::homes(f.name, peers_);
  if (order.empty()) return;
  f.home = peers_[order.front()].name;
  f.home_zone = peers_[order.front()].zone;
}

void Autoscaler::peers(Micros now, std::vector<common::Peer> peers) {
  if (peers == peers_) return;
  for (const auto& old : peers_) {
    const auto same = [&](const common::Peer& p) { return p.name == old.name; };
    if (std::any_of(peers.begin(), peers.end(), same)) continue;
    for (auto& [name, f] : functions_) f->gauge.forget(old.name);
  }
  peers_ = std::move(peers);
  for (auto& [name, f] : functions_) {
    const auto before = f->home;
    find_home(*f);
    if (f->home == before) continue;
    // The new home has counted nothing yet: what is there stays for a whole keep from now on.
    for (auto& at : f->wanted_at) at = std::max(at, now);
  }
}

void Autoscaler::report(Micros now, const std::string& proxy, const common::Report& report) {
  const bool first = !report.demand.empty() && reporters_.insert(proxy).second;
  for (const auto& demand : report.demand) {
    if (demand.service.empty()) continue;
    auto& f = function(demand.service);
    auto counted = demand;
    // Its first word in a term sums up all the time that nobody asked: as a rate it would be far too much.
    if (first) counted.arrivals = std::min(1u, demand.arrivals);
    f.gauge.tell(now, proxy, counted);
    f.dirty = true;
    if (traffic_at_ == 0 && demand.arrivals > 0) traffic_at_ = now;
  }
  for (const auto& id : report.reached) {
    const auto at = by_id_.find(id);
    if (at == by_id_.end() || at->second->stage != Stage::starting) continue;
    at->second->reached_at = now;
    stage(now, *at->second, Stage::ready);
  }
  for (const auto& id : report.lost) {
    const auto at = by_id_.find(id);
    if (at != by_id_.end() && at->second->stage != Stage::stopping) lose(now, *at->second);
  }
}

void Autoscaler::listed(Micros now, Micros asked, const std::vector<Listed>& instances) {
  listed_ = true;
  std::unordered_set<std::string_view> here;
  for (const auto& shown : instances) {
    here.insert(shown.id);
    if (const auto dead = buried_.find(shown.id); dead != buried_.end()) {
      // A list as late as it may be no longer shows who was gone by then: this one lives.
      const auto grace = bounds_.lag + (dead->second.lost ? kBuriedShown : kLastAgain);
      if (!shown.draining && asked - dead->second.at > grace) dead->second.to_stop = true;
      continue;
    }
    const auto at = by_id_.find(shown.id);
    if (at == by_id_.end()) adopt(now, shown);
    else match(now, *at->second, shown);
  }
  std::vector<Life*> gone;
  for (auto& [id, life] : by_id_) {
    if (here.contains(id)) continue;
    if (life->seen && ++life->missed >= kMissedLists) gone.push_back(life);
    const bool unlisted =
        !life->seen && life->reached_at > 0 && asked - life->reached_at > bounds_.lag + kReachedUnlisted;
    if (unlisted) gone.push_back(life);
  }
  for (auto* life : gone) lose(now, *life);
  listed_at_ = asked;
}

void Autoscaler::adopt(Micros now, const Listed& shown) {
  auto& f = function(shown.service);
  auto& life = add(now, f);
  life.id = shown.id;
  life.address = shown.address;
  life.zone = shown.zone;
  life.machine = shown.machine;
  life.capacity = shown.capacity;
  life.memory_mb = f.memory_mb;
  life.old = !f.planned;
  life.held_room = true;
  if (!f.planned && f.unplanned_at == 0) f.unplanned_at = now;
  machine_ledger_.take(now, life.machine, life.memory_mb, false);
  by_id_[life.id] = &life;
  // Who leaves already may have been told so long ago: it is not used again.
  life.stage = shown.draining ? Stage::leaving : Stage::ready;
  // Nobody knows since when it is idle: it gets a keep like any.
  if (f.wanted_at.size() < f.lives.size()) f.wanted_at.resize(f.lives.size(), now);
  match(now, life, shown);
  tell(life);
}

void Autoscaler::match(Micros now, Life& life, const Listed& shown) {
  life.seen = true;
  life.missed = 0;
  life.seen_at = now;
  const bool news =
      life.address != shown.address || life.capacity != shown.capacity || life.zone != shown.zone;
  life.address = shown.address;
  life.capacity = shown.capacity;
  life.zone = shown.zone;
  if (life.stage == Stage::starting) stage(now, life, Stage::ready);
  if (shown.draining && !life.drains) {
    life.drains = true;
    life.drains_since = listed_at_;
    life.function->dirty = true;
  }
  if (news) tell(life);
}

void Autoscaler::machines(Micros now, Micros asked, const std::vector<Machine>& machines) {
  if (machines.empty()) return;  // no fleet has no machines: that word is worth nothing
  std::unordered_set<std::string> left;
  for (const auto& machine : machines)
    if (machine.draining && !machine_ledger_.leaves(machine.name)) left.insert(machine.name);
  const auto gone = machine_ledger_.see(asked, machines);
  std::vector<Life*> lost;
  for (auto& [number, life] : lives_) {
    const bool on_it = std::find(gone.begin(), gone.end(), life->machine) != gone.end();
    if (on_it && life->stage != Stage::ordered) lost.push_back(life.get());
    if (left.contains(life->machine)) life->function->dirty = true;
  }
  for (auto* life : lost) lose(now, *life);
}

void Autoscaler::answered(Micros now, std::uint64_t ticket, Outcome outcome, const std::string& id,
                          const std::string& address) {
  if (const auto burial = burials_.find(ticket); burial != burials_.end()) {
    --out_;
    const auto dead = buried_.find(burial->second);
    if (dead != buried_.end()) {
      dead->second.calls = dead->second.to_stop = false;  // if it lives on, a later list shows it
      if (outcome == Outcome::done || outcome == Outcome::unknown) dead->second = {now, false, false, false};
    }
    burials_.erase(burial);
    return;
  }
  const auto at = by_ticket_.find(ticket);
  if (at == by_ticket_.end() || !at->second->calls) return;
  auto& life = *at->second;
  --out_;
  life.calls = false;
  const auto pause = std::min(kLastAgain, kFirstAgain << std::min(life.tries, 8u));
  if (outcome == Outcome::too_many) {
    life.call_at = now + kTooMany;
    return;
  }
  if (outcome == Outcome::silent || outcome == Outcome::refused) {
    life.call_at = now + (outcome == Outcome::silent ? pause : kLastAgain);
    return;
  }
  auto& f = *life.function;
  if (life.stage == Stage::stopping) {  // done, or there is no such instance
    bury(now, life.id, false);
    drop(life);
    return;
  }
  f.dirty = true;
  if (outcome != Outcome::done || id.empty()) {
    if (outcome == Outcome::no_room) machine_ledger_.refused(now, life.machine);
    else f.no_start_before = now + kNoSuchService;
    drop(life);
    return;
  }
  if (by_id_.contains(id) || buried_.contains(id)) {  // the answer was lost and the list was faster
    drop(life);
    return;
  }
  life.id = id;
  life.address = address;
  by_id_[id] = &life;
  stage(now, life, Stage::starting);
}

// --- lives ---

Autoscaler::Life& Autoscaler::add(Micros now, Function& f) {
  auto& life = *(lives_[++numbers_] = std::make_unique<Life>());
  life.function = &f;
  life.born = life.since = now;
  life.ticket = numbers_;
  life.capacity = f.trade.slots;
  life.memory_mb = f.memory_mb;
  f.lives.push_back(&life);
  by_ticket_[life.ticket] = &life;
  return life;
}

void Autoscaler::drop(Life& life) {
  untell(life);
  untold_.erase(&life);
  if (life.calls) --out_;
  if (life.held_room) machine_ledger_.give_back(life.machine, life.memory_mb);
  std::erase(life.function->lives, &life);
  life.function->dirty = true;
  if (const auto at = by_id_.find(life.id); at != by_id_.end() && at->second == &life) by_id_.erase(at);
  by_ticket_.erase(life.ticket);
  lives_.erase(life.ticket);
}

void Autoscaler::bury(Micros now, const std::string& id, bool lost) {
  if (!id.empty()) buried_[id] = {now, lost, false, false};
}

void Autoscaler::lose(Micros now, Life& life) {
  bury(now, life.id, life.stage != Stage::stopping);
  drop(life);
}

void Autoscaler::stage(Micros now, Life& life, Stage next) {
  life.stage = next;
  life.since = now;
  life.function->dirty = true;
  if (next == Stage::stopping) untell(life);
  else tell(life);
}

void Autoscaler::tell(Life& life) {
  untold_.insert(&life);
}

void Autoscaler::untell(Life& life) {
  if (life.told) gone_.push_back(life.id);
  life.told = false;
}

Changes Autoscaler::changes() {
  Changes changes;
  changes.gone = std::move(gone_);
  gone_.clear();
  for (auto* life : untold_) {
    if (life->stage == Stage::ordered || life->stage == Stage::stopping) continue;
    common::Instance told;
    told.id = life->id;
    told.service = life->function->name;
    told.address = life->address;
    told.zone = life->zone;
    told.machine = life->machine;
    told.capacity = life->capacity;
    told.condition = life->stage == Stage::starting ? common::Condition::starting
                     : life->stage == Stage::ready  ? common::Condition::ready
                                                    : common::Condition::draining;
    if (life->stage == Stage::starting) told.up_in_ms = life->function->startup_ms;
    if (life->told && told == life->last_told) continue;
    life->told = true;
    life->last_told = told;
    changes.changed.push_back(std::move(told));
  }
  untold_.clear();
  return changes;
}

std::size_t Autoscaler::instances_of(const std::string& service) const {
  const auto at = functions_.find(service);
  if (at == functions_.end()) return 0;
  return static_cast<std::size_t>(std::count_if(at->second->lives.begin(), at->second->lives.end(),
                                                [](const Life* l) { return l->stage < Stage::leaving; }));
}

bool Autoscaler::may_stop(Micros now) const {
  return listed_ && now - began_ > options_.settle && !peers_.empty();
}

bool Autoscaler::counts(const Micros, const Life& life) const {
  return life.stage < Stage::leaving && !life.drains && !machine_ledger_.leaves(life.machine);
}

// What time alone brings about.
void Autoscaler::look_after(Micros now) {
  std::vector<Life*> over;
  for (auto& [number, life] : lives_) {
    auto& f = *life->function;
    switch (life->stage) {
      case Stage::ordered:  // guards against a provider that answers nothing for long
        if (!life->calls && now - life->born > kStartForgone) over.push_back(life.get());
        break;
      case Stage::starting:  // guards against a start that failed without a word
        if (now - life->since > kStartsTooLong * micros(f.trade.startup_s) + bounds_.lag + kLastAgain)
          stage(now, *life, Stage::stopping);
        break;
      case Stage::ready:
        // It serves drain-ms longer than the list shows: some of it is used until its replacement is up.
        if (life->drains) {
          const bool replaced = std::any_of(f.lives.begin(), f.lives.end(), [&](const Life* l) {
            return l->stage == Stage::ready && !l->drains;
          });
          const bool in_time =
              now - life->drains_since < micros(options_.linger * static_cast<double>(bounds_.drain) / 1e6);
          const bool coming = std::any_of(f.lives.begin(), f.lives.end(),
                                          [&](const Life* l) { return l->stage < Stage::ready; });
          if (replaced || !in_time || (!coming && f.gauge.idle(now))) stage(now, *life, Stage::leaving);
        } else if (!f.planned && f.unplanned_at > 0 && now - f.unplanned_at > options_.old_grace && plan_ &&
                   may_stop(now)) {
          stage(now, *life, Stage::leaving);
        }
        break;
      case Stage::leaving: {
        if (life->drains) break;  // the provider ends it, the list shows when
        const auto quiet =
            std::clamp(micros(2 * f.gauge.longest_s()), options_.quiet_least, options_.quiet_most);
        const auto gone_by = now - life->since;
        if (gone_by >= quiet || (gone_by >= options_.quiet_least && f.gauge.idle(now)))
          stage(now, *life, Stage::stopping);
        break;
      }
      case Stage::stopping:
        break;
    }
  }
  for (auto* life : over) drop(*life);
  std::erase_if(buried_, [&](const auto& b) { return now - b.second.at > kBuriedKept && !b.second.to_stop; });
}

// --- the wanted state ---

void Autoscaler::weigh(Micros now, Function& f, std::vector<Wish>& wishes) {
  f.dirty = false;
  if (!f.planned) return;
  std::uint32_t ready = 0, starting = 0, lingering = 0;
  double up_in_s = f.trade.startup_s;
  for (const auto* life : f.lives) {
    if (life->stage == Stage::ready && !counts(now, *life)) ++lingering;
    if (!counts(now, *life)) continue;
    if (life->stage == Stage::ready) {
      ++ready;
    } else {
      ++starting;
      const double left = f.trade.startup_s - static_cast<double>(now - life->born) / 1e6;
      // One that is overdue isn't up at once: starts that take long take longer still.
      up_in_s = std::min(up_in_s, std::max(kOverdue * f.trade.startup_s, left));
    }
  }
  const auto have = ready + starting;
  auto reading = f.gauge.read(now, std::max(began_, f.planned_at), guess_s(f));
  if (ready == 0 || starting > 0) reading.pressed = 0;  // they wait for a start: that comes
  const double gb = f.trade.memory_gb;
  const double cold = cost_of_cold(options_.prices, f.trade, reading);
  const bool used = f.gauge.last_use() > 0;
  // Who came often has gone when it doesn't come for several times its usual gap.
  const double idle_s = static_cast<double>(now - f.gauge.last_use()) / 1e6;
  const bool often = used && reading.long_rate * cold > gb && reading.long_rate * idle_s < kGaps;
  const auto keep = [&](std::size_t level) {
    const bool rare = level == 0 && now - f.planned_at > options_.keep_most / 3 &&
                      reading.long_rate * cold < options_.rare * gb;
    const double worth_s = options_.keep * (level == 0 ? cold : options_.prices.start) / gb;
    return rare ? options_.keep_least : std::clamp(micros(worth_s), options_.keep_least, options_.keep_most);
  };

  std::uint32_t want = worth_keeping(options_.prices, f.trade, reading, options_.margin);
  // One instance follows use itself, not rates: demand of one request now and then is not worth it by rate.
  const bool lately = used && now - f.gauge.last_use() < keep(0) / 2;
  if (want <= 1) want = reading.held + reading.busy > 0 || often ? 1 : 0;
  const bool ahead = f.routed && !used && share_late_cold(f.trade, guess_s(f)) > kNoTimeForStart &&
                     (traffic_at_ == 0 || now - std::max(traffic_at_, f.planned_at) < options_.prewarm);
  if (ahead) want = std::max(want, 1u);

  const auto extra = worth_starting(options_.prices, f.trade, reading, ready + lingering, starting, up_in_s);
  const auto reactive = extra > 0 ? have + extra : 0;
  // Replacing what leaves: as long as one would be kept.
  if (lingering > 0 && have == 0 && lately) want = std::max(want, 1u);

  const auto mark = std::max(want, reading.held > 0 ? std::max(have, reactive) : 0);
  if (f.wanted_at.size() < mark) f.wanted_at.resize(mark, now);
  for (std::size_t k = 0; k < std::max<std::size_t>(want, reactive); ++k) f.wanted_at[k] = now;
  if (used && !f.wanted_at.empty()) f.wanted_at[0] = std::max(f.wanted_at[0], f.gauge.last_use());
  if (f.wanted_at.size() < have) f.wanted_at.resize(have, now);

  const auto goal = std::max(want, reactive);
  if (goal > have) {
    auto missing = goal - have;
    // Who was to leave and isn't ended yet comes back: nothing is cheaper.
    for (auto at = f.lives.rbegin(); at != f.lives.rend() && missing > 0; ++at) {
      auto& life = **at;
      if (life.stage != Stage::leaving || life.drains || machine_ledger_.leaves(life.machine)) continue;
      stage(now, life, Stage::ready);
      f.dirty = false;
      --missing;
    }
    if (missing == 0 || now < f.no_start_before) return;
    const int urgency = reading.held > 0 ? (have + lingering == 0 ? 0 : 1) : (ahead && goal == 1 ? 3 : 2);
    wishes.push_back({urgency, &f, missing});
    return;
  }
  if (have <= want || !may_stop(now)) return;
  const auto top = have - 1;
  if (now - f.wanted_at[top] > keep(top)) let_go(now, f, have);
}

Autoscaler::Life* Autoscaler::to_end(Micros now, Function& f) {
  Life* worst = nullptr;
  const auto demerit = [&](const Life& life) {  // out of the home's zone, beside its kin, the newest
    const auto kin = std::count_if(f.lives.begin(), f.lives.end(),
                                   [&](const Life* l) { return l->machine == life.machine; });
    return std::tuple{machine_ledger_.zone_of(life.machine) != f.home_zone, kin, life.born};
  };
  for (auto* life : f.lives) {
    if (life->stage != Stage::ready || !counts(now, *life)) continue;
    if (!worst || demerit(*life) > demerit(*worst)) worst = life;
  }
  return worst;
}

void Autoscaler::let_go(Micros now, Function& f, std::uint32_t have) {
  auto* life = to_end(now, f);
  if (!life) return;  // what is still starting has been paid for
  if (f.wanted_at.size() >= have) f.wanted_at.resize(have - 1);
  stage(now, *life, Stage::leaving);
  f.dirty = false;
}

// --- closing the gap ---

bool Autoscaler::start(Micros now, Function& f) {
  std::vector<std::string> beside;
  for (const auto* life : f.lives) beside.push_back(life->machine);
  const auto machine = machine_ledger_.place(now, f.home_zone, f.memory_mb, beside);
  if (!machine) return false;
  auto& life = add(now, f);
  life.machine = *machine;
  life.zone = machine_ledger_.zone_of(*machine);
  // No other start has this one: term and number are this holder's, the draw guards against a term told
  // twice.
  life.nonce = "t" + hex(term_) + "-" + hex(life.ticket) + "-" + hex(random_());
  life.held_room = true;
  machine_ledger_.take(now, life.machine, life.memory_mb, true);
  f.dirty = false;
  return true;
}

// Where nothing fits and requests wait, an idle instance that is only kept for later goes first.
bool Autoscaler::make_room(Micros now, std::uint32_t memory_mb) {
  std::int64_t coming = 0;
  for (const auto& [number, life] : lives_)
    if (life->stage == Stage::leaving || life->stage == Stage::stopping) coming += life->memory_mb;
  if (coming >= memory_mb) return true;
  Life* best = nullptr;
  for (const auto& [number, life] : lives_) {
    const auto& f = *life->function;
    if (life->stage != Stage::ready || life->drains || life->memory_mb < memory_mb) continue;
    if (!f.gauge.idle(now) || now - f.gauge.last_use() < options_.keep_least / 2) continue;
    if (!best || f.gauge.last_use() < best->function->gauge.last_use()) best = life.get();
  }
  if (!best) return false;
  stage(now, *best, Stage::leaving);
  return true;
}

void Autoscaler::grant(Micros now, std::vector<Wish>& wishes) {
  std::stable_sort(wishes.begin(), wishes.end(),
                   [](const Wish& a, const Wish& b) { return a.urgency < b.urgency; });
  for (auto& wish : wishes) {
    for (; wish.count > 0; --wish.count) {
      if (start(now, *wish.function)) continue;
      wish.function->dirty = true;  // tried again at the next look
      if (wish.urgency <= 1 && may_stop(now)) make_room(now, wish.function->memory_mb);
      break;
    }
  }
}

void Autoscaler::call(Micros now, std::vector<Order>& orders) {
  const double per_s = std::max(1.0, options_.share_of_duty * bounds_.duty_per_s);
  tokens_ = std::min(std::max(1.0, per_s / 4), tokens_ + static_cast<double>(now - tokens_at_) / 1e6 * per_s);
  tokens_at_ = now;
  const auto may = [&] { return tokens_ >= 1 && out_ < options_.calls_at_once; };
  const auto spend = [&] { tokens_ -= 1, ++out_; };
  for (const auto wanted : {Stage::ordered, Stage::stopping}) {
    for (auto& [number, life] : lives_) {
      if (!may()) return;
      if (life->stage != wanted || life->calls || life->call_at > now) continue;
      spend();
      life->calls = true;
      ++life->tries;
      if (wanted == Stage::ordered)
        orders.push_back({life->ticket, true, life->function->name, life->machine, life->nonce, {}});
      else orders.push_back({life->ticket, false, {}, {}, {}, life->id});
    }
  }
  for (auto& [id, dead] : buried_) {
    if (!may()) return;
    if (!dead.to_stop || dead.calls) continue;
    spend();
    dead.calls = true;
    burials_[++numbers_] = id;
    orders.push_back({numbers_, false, {}, {}, {}, id});
  }
}

std::vector<Order> Autoscaler::work(Micros now) {
  std::vector<Order> orders;
  if (term_ == 0) return orders;
  const bool look = now - looked_at_ >= kLook;
  if (look) {
    looked_at_ = now;
    look_after(now);
  }
  // Nothing is started blindly: an earlier holder's instances must have shown first.
  if (listed_ && machine_ledger_.known()) {
    std::vector<Wish> wishes;
    for (auto& [name, f] : functions_)
      if (look || f->dirty) weigh(now, *f, wishes);
    grant(now, wishes);
  }
  call(now, orders);
  return orders;
}

}  // namespace woadridge::autoscaler
