#include "net/engine.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/post.hpp>

namespace woadridge::net {
namespace {

constexpr auto kSweepEvery = std::chrono::milliseconds(500);  // idle limits and beats are counted in seconds
constexpr Micros kReportEvery = 20'000'000;                   // one line in the log, three a minute
constexpr Micros kWatchAgain = 500'000;  // where the list is pushed: first wait after a failed watch ...
constexpr Micros kTimerStep = 1'000;     // microseconds; half of the least time that the module counts with
constexpr std::size_t kListSlice = 250;  // entries, each some 3 us in the module: below 2 ms
constexpr int kDoublings = 4;            // ... doubling so often, with jitter
// PROTOCOL.md: a watch's first line holds what has changed. One that is answered and brings none has nothing
// to tell.
constexpr Micros kNothingNewer = 200'000;
constexpr auto kLookForFirstList = std::chrono::milliseconds(20);

const char* name_of(Result result) {  // for the log, in the protocol's words
  switch (result) {
    case Result::ok:
      return "served";
    case Result::error:
      return "error";
    case Result::rejected:
      return "rejected";
    case Result::full:
      return "turned away";
    case Result::timed_out:
      return "timed out";
    case Result::no_connection:
      return "could not connect";
    case Result::broken:
      return "reset";
    case Result::cancelled:
      return "called off";
    case Result::never_sent:
      return "never sent";
  }
  return "unknown";
}

const char* name_of(Phase phase) {
  if (phase == Phase::serving) return "serving";
  return phase == Phase::draining ? "draining" : "gone";
}

const char* name_of(Answer::Kind kind) {
  if (kind == Answer::Kind::served) return "served";
  return kind == Answer::Kind::refused ? "refused" : "failed";
}

}  // namespace

Engine::Engine(Strand strand, const Config& config, int most_worker_connections, BufferSpace& space)
    : strand_(strand),
      config_(config),
      most_worker_connections_(most_worker_connections),
      workers_(strand, clock_, space, *this),
      discovery_(strand, clock_, config.discovery, *this),
      timer_(strand),
      sweeper_(strand),
      first_list_timer_(strand),
      jitter_(static_cast<std::uint_fast32_t>(config.settings.seed | 1)) {
  workers_.configure(config.settings.connect_timeout, config.network.idle_limit, most_worker_connections);
}

void Engine::start() {
  reported_ = begun_ = now();
  show_classes();
  give(Start{module_settings()});
  learn_members(config_.known);
  if (config_.first_list_wait <= 0) act_on_remembered_list();
  if (config_.settings.list_mode == ListMode::pushed) watch();
  await_first_list();
  sweep();
}

// Guards against jobs for workers that left while this dispatcher was away: what discovery had to tell binds
// a process that has just begun as any other. Until its first answer jobs are held.
void Engine::await_first_list() {
  if (stopped_ || in_force_) return;
  const bool too_long = now() - begun_ >= config_.first_list_wait;
  if (too_long || discovery_.has_nothing_newer(kNothingNewer)) return act_on_remembered_list();
  first_list_timer_.expires_after(kLookForFirstList);
  first_list_timer_.async_wait([this](Fault fault) {
    if (!fault) await_first_list();
  });
}

void Engine::act_on_remembered_list() {
  if (std::exchange(in_force_, true)) return;
  spdlog::info("the list that was remembered counts: {} workers", roster_.size());
  do give(WorkerList{ListKind::remembered, roster_.next(kListSlice)});
  while (roster_.waits());
}

Settings Engine::module_settings() const {
  Settings settings = config_.settings;
  settings.tells_taken = true;  // a worker answers 200 when it has taken a job, before it starts
  return settings;
}

// What is out goes on. The weights of the list may mean something else now, so the module hears all of it
// again.
void Engine::change_settings() {
  if (stopped_) return;
  workers_.configure(config_.settings.connect_timeout, config_.network.idle_limit, most_worker_connections_);
  show_classes();
  give(Change{module_settings()});
  roster_.tell_all();
  if (in_force_) hand_on();
  if (config_.settings.list_mode == ListMode::pushed) watch();
}

void Engine::limit_connections(int most) {
  most_worker_connections_ = most;
  workers_.configure(config_.settings.connect_timeout, config_.network.idle_limit, most);
}

void Engine::maintain(const WorkerId& worker, bool out) {
  spdlog::info("worker {} is {}", worker, out ? "taken out" : "put back");
  workers_.drop_idle(worker);
  give(Maintain{worker, out});
}

// ---- events to the module ----

Micros Engine::now() {
  return last_now_ = std::max(last_now_, clock_.now());
}

// One event at a time: what an action brings about at once waits until the actions before it are carried out.
void Engine::give(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(giving_, true)) return;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    handle(next);
  }
  giving_ = false;
  arm();
}

