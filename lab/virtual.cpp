#include "lab/virtual.h"

#include <algorithm>
#include <barrier>
#include <queue>
#include <thread>
#include <unordered_map>

#include "lab/clients.h"
#include "settings.h"

namespace woadridge::lab {
namespace {

constexpr Micros kBegin = 1'000'000'000;  // the clock at the start: "long ago" must lie before it
constexpr Micros kSampleEvery = 1'000'000;
constexpr Micros kAfterwards = 30'000'000;  // the most that is waited for the last answers
constexpr Micros kTricklePause = 40'000;    // what an answer byte by byte takes longer
constexpr Micros kEndingAhead = 2'000'000;  // a planned restart: from its word to the kill

struct ToFleet {
  enum class What { offer, close, ask_list, forget_watch };
  Micros at = 0;
  DispatcherId from = 0;
  std::uint64_t order = 0;
  What what = What::offer;
  WorkerIndex worker = 0;
  Offer offer;
};
struct ToSite {
  Micros at = 0;
  std::uint64_t order = 0;
  DispatcherId to = 0;
  std::variant<Note, ListNews> body;
};
struct Later {  // two messages at the same instant: by sender, then as they were sent
  bool operator()(const ToFleet& a, const ToFleet& b) const {
    return std::tie(a.at, a.from, a.order) > std::tie(b.at, b.from, b.order);
  }
  bool operator()(const ToSite& a, const ToSite& b) const {
    return std::tie(a.at, a.order) > std::tie(b.at, b.order);
  }
};

struct World {  // what never changes during a run
  const Scenario& scenario;
  Policy policy;
  const RunOptions& options;
  const std::vector<WorkerFacts>* workers = nullptr;
  std::unordered_map<WorkerId, WorkerIndex> names;
  ListNews first_list;
  const Truth* truth = nullptr;
  std::vector<std::vector<DispatcherId>> struck;

  // One way. Fixed for an attempt, so that its messages keep their order.
  Micros delay(DispatcherId d, WorkerIndex w, const AttemptRef& ref) const {
    const bool near = (*workers)[w].zone == zone_of(scenario, d);
    const Micros base = near ? scenario.network.near : scenario.network.far;
    std::uint64_t h = (ref.request * 31 + static_cast<std::uint64_t>(ref.attempt)) * 0x9e3779b97f4a7c15ULL;
    h ^= h >> 32;
    return base + static_cast<Micros>(static_cast<double>(base) * scenario.network.jitter *
                                      static_cast<double>(h & 0xffff) / 65536.0);
  }
  Micros lookahead() const {
    return std::max<Micros>(1, std::min(scenario.network.near, scenario.network.far));
  }
};

// One dispatcher and the clients beside it.
class Site : public ClientsOut {
 public:
  Site(const World& world, DispatcherId id) : world_(world), id_(id) {
    const bool all = is_central(world.policy);
    const auto from = all ? 0u : id;
    const auto to = all ? static_cast<DispatcherId>(world.scenario.dispatchers) : id + 1;
    for (DispatcherId d = from; d < to; ++d)
      clients_.push_back(std::make_unique<Clients>(world.scenario, d, kBegin, *this));
    first_client_ = from;
    book_ = ToldBook(world.workers->size());
    idle_.resize(world.workers->size(), 0);
    set(kBegin, What::start);
    plan_troubles();
  }

  Micros next() const {
    Micros at = locals_.empty() ? INT64_MAX : locals_.top().at;
    if (!inbox_.empty()) at = std::min(at, inbox_.top().at);
    for (const auto& c : clients_) at = std::min(at, c->next());
    return at;
  }

  void receive(ToSite message) { inbox_.push(std::move(message)); }