// An exception ends the one event: were it to pass, no event would ever be handed over again.
void Engine::handle(const Event& event) {
  std::vector<Action> actions = std::exchange(actions_, {});
  actions.clear();
  try {
    dispatcher_.handle(now(), event, actions);
    for (const auto& action : actions) std::visit([this](const auto& a) { carry_out(a); }, action);
  } catch (const std::exception& fault) {
    spdlog::error("an event was given up: {}", fault.what());
  }
  actions_ = std::move(actions);
}

const ClassSettings* Engine::class_named(std::string_view name) const {
  const auto& all = config_.settings.classes;
  const auto found = std::find_if(all.begin(), all.end(), [name](const auto& c) { return c.name == name; });
  return found == all.end() ? nullptr : &*found;
}

bool Engine::knows_tenant(std::string_view name) const {
  const auto& all = config_.settings.tenants;
  return all.empty() || std::any_of(all.begin(), all.end(), [name](const auto& t) { return t.name == name; });
}

RequestId Engine::take(const Job& job, std::shared_ptr<Client> client, bool crowded) {
  const RequestId id = ++last_id_;
  Open& open = requests_[id];
  open.name = job.request_id;
  names_.insert(open.name);
  open.client = std::move(client);
  open.job = job;
  open.deadline = now() + job.time_left;
  open.most_attempts = config_.settings.max_attempts;
  open.counts = &metrics_.of_class(job.class_name);
  ++unanswered_;
  ++metrics_.taken;
  Arrival arrival;
  arrival.id = id;
  arrival.class_name = job.class_name;
  arrival.tenant = job.tenant;
  arrival.time_left = job.time_left;
  arrival.hint = job.hint;
  arrival.key = job.key;
  arrival.slots = job.slots;
  arrival.repeated = job.repeated;
  arrival.crowded = crowded;
  spdlog::debug("job {} is {}: class {} hint {} us, {} ms left", id, job.request_id, job.class_name,
                job.hint.value_or(0), job.time_left / 1000);
  give(std::move(arrival));
  return id;
}

void Engine::left(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.client == nullptr) return;
  found->second.client.reset();
  found->second.job = {};
  --unanswered_;
  ++metrics_.left;
  give(ClientLeft{id});
  forget_if_over(id);
}

void Engine::job_written(AttemptKey) {
  ++metrics_.dispatches;
}

void Engine::job_taken(AttemptKey key) {
  spdlog::debug("job {} attempt {} taken", key.id, key.number);
  give(Taken{key.id, key.number});
}

void Engine::job_started(AttemptKey key) {
  spdlog::debug("job {} attempt {} started", key.id, key.number);
  give(Started{key.id, key.number});
}

void Engine::job_progress(AttemptKey key, double done) {
  spdlog::debug("job {} attempt {} done to {}", key.id, key.number, done);
  give(Progress{key.id, key.number, done});
}

void Engine::attempt_ended(AttemptKey key, AttemptEnd end) {
  const Result result = result_of(end);
  if (result == Result::ok) final_answer(key.id, {Answer::Kind::served, std::move(end.result), 0});
  if (result == Result::rejected) final_answer(key.id, {});  // no other worker can use that request either
  end_attempt(key, result);
}

void Engine::end_attempt(AttemptKey key, Result result) {
  const auto found = requests_.find(key.id);
  if (found == requests_.end()) return;
  Open& open = found->second;
  Try& tried = open.tries.at(static_cast<std::size_t>(key.number));
  if (!std::exchange(tried.out, false)) return;
  --open.out;
  Outcome outcome;
  outcome.id = key.id;
  outcome.attempt = key.number;
  outcome.worker = tried.worker;
  outcome.result = result;
  outcome.finished = open.client == nullptr;
  spdlog::debug("job {} attempt {} at {} ended: {}", key.id, key.number, tried.worker, name_of(result));
  give(std::move(outcome));
  forget_if_over(key.id);
}

void Engine::probe_ended(const WorkerId& worker, Micros age, bool ok) {
  give(Probed{worker, age, ok, {}});
  if (sharing_ != nullptr) sharing_->probed(worker, age, ok);
}

// ---- the list ----