  // All that happens before `end`. At one instant: what the network brings, own timers and answers, the
  // clients.
  void run(Micros end) {
    while (true) {
      const Micros at = next();
      if (at >= end) return;
      now_ = at;
      if (!inbox_.empty() && inbox_.top().at == at) {
        const ToSite message = inbox_.top();
        inbox_.pop();
        std::visit([this](const auto& body) { on(body); }, message.body);
      } else if (!locals_.empty() && locals_.top().at == at) {
        const Local local = locals_.top();
        locals_.pop();
        carry_out(local);
      } else {
        for (auto& c : clients_) c->advance(at);
      }
    }
  }

  bool over() const {
    if (!requests_.empty()) return false;
    return std::all_of(clients_.begin(), clients_.end(), [](auto& c) { return c->idle(); });
  }

  std::vector<ToFleet>& outbox() { return outbox_; }
  void collect(RunResult& into) {
    for (auto& c : clients_)
      into.records.asks.insert(into.records.asks.end(), c->asks().begin(), c->asks().end());
    into.records.told.insert(into.records.told.end(), told_.begin(), told_.end());
    into.events += events_;
    into.decisions += decisions_;
  }

 private:
  enum class What {
    start,
    stop,
    ending,
    arrive,
    answer,
    unreachable,
    broken,
    left,
    timer,
    attempt_out,
    connect_out
  };
  struct Local {
    Micros at = 0;
    std::uint64_t order = 0;
    What what = What::start;
    RequestId request = 0;
    std::uint64_t number = 0;  // timer token, attempt, or index of what arrives
    std::uint64_t life = 0;    // of the process; void in another one
    char kind = 0;
    Micros hold_off = 0;
    bool operator>(const Local& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct Attempt {
    WorkerIndex worker = 0;
    bool out = true;
    bool up = false;  // its connection is
  };
  struct Open {
    Micros deadline = 0;
    bool answered = false;
    int out = 0;
    std::vector<Attempt> attempts;
    int class_index = 0;
    double work = 0;
    std::uint64_t key = 0;
  };

  void plan_troubles() {
    for (std::size_t i = 0; i < world_.struck.size(); ++i) {
      const Trouble& t = world_.scenario.troubles[i];
      if (t.kind == TroubleKind::reload_dispatcher) continue;  // nothing to read again here
      if (std::find(world_.struck[i].begin(), world_.struck[i].end(), id_) == world_.struck[i].end())
        continue;
      const bool planned = t.kind == TroubleKind::restart_dispatcher;
      if (planned) set(kBegin + t.at, What::ending);
      const Micros killed = kBegin + t.at + (planned ? kEndingAhead : 0);
      set(killed, What::stop);
      set(killed + std::max<Micros>(1, t.span), What::start);
    }
  }

  void set(Micros at, What what, RequestId request = 0, std::uint64_t number = 0) {
    Local l;
    l.at = at;
    l.order = ++orders_;
    l.what = what;
    l.request = request;
    l.number = number;
    l.life = life_;
    locals_.push(l);
  }

  Clients& clients_of(RequestId request) {
    return *clients_[Clients::dispatcher_of(request) - first_client_];
  }

  // ---- from the clients ----
  void ask(const Wish& wish) override {
    set(now_ + world_.scenario.network.local, What::arrive, wish.request);
  }
  void leave(RequestId request) override { set(now_ + world_.scenario.network.local, What::left, request); }

  void carry_out(const Local& l) {
    const bool same_life = l.life == life_;
    switch (l.what) {
      case What::start:
        return start();
      case What::stop:
        return stop();
      case What::ending:
        ending_at_ = now_ + kEndingAhead - 200'000;  // answers are out before the kill
        give(Ending{ending_at_});
        set(ending_at_, What::timer, 0, kEnd);
        return;
      case What::arrive:
        return arrive(l.request);
      case What::answer:
        return clients_of(l.request).answered(now_, l.request, l.kind, l.hold_off, true);
      case What::unreachable:
        return clients_of(l.request).unreachable(now_, l.request);
      case What::broken:
        return clients_of(l.request).broken(now_, l.request, true);
      case What::left: {
        const auto found = requests_.find(l.request);
        if (!same_life || found == requests_.end() || found->second.answered) return;
        found->second.answered = true;  // nobody is there to be answered
        give(ClientLeft{l.request});
        return forget(l.request);
      }
      case What::timer:
        if (!same_life || !alive_) return;
        if (l.number == kEnd && ending_at_ > 0) return give(Ending{ending_at_});
        return give(TimerFired{l.number});
      case What::attempt_out:
        if (same_life) end_attempt(l.request, static_cast<int>(l.number), Result::timed_out, true);
        return;
      case What::connect_out:
        if (same_life) connect_out(l.request, static_cast<int>(l.number));
        return;
    }
  }

  void start() {
    alive_ = true;
    ++life_;
    ending_at_ = 0;
    decider_ = make_decider(world_.policy, world_.truth);
    std::fill(idle_.begin(), idle_.end(), 0);
    give(Start{settings_for(world_.scenario, zone_of(world_.scenario, id_),
                            hash_of("dispatcher", world_.scenario.seed + id_ * 7919 + life_))});
    book_.forget();
    give(WorkerList{ListKind::remembered, known_.empty() ? *world_.first_list.entries : known_list()});
  }

  std::vector<WorkerInfo> known_list() const {
    std::vector<WorkerInfo> list;
    for (const auto& [id, info] : known_) list.push_back(info);
    return list;
  }

  void stop() {
    if (!alive_) return;
    give(Stop{});
    alive_ = false;
    ++life_;
    for (auto& [id, open] : requests_) {
      for (std::size_t i = 0; i < open.attempts.size(); ++i)
        if (open.attempts[i].out) close(id, static_cast<int>(i), open.attempts[i].worker);
      if (!open.answered) set(now_ + world_.scenario.network.local, What::broken, id);
    }
    requests_.clear();
    post(ToFleet::What::forget_watch, now_ + world_.lookahead());
  }

  void arrive(RequestId request) {
    const Wish& wish = *clients_of(request).wish_of(request);
    if (!alive_ || ending_at_ > 0) {
      set(now_ + world_.scenario.network.local, What::unreachable, request);
      return;
    }
    clients_of(request).taken(request);
    Open& open = requests_[request];
    const Micros time_left = time_to_answer(wish.time_left, world_.scenario.network.local);
    open.deadline = now_ + time_left;
    open.class_index = wish.class_index;
    open.work = wish.work;
    open.key = wish.key;
    Arrival a;
    a.id = request;
    a.class_name = world_.scenario.classes[static_cast<std::size_t>(wish.class_index)].rules.name;
    a.tenant = world_.scenario.tenants[static_cast<std::size_t>(wish.tenant_index)].name;
    a.time_left = time_left;
    a.hint = wish.hint;
    a.repeated = wish.repeated;
    give(a);
  }

  // ---- the decider ----
  void give(const Event& event) {
    if (!alive_) return;
    given_.push_back(event);
    if (std::exchange(giving_, true)) return;
    while (!given_.empty()) {
      const Event next = std::move(given_.front());
      given_.pop_front();
      std::vector<Action> actions;
      decider_->handle(now_, next, actions);
      if (world_.options.tamper) world_.options.tamper(now_, id_, next, actions);
      ++events_;
      for (const auto& action : actions) std::visit([this](const auto& a) { act(a); }, action);
    }
    giving_ = false;
  }

  void act(const Send& s) {
    ++decisions_;
    const auto found = requests_.find(s.id);
    if (found == requests_.end()) return;
    Open& open = found->second;
    const auto number = static_cast<int>(open.attempts.size());
    const WorkerIndex worker = world_.names.at(s.worker);
    open.attempts.push_back({worker});
    ++open.out;
    const Micros until = s.timeout > 0 ? std::min(open.deadline, now_ + s.timeout) : open.deadline;
    if (open.answered || number >= world_.scenario.limits.max_attempts || until <= now_)
      return end_attempt(s.id, number, Result::never_sent, false);
    Offer offer;
    offer.ref = {id_, s.id, number};
    offer.key = open.key;
    offer.class_index = open.class_index;
    offer.work = open.work;
    offer.fresh = idle_[worker] == 0;
    const Micros way = world_.delay(id_, worker, offer.ref);
    Micros first_byte = now_;
    if (offer.fresh) {
      first_byte += 2 * way;  // the handshake
      set(now_ + world_.scenario.network.connect_timeout, What::connect_out, s.id,
          static_cast<std::uint64_t>(number));
    } else {
      --idle_[worker];
    }
    offer.first_byte = first_byte;
    post(ToFleet::What::offer, first_byte + way, worker, offer);
    set(until, What::attempt_out, s.id, static_cast<std::uint64_t>(number));
  }
  void act(const Refuse& r) { final_answer(r.id, 'r', r.hold_off); }
  void act(const Fail& f) { final_answer(f.id, 'f', 0); }
  void act(const Cancel& c) { end_attempt(c.id, c.attempt, Result::cancelled, true); }
  void act(const Probe&) {}  // the module asks for none
  void act(const Tell&) {}   // the lab allows no messages between dispatchers
  void act(const Subscribe&) { post(ToFleet::What::ask_list, now_ + world_.lookahead()); }
  void act(const SetTimer& t) { set(std::max(t.at, now_), What::timer, 0, t.token); }
  void act(const Remark&) {}

  void final_answer(RequestId id, char kind, Micros hold_off) {
    ++decisions_;
    const auto found = requests_.find(id);
    if (found != requests_.end() && !found->second.answered) found->second.answered = true;
    else if (!world_.options.tamper) return;  // a planted second answer goes out
    answer(id, kind, hold_off);
    forget(id);
  }

  void answer(RequestId id, char kind, Micros hold_off) {
    Local l;
    l.at = now_ + world_.scenario.network.local;
    l.order = ++orders_;
    l.what = What::answer;
    l.request = id;
    l.kind = kind;
    l.hold_off = hold_off;
    locals_.push(l);
  }

  void forget(RequestId id) {
    const auto found = requests_.find(id);
    if (found != requests_.end() && found->second.answered && found->second.out == 0) requests_.erase(found);
  }

  // ---- from the fleet ----
  void on(const Note& note) {
    const RequestId id = note.ref.request;
    const auto found = requests_.find(id);
    if (note.said == Said::broken || note.said == Said::refused) idle_[note.worker] = 0;
    if (!alive_ || found == requests_.end()) return;
    Attempt& a = found->second.attempts.at(static_cast<std::size_t>(note.ref.attempt));
    if (!a.out) return;
    a.up = true;
    switch (note.said) {
      case Said::connected:
        return;
      case Said::taken:
        return give(Taken{id, note.ref.attempt});
      case Said::started:
        return give(Started{id, note.ref.attempt});
      case Said::progress:
        return give(Progress{id, note.ref.attempt, note.share});
      case Said::done:
        return end_attempt(id, note.ref.attempt, Result::ok, false, note.free_slots);
      case Said::failed:
        return end_attempt(id, note.ref.attempt, Result::error, false, note.free_slots);
      case Said::returned:
        return end_attempt(id, note.ref.attempt, Result::full, false, note.free_slots);
      case Said::lost:
      case Said::broken:
        return end_attempt(id, note.ref.attempt, Result::broken, false);
      case Said::refused:
        return end_attempt(id, note.ref.attempt, Result::no_connection, false);
    }
  }

  void on(const ListNews& news) {
    if (!alive_) return;
    if (news.kind == ListKind::failed) return give(WorkerList{ListKind::failed, {}});
    book_.learn(id_, news, now_, told_);
    if (news.kind == ListKind::full) known_.clear();
    for (const auto& info : *news.entries) {
      if (info.phase == Phase::gone) known_.erase(info.id);
      else known_[info.id] = info;
    }
    give(WorkerList{news.kind, *news.entries});
  }

  // ---- attempts ----
  void connect_out(RequestId id, int attempt) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    const Attempt& a = found->second.attempts.at(static_cast<std::size_t>(attempt));
    if (a.out && !a.up) end_attempt(id, attempt, Result::no_connection, true);
  }

  void end_attempt(RequestId id, int attempt, Result result, bool shut, int free_slots = -1) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    Open& open = found->second;
    if (attempt < 0 || attempt >= static_cast<int>(open.attempts.size())) return;
    Attempt& a = open.attempts[static_cast<std::size_t>(attempt)];
    if (!std::exchange(a.out, false)) return;
    --open.out;
    if (shut) close(id, attempt, a.worker);
    else if (result == Result::ok || result == Result::error || result == Result::full) ++idle_[a.worker];
    if (result == Result::ok && !open.answered) {
      open.answered = true;
      answer(id, 's', 0);
    }
    Outcome o;
    o.id = id;
    o.attempt = attempt;
    o.worker = (*world_.workers)[a.worker].name;
    o.result = result;
    o.finished = open.answered;
    if (free_slots >= 0) o.report.free_slots = free_slots;
    give(o);
    forget(id);
  }

  void close(RequestId id, int attempt, WorkerIndex worker) {
    Offer offer;
    offer.ref = {id_, id, attempt};
    // Twice the way: behind the request itself, even where it waited for a handshake.
    post(ToFleet::What::close, now_ + 3 * world_.delay(id_, worker, offer.ref), worker, offer);
  }

  void post(ToFleet::What what, Micros at, WorkerIndex worker = 0, const Offer& offer = {}) {
    outbox_.push_back({at, id_, ++sent_, what, worker, offer});
  }