void Engine::listed(Members news) {
  if (news.unreadable > 0) {
    spdlog::warn("{} entries of the list of workers can't be read: left as they were", news.unreadable);
    news.whole = false;  // an entry that can't be read is no worker that is gone
  }
  failed_watches_ = 0;
  if (sharing_ != nullptr) sharing_->list_heard(news);
  hear_list(std::move(news));
}

void Engine::hear_list(Members news) {
  if (stopped_) return;
  heard_list_ = in_force_ = true;
  learn_members(news);
  hand_on();
}

Members Engine::whole_list() const {
  Members all;
  all.version = version_;
  all.whole = true;
  all.entries = roster_.present();
  return all;
}

void Engine::watch_list(bool yes) {
  if (yes) watch();
  else discovery_.stop();
}

// Guards against a list of thousands that holds up serving: the module hears of it a slice at a time, drains
// and departures first. A newer list joins what still waits.
void Engine::hand_on() {
  give(WorkerList{ListKind::changes, roster_.next(kListSlice)});
  if (!roster_.waits() || std::exchange(handing_on_, true)) return;
  boost::asio::post(strand_, [this] {
    handing_on_ = false;
    if (!stopped_) hand_on();
  });
}

void Engine::learn_members(const Members& news) {
  version_ = news.version;
  for (const auto& change : roster_.learn(news)) {
    const auto& [info, address] = *change.member;
    if (info.phase == Phase::gone) workers_.forget(info.id);
    else if (change.moved) workers_.locate(info.id, *address);
    if (change.restarted) workers_.drop_idle(info.id);
    if (heard_list_)
      spdlog::debug("worker {} in zone {} kind {} size {}: {} since {}", info.id, info.zone, info.kind,
                    info.size, name_of(info.phase), info.started);
  }
  spdlog::debug("list of workers at version {}: {} known", version_, roster_.size());
}

void Engine::watch() {
  if (stopped_ || discovery_.watching()) return;
  if (sharing_ == nullptr || sharing_->watches_list()) discovery_.watch(version_);
}

// Another discovery counts its versions in its own way: it is asked for the whole list.
void Engine::move_discovery(const Address& address) {
  if (stopped_) return;
  discovery_.move(address);
  version_ = 0;
  failed_watches_ = 0;
  watch();  // once, at once; if that fails the module says when to ask again, as ever
}

void Engine::watch_failed(bool unreachable) {
  if (stopped_) return;
  if (unreachable) act_on_remembered_list();  // what can't be had binds nobody
  if (config_.settings.list_mode == ListMode::asked) return give(WorkerList{ListKind::failed, {}});
  const Micros wait = kWatchAgain << std::min(failed_watches_++, kDoublings);
  const Micros more = static_cast<Micros>(jitter_()) % wait;
  set_due({now() + wait + more, 0, false, 0, {}});  // token 0 is never the module's
  arm();
}

// ---- actions of the module ----

void Engine::carry_out(const Send& action) {
  const auto found = requests_.find(action.id);
  if (found == requests_.end()) return;
  Open& open = found->second;
  const AttemptKey key{action.id, static_cast<int>(open.tries.size())};
  open.tries.push_back({action.worker});
  ++open.out;
  const Micros left = open.deadline - now();
  const bool allowed = open.client != nullptr && left > 0 && key.number < open.most_attempts;
  if (!allowed) return end_attempt(key, Result::never_sent);
  spdlog::debug("job {} attempt {} to {}", key.id, key.number, action.worker);
  const Micros timeout = action.timeout > 0 ? std::min(action.timeout, left) : left;
  set_due({now() + timeout, 0, true, 0, key});
  WorkerRequest request;
  request.method = open.job.method;
  request.target = open.job.target;
  request.request_id = open.job.request_id;
  request.idempotency_key = open.job.idempotency_key;
  request.body = open.job.body;
  request.timeout_ms = std::max<Micros>(1, timeout / 1000);
  request.held = open.job.held;
  workers_.send(key, action.worker, request);
}

void Engine::carry_out(const Refuse& action) {
  final_answer(action.id, {Answer::Kind::refused, {}, action.hold_off});
}

void Engine::carry_out(const Fail& action) {
  final_answer(action.id, {});
}

void Engine::final_answer(RequestId id, Answer answer) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.client == nullptr) return;
  const auto client = std::exchange(found->second.client, nullptr);
  found->second.job = {};
  --unanswered_;
  ClassCounts& counts = *found->second.counts;
  if (answer.kind == Answer::Kind::served) ++counts.success;
  else if (answer.kind == Answer::Kind::refused) ++counts.overload;
  else ++counts.error;
  spdlog::debug("job {} answered: {}", id, name_of(answer.kind));
  client->answered(std::move(answer));
  forget_if_over(id);
}