  static constexpr std::uint64_t kEnd = ~std::uint64_t{0} - 1;

  const World& world_;
  DispatcherId id_;
  DispatcherId first_client_ = 0;
  std::vector<std::unique_ptr<Clients>> clients_;
  std::unique_ptr<Decider> decider_;
  bool alive_ = false;
  std::uint64_t life_ = 0;
  Micros ending_at_ = 0;
  Micros now_ = kBegin;
  std::priority_queue<Local, std::vector<Local>, std::greater<>> locals_;
  std::uint64_t orders_ = 0;
  std::uint64_t sent_ = 0;
  std::priority_queue<ToSite, std::vector<ToSite>, Later> inbox_;
  std::vector<ToFleet> outbox_;
  std::map<RequestId, Open> requests_;
  std::deque<Event> given_;
  bool giving_ = false;
  std::vector<int> idle_;  // kept connections, by worker
  ToldBook book_;
  std::map<WorkerId, WorkerInfo> known_;
  std::vector<Told> told_;
  std::uint64_t events_ = 0;
  std::uint64_t decisions_ = 0;
};

// The fleet with its mail.
class Yard : public FleetOut, public Truth {
 public:
  Yard(const Scenario& scenario, const World& world, std::size_t shards)
      : world_(world), outbox_(shards), fleet_(scenario, kBegin, *this) {}

  Micros next() const {
    Micros at = std::min(fleet_.next(), sample_at_);
    if (!inbox_.empty()) at = std::min(at, inbox_.top().at);
    return at;
  }
  void receive(const ToFleet& message) { inbox_.push(message); }
  void run(Micros end) {
    while (true) {
      const Micros at = next();
      if (at >= end) return;
      now_ = at;
      if (!inbox_.empty() && inbox_.top().at == at) {
        const ToFleet m = inbox_.top();
        inbox_.pop();
        take(m);
      } else if (fleet_.next() == at) {
        fleet_.advance(at);
      } else {
        sample();
      }
    }
  }
  Fleet& fleet() { return fleet_; }
  std::vector<std::vector<ToSite>>& outbox() { return outbox_; }
  std::vector<Sample>& samples() { return samples_; }

  int free_slots(const WorkerId& id) const override { return fleet_.free_slots(world_.names.at(id)); }
  double speed(const WorkerId& id) const override { return fleet_.speed_now(now_, world_.names.at(id)); }

 private:
  void take(const ToFleet& m) {
    switch (m.what) {
      case ToFleet::What::offer:
        return fleet_.offer(now_, m.worker, m.offer);
      case ToFleet::What::close:
        return fleet_.close(now_, m.worker, m.offer.ref);
      case ToFleet::What::ask_list:
        return fleet_.ask_list(now_, m.from);
      case ToFleet::What::forget_watch:
        return fleet_.forget_watch(m.from);
    }
  }