void Engine::forget_if_over(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  if (found->second.client != nullptr || found->second.out > 0) return;
  names_.erase(found->second.name);
  requests_.erase(found);
}

void Engine::carry_out(const Cancel& action) {
  const auto found = requests_.find(action.id);
  if (found == requests_.end() || action.attempt < 0) return;
  const auto number = static_cast<std::size_t>(action.attempt);
  if (number >= found->second.tries.size() || !found->second.tries[number].out) return;
  workers_.call_off({action.id, action.attempt});
  end_attempt({action.id, action.attempt}, Result::cancelled);
}

void Engine::carry_out(const Probe& action) {
  workers_.probe(action.worker, {});
}

// There is no channel between dispatchers: the configuration never allows the module to send there.
void Engine::carry_out(const Tell&) {}

void Engine::carry_out(const Subscribe&) {
  watch();
}

void Engine::carry_out(const SetTimer& action) {
  set_due({action.at, 0, false, action.token, {}});
}

void Engine::carry_out(const Remark& action) {
  spdlog::info("module: {}", action.text);
}

// ---- time ----

void Engine::set_due(Due due) {
  due.order = ++orders_;
  dues_.push(due);
}

void Engine::arm() {
  if (dues_.empty() || stopped_) return;
  // Up to the next whole step: a timer of its own for each of thousands of alarms a second costs a system
  // call to set and a wake-up to fire.
  const Micros next = (dues_.top().at + kTimerStep - 1) / kTimerStep * kTimerStep;
  if (armed_for_ != 0 && armed_for_ <= next) return;
  armed_for_ = next;
  timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, next - clock_.now())));
  timer_.async_wait([this](Fault fault) {
    if (!fault) fire();
  });
}

void Engine::fire() {
  armed_for_ = 0;
  std::vector<Due> due;
  const Micros until = now();
  while (!dues_.empty() && dues_.top().at <= until) {
    due.push_back(dues_.top());
    dues_.pop();
  }
  for (const auto& d : due) {
    if (d.attempt) time_out(d.key);
    else if (d.token == 0) watch();
    else give(TimerFired{d.token});
  }
  arm();
}

void Engine::time_out(AttemptKey key) {
  const auto found = requests_.find(key.id);
  if (found == requests_.end() || !found->second.tries[static_cast<std::size_t>(key.number)].out) return;
  workers_.call_off(key);
  end_attempt(key, Result::timed_out);
}

void Engine::sweep() {
  if (stopped_) return;
  workers_.sweep();
  discovery_.sweep();
  if (now() - reported_ >= kReportEvery) report();
  sweeper_.expires_after(kSweepEvery);
  sweeper_.async_wait([this](Fault fault) {
    if (!fault) sweep();
  });
}

void Engine::report() {
  reported_ = now();
  const ClassCounts all = metrics_.total();
  spdlog::info(
      "taken {} served {} refused {} failed {} left {} attempts {} | turned away {} put out {} | open {} "
      "workers {} connections {} opened {}",
      metrics_.taken, all.success, all.overload, all.error, metrics_.left, metrics_.dispatches,
      metrics_.turned_away, metrics_.put_out, unanswered_, roster_.size(), workers_.open_connections(),
      workers_.opened());
}

// ---- the operators' figures ----

// A request for a job of a class that is there, and turned away, has failed; anything else is nobody's job.
void Engine::count_turned_away(std::string_view class_name) {
  ++metrics_.turned_away;
  if (class_named(class_name) != nullptr) ++metrics_.of_class(class_name).error;
}

std::string Engine::figures() {
  return metrics_.text({unanswered_, roster_.size(), dispatcher_.avoided(now())});
}

void Engine::show_classes() {
  for (const auto& c : config_.settings.classes) metrics_.of_class(c.name);
}

// ---- the end ----

void Engine::end_at(Micros at) {
  give(Ending{at});
}

void Engine::answer_all() {
  if (unanswered_ > 0) give(Ending{now()});
}

void Engine::stop() {
  if (std::exchange(stopped_, true)) return;
  report();
  timer_.cancel();
  sweeper_.cancel();
  first_list_timer_.cancel();
  discovery_.stop();
  workers_.close_all();
}

}  // namespace woadridge::net