  void sample() {
    sample_at_ += kSampleEvery;
    if (now_ >= kBegin + world_.scenario.length) {
      sample_at_ = INT64_MAX;
      return;
    }
    Sample s;
    for (WorkerIndex w = 0; w < fleet_.facts().size(); ++w) {
      s.jobs.push_back(static_cast<std::int16_t>(std::min(fleet_.jobs_at(w), 32'000)));
      s.doing.push_back(fleet_.doing(now_, w));
    }
    samples_.push_back(std::move(s));
  }

  void note(const Note& note) override {
    Micros way = world_.delay(note.ref.dispatcher, note.worker, note.ref);
    if (note.trickled) way += kTricklePause;
    post(note.ref.dispatcher, now_ + way, note);
  }
  void news(DispatcherId to, const ListNews& news, Micros after) override {
    if (is_central(world_.policy) && to != 0) return;
    post(to, now_ + std::max(after, world_.lookahead()), news);
  }
  void post(DispatcherId to, Micros at, std::variant<Note, ListNews> body) {
    outbox_[to % outbox_.size()].push_back({at, ++sent_, to, std::move(body)});
  }

  const World& world_;
  std::vector<std::vector<ToSite>> outbox_;
  std::uint64_t sent_ = 0;
  Micros now_ = kBegin;
  Micros sample_at_ = kBegin;
  std::priority_queue<ToFleet, std::vector<ToFleet>, Later> inbox_;
  std::vector<Sample> samples_;
  Fleet fleet_;
};

// Some of the sites, run by one thread. A site is looked at only in windows in which something happens to it.
class Shard {
 public:
  void add(std::unique_ptr<Site> site) {
    scheduled_.push_back(INT64_MAX);
    sites_.push_back(std::move(site));
    schedule(sites_.size() - 1);
  }
  Micros next() const { return due_.empty() ? INT64_MAX : due_.top().first; }
  void run(Micros end) {
    while (!due_.empty() && due_.top().first < end) {
      const auto [at, index] = due_.top();
      due_.pop();
      if (scheduled_[index] != at) continue;
      scheduled_[index] = INT64_MAX;
      Site& site = *sites_[index];
      site.run(end);
      for (auto& m : site.outbox()) to_fleet.push_back(m);
      site.outbox().clear();
      schedule(index);
    }
  }
  void receive(std::vector<ToSite>& mail, std::size_t shards) {
    for (auto& m : mail) {
      const std::size_t index = m.to / shards;
      sites_[index]->receive(std::move(m));
      schedule(index);
    }
    mail.clear();
  }
  bool over() const {
    return std::all_of(sites_.begin(), sites_.end(), [](auto& s) { return s->over(); });
  }
  std::vector<std::unique_ptr<Site>>& sites() { return sites_; }
  std::vector<ToFleet> to_fleet;

 private:
  void schedule(std::size_t index) {
    const Micros at = sites_[index]->next();
    if (at >= scheduled_[index]) return;
    scheduled_[index] = at;
    due_.emplace(at, index);
  }
  std::vector<std::unique_ptr<Site>> sites_;
  std::vector<Micros> scheduled_;
  std::priority_queue<std::pair<Micros, std::size_t>, std::vector<std::pair<Micros, std::size_t>>,
                      std::greater<>>
      due_;
};

// Time goes on in windows no longer than the fastest message: what is sent in one arrives after it, so that
// all shards may work through a window at the same time.
class Play {
 public:
  Play(const Scenario& scenario, Policy policy, const RunOptions& options)
      : scenario_(scenario),
        options_(options),
        world_{scenario, policy, options, nullptr, {}, {}, nullptr, struck_dispatchers(scenario)},
        shards_(static_cast<std::size_t>(
            is_central(policy) ? 1 : std::clamp(options.jobs, 1, std::max(1, scenario.dispatchers)))),
        yard_(scenario, world_, shards_.size()) {
    world_.workers = &yard_.fleet().facts();
    for (WorkerIndex w = 0; w < world_.workers->size(); ++w) world_.names[(*world_.workers)[w].name] = w;
    world_.first_list = yard_.fleet().whole_list();
    world_.truth = &yard_;
    const int sites = is_central(policy) ? 1 : scenario.dispatchers;
    for (int d = 0; d < sites; ++d)
      shards_[static_cast<std::size_t>(d) % shards_.size()].add(
          std::make_unique<Site>(world_, static_cast<DispatcherId>(d)));
  }

  RunResult play() {
    plan_window();
    if (shards_.size() == 1) {
      while (!done_) {
        work(0);
        exchange(0);
        plan_window();
      }
    } else {
      std::barrier worked(static_cast<std::ptrdiff_t>(shards_.size()));
      std::barrier planned(static_cast<std::ptrdiff_t>(shards_.size()), [this]() noexcept { plan_window(); });
      std::vector<std::jthread> threads;
      for (std::size_t s = 0; s < shards_.size(); ++s)
        threads.emplace_back([&, s] {
          while (!done_) {
            work(s);
            worked.arrive_and_wait();
            exchange(s);
            planned.arrive_and_wait();
          }
        });
    }
    return collect();
  }

 private:
  void work(std::size_t s) {
    if (s == 0) yard_.run(window_end_);
    shards_[s].run(window_end_);
  }

  void exchange(std::size_t s) {
    if (s == 0)
      for (auto& shard : shards_) {
        for (const auto& m : shard.to_fleet) yard_.receive(m);
        shard.to_fleet.clear();
      }
    shards_[s].receive(yard_.outbox()[s], shards_.size());
  }

  void plan_window() {
    Micros start = yard_.next();
    for (const auto& shard : shards_) start = std::min(start, shard.next());
    const Micros length_end = kBegin + scenario_.length;
    if (start == INT64_MAX || start > length_end + kAfterwards) done_ = true;
    if (!done_ && start > length_end && start >= check_at_) {
      check_at_ = start + 10'000;
      done_ |= std::all_of(shards_.begin(), shards_.end(), [](auto& s) { return s.over(); });
    }
    if (options_.stop != nullptr && *options_.stop) done_ = partial_ = true;
    if (options_.progress && !done_ && start >= report_at_) {
      report_at_ = start + 100'000;
      options_.progress(
          std::min(1.0, static_cast<double>(start - kBegin) / static_cast<double>(scenario_.length)));
    }
    window_end_ = start == INT64_MAX ? start : start + world_.lookahead();
  }

  RunResult collect() {
    RunResult result;
    result.records = std::move(yard_.fleet().records());
    const std::size_t sites = is_central(world_.policy) ? 1 : static_cast<std::size_t>(scenario_.dispatchers);
    for (std::size_t d = 0; d < sites; ++d)
      shards_[d % shards_.size()].sites()[d / shards_.size()]->collect(result);
    result.samples = std::move(yard_.samples());
    result.partial = partial_;
    result.records.end = partial_ ? window_end_ : INT64_MAX;
    return result;
  }

  const Scenario& scenario_;
  const RunOptions& options_;
  World world_;
  std::vector<Shard> shards_;
  Yard yard_;
  Micros window_end_ = 0;
  Micros check_at_ = 0;
  Micros report_at_ = 0;
  bool done_ = false;
  bool partial_ = false;
};

}  // namespace

RunResult run_virtual(const Scenario& scenario, Policy policy, const RunOptions& options) {
  return Play(scenario, policy, options).play();
}

}  // namespace woadridge::lab
