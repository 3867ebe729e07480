#include "proxy/dispatch.h"

#include <algorithm>
#include <chrono>

#include "common/log.h"
#include "proxy/verdict.h"
#include "text.h"

namespace woadridge::proxy {
namespace {

constexpr Micros kPeerDown =
    1'000'000;  // a peer that refused a connection; the board says soon whether it is gone
constexpr Micros kPeerSilent = 300'000;  // one that took no connection in time
constexpr Micros kReportEvery = 250'000;
constexpr Micros kReportSoon =
    2'000;  // a held call without an instance: together with those of the same moment
constexpr Micros kReportHeld = 80'000;   // calls are waiting: the holder weighs a start
constexpr Micros kHopAhead = 3'000;      // the home answers so long before the first proxy gives up
constexpr int kMostPassed = 3;           // times that one call is sent to a peer
constexpr Micros kRejoinLeast = 10'000;  // of the call's time: less brings no answer
constexpr int kMostPassedAgain = 1;      // by one that it was sent to: boards differ for a moment
constexpr double kWindowTime =
    0.25;                      // seconds of what a home bears that may be out there, of all proxies at first
constexpr int kAsksAgain = 1;  // the times that a call was passed on which is let through to a silent peer
constexpr double kSilentAgain = 0.3;  // seconds, after which a silent peer is tried again
constexpr double kHomeMoved = 0.05;   // seconds, after which the new home is known
constexpr Micros kLongestRelease =
    2'000'000;                           // a call that hangs must not keep an instance from its new home
constexpr Micros kLogEvery = 1'000'000;  // between two lines of one kind
constexpr int kRefusalsLost = 2;         // connections in a row that one which was up refuses: it is gone

// Guards against two lives with one number, also where machines draw the same by chance: its name and the
// moment are part of it.
std::int64_t draw_boot(const std::string& name) {
  std::random_device device;
  const auto moment = std::chrono::system_clock::now().time_since_epoch().count();
  const std::string life = name + "/" + std::to_string(moment) + "/" + std::to_string(device());
  constexpr std::uint64_t kMost = 1ULL << 62;
  return static_cast<std::int64_t>(fnv1a(life) % kMost) + 1;
}

}  // namespace

Dispatch::Dispatch(net::Strand strand, common::Settings settings)
    : settings_(std::move(settings)),
      space_(settings_.memory_mb),
      alarms_(strand, clock_),
      outbound_(strand, clock_, alarms_, space_),
      view_(settings_.node_name, static_cast<Micros>(settings_.contact_ms) * 1000),
      random_(static_cast<unsigned>(fnv1a(settings_.node_name))),
      boot_(draw_boot(settings_.node_name)) {}

// One home is the rule. A function with more has them for its traffic: each gets its part by its slots, this
// proxy's own first.
const common::Peer* Dispatch::home(const std::string& service) {
  const auto all = view_.groups(now(), service);
  if (all.empty()) return view_.by_draw(now(), service);
  for (const auto& group : all)
    if (group.peer == nullptr && (group.up > 0 || all.size() == 1)) return nullptr;
  if (all.size() == 1) return all.front().peer;
  return pick_home(all, service);
}

const common::Peer* Dispatch::pick_home(const std::vector<HomeGroup>& all, const std::string& service) {
  const bool any_up = std::any_of(all.begin(), all.end(), [](const HomeGroup& g) { return g.up > 0; });
  const auto has_room = [&](const HomeGroup& g) {
    if (is_silent(g.peer->name)) return false;
    const auto found = windows_.find({service, g.peer->name});
    return found == windows_.end() || found->second.has_room();
  };
  const bool room =
      std::any_of(all.begin(), all.end(), [&](const HomeGroup& g) { return g.peer && has_room(g); });
  const auto slots = [&](const HomeGroup& g) {
    if (g.peer == nullptr || (room && !has_room(g))) return 0.0;
    return any_up ? g.up : g.starting;
  };
  double sum = 0;
  for (const auto& group : all) sum += slots(group);
  double at = std::uniform_real_distribution<double>(0, sum)(random_);
  for (const auto& group : all) {
    at -= slots(group);
    if (at <= 0 && slots(group) > 0) return group.peer;
  }
  return all.back().peer;
}

FunctionScheduler& Dispatch::scheduler(const std::string& service) {
  auto& found = schedulers_[service];
  if (!found) {
    found = std::make_unique<FunctionScheduler>(*this, service, fnv1a(settings_.node_name, fnv1a(service)));
    show(service);
  }
  return *found;
}

void Dispatch::show(const std::string& service) {
  schedulers_.at(service)->instances(view_.own(now(), service));
  log_homes();
}

// Gathered for a second: a change of the proxies moves many instances at once.
void Dispatch::log_homes() {
  if (std::exchange(homes_log_due_, true)) return;
  alarms_.at(std::max(now(), homes_logged_at_ + kLogEvery), [this] {
    homes_log_due_ = false;
    homes_logged_at_ = now();
    const HomeChanges changes = view_.take_changes();
    if (changes.lost == 0) return;  // what is gained alone are instances that have started
    common::info("homes changed", {{"gained", std::to_string(changes.gained)},
                                   {"lost", std::to_string(changes.lost)},
                                   {"proxies", std::to_string(board().peers.size())},
                                   {"term", std::to_string(board().term)},
                                   {"board", std::to_string(board().version)}});
  });
}

void Dispatch::turned_away(const std::string& instance, std::size_t own_out) {
  ++turned_away_.count;
  if (turned_away_.logged_at != 0 && now() - turned_away_.logged_at < kLogEvery) return;
  const auto* entry = view_.history(instance);
  const HomeEntry none;
  const HomeEntry& home = entry == nullptr ? none : *entry;
  common::warning("an instance has no room", {{"instance", instance},
                                              {"function", view_.function_of(instance)},
                                              {"times", std::to_string(std::exchange(turned_away_.count, 0))},
                                              {"own_out", std::to_string(own_out)},
                                              {"home", home.home},
                                              {"reason", word(home.reason)},
                                              {"for_ms", std::to_string((now() - home.since) / 1000)},
                                              {"home_before", home.before},
                                              {"proxies", std::to_string(board().peers.size())},
                                              {"term", std::to_string(board().term)},
                                              {"board", std::to_string(board().version)}});
  turned_away_.logged_at = now();
}

void Dispatch::owners_changed() {
  std::set<std::string> waiting;
  for (const auto& [key, at] : windows_)
    if (!at.waiting.empty()) waiting.insert(key.first);
  for (const auto& [service, at] : schedulers_) {
    show(service);
    give_on(service);
  }
  for (const auto& service : waiting) requeue(service);
}

// What is held for a function that has its home elsewhere by now waits for instances that another sends to.
void Dispatch::give_on(const std::string& service) {
  if (is_home(service)) return;
  for (auto& call : schedulers_.at(service)->give_away()) take(std::move(call));
}

// What may have run gets no promise.
void Dispatch::refuse(const CallRef& call, double retry_after_s) {
  if (call->abandoned || !call->tries.may_promise()) answer(call, own_reply(502));
  else answer(call, own_reply(503, retry_after_s));
}

void Dispatch::abandon(const CallRef& call) {
  if (std::exchange(call->abandoned, true)) return;
  if (const auto withdraw = std::exchange(call->withdraw, nullptr)) withdraw();
}

void Dispatch::take(CallRef call) {
  if (call->abandoned) return refuse(call, kHomeMoved);
  const bool here = is_home(call->service);
  // From a peer: this is its home, or was a moment ago.
  const int most = call->from_peer ? kMostPassedAgain : kMostPassed;
  if (call->passed_on < most && !(call->from_peer && here)) {
    if (const common::Peer* peer = home(call->service); peer != nullptr) {
      // Who has just met the silence asks once more: a lost opening packet shows in the same way.
      if (is_silent(peer->name) && call->passed_on != kAsksAgain) return refuse(call, kSilentAgain);
      return queue(std::move(call), *peer);
    }
  }
  // It may go no further: held here it would wait until its deadline for instances that another sends to.
  if (!here) return refuse(call, kHomeMoved);
  auto& own = scheduler(call->service);
  own.take(std::move(call));
}

PeerWindow& Dispatch::window(const std::string& peer, const std::string& service) {
  const auto found = windows_.find({service, peer});
  if (found != windows_.end()) return found->second;
  const auto peers = static_cast<double>(std::max<std::size_t>(1, board().peers.size()));
  const double size = std::max(1.0, kWindowTime * settings_.calls_per_s() / peers);
  return windows_.emplace(std::make_pair(service, peer), PeerWindow(size)).first->second;
}

void Dispatch::queue(CallRef call, const common::Peer& peer) {
  auto& at = window(peer.name, call->service);
  if (at.has_room() && at.waiting.empty()) return pass_on(std::move(call), peer);
  // What can't have its turn in time is told at once.
  const Micros wait = at.expected_wait();
  if (now() + wait > call->deadline) return refuse(call, std::max(0.1, static_cast<double>(wait) / 2e6));
  at.waiting.push_back(call);
  const auto leaves = [this, weak = std::weak_ptr(call), name = peer.name] { leave_queue(weak, name); };
  call->withdraw = leaves;
  alarms_.at(call->deadline - kHopAhead, leaves);
}

void Dispatch::leave_queue(const std::weak_ptr<Call>& waiting, const std::string& peer) {
  const auto call = waiting.lock();
  if (!call) return;
  const auto found = windows_.find({call->service, peer});
  if (found == windows_.end() || std::erase(found->second.waiting, call) == 0) return;
  refuse(call, 0.2);
}

void Dispatch::pump(const std::string& peer, const std::string& service) {
  const common::Peer* to = view_.peer(peer);
  auto& at = window(peer, service);
  while (!at.waiting.empty() && to != nullptr && at.has_room()) {
    const CallRef call = at.waiting.front();
    at.waiting.pop_front();
    pass_on(call, *to);
  }
}

// Its homes have changed: what waits goes by the new ones.
void Dispatch::requeue(const std::string& service) {
  std::vector<CallRef> calls;
  for (auto at = windows_.lower_bound({service, {}}); at != windows_.end() && at->first.first == service;
       ++at) {
    calls.insert(calls.end(), at->second.waiting.begin(), at->second.waiting.end());
    at->second.waiting.clear();
  }
  std::stable_sort(calls.begin(), calls.end(), [](auto& a, auto& b) { return a->came < b->came; });
  for (auto& call : calls) take(std::move(call));
}

void Dispatch::pass_on(CallRef call, const common::Peer& peer) {
  const auto place = common::read_endpoint(peer.address);
  if (!place) return refuse(call, 0.2);
  ++call->passed_on;
  window(peer.name, call->service).begin();
  auto pass = std::make_shared<Pass>();
  pass->peer = peer.name;
  pass->place = place.value();
  pass->count = ++passes_;
  pass->boot = boots_[peer.name];
  pass->grant = call->tries.grant_to_peer();
  pass->sent = now();
  pass->call = std::move(call);
  send(pass);
  // Both outlive most calls, the alarm by seconds: they must not keep the buffers.
  const std::weak_ptr weak = pass;
  alarms_.at(pass->call->deadline, [this, weak] {
    const auto late = weak.lock();
    if (!late || !break_off(*late, 504)) return;
    window(late->peer, late->call->service).ended(now(), now() - late->sent, false);
    pump(late->peer, late->call->service);
  });
  pass->call->withdraw = [this, weak] {
    const auto left = weak.lock();
    if (!left || !break_off(*left, 502)) return;
    window(left->peer, left->call->service).withdrawn();
    pump(left->peer, left->call->service);
  };
}

// The peer sees its connection close, and takes the call back unless it is asked for it again.
bool Dispatch::break_off(Pass& pass, int status) {
  if (std::exchange(pass.over, true)) return false;
  outbound_.drop(pass.outbound);
  pass.call->tries.peer_lost(pass.grant);
  answer(pass.call, own_reply(status));
  return true;
}

void Dispatch::send(const PassRef& pass) {
  const Call& call = *pass->call;
  const std::string via = call.service + ";" + call.route + ";" + (call.tries.repeatable() ? "r" : "m") +
                          ";" + std::to_string(call.tries.most()) + ";" + std::to_string(call.aim / 1000) +
                          ";" + std::to_string(call.longest / 1000) + ";" + std::to_string(call.hops + 1) +
                          ";" + std::to_string(call.tries.used()) + ";" + std::to_string(pass->grant);
  OutboundHeaders headers = {{kVia, via}, {kPass, std::to_string(boot_) + "." + std::to_string(pass->count)}};
  if (pass->rejoined > 0) headers.emplace_back(kRejoin, std::to_string(pass->boot));
  auto request = outbound_request_for(call, pass->place, call.deadline - kHopAhead - now(), headers);
  pass->outbound =
      outbound_.start(std::move(request), [this, pass](OutboundResult end) { ended(pass, std::move(end)); });
}

void Dispatch::ended(const PassRef& pass, OutboundResult end) {
  if (pass->over) return;
  const CallRef& call = pass->call;
  const bool time_left = now() + kRejoinLeast < call->deadline;
  const PassSoFar so_far{pass->grant, pass->rejoined, pass->boot != 0, time_left};
  const PassEnd next = judge_pass(call->tries, so_far, end);
  if (next == PassEnd::again) log_once_only("a call is sent again", *pass, end);
  if (next == PassEnd::rejoin) {
    log_once_only("a passed call is asked for again", *pass, end);
    ++pass->rejoined;
    return send(pass);
  }
  using How = OutboundResult::How;
  pass->over = true;
  const bool answers = end.how == How::answered;
  if (end.boot != 0) boots_[pass->peer] = end.boot;
  window(pass->peer, call->service).ended(now(), now() - pass->sent, answers && end.status != 503);
  if (answers) pump(pass->peer, call->service);
  else unreachable(pass->peer, end.how);
  switch (next) {
    case PassEnd::pass_along: {
      const double retry_after_s = end.retry_after_s;
      Reply reply = instance_reply(std::move(end));
      reply.retry_after_s = retry_after_s;
      return answer(call, std::move(reply));
    }
    case PassEnd::fail:
      return answer(call, own_reply(502));
    case PassEnd::refuse:
      return refuse(call, kHomeMoved);
    default:
      return take(call);
  }
}

// Of a call that may run once only: where it was, and what its end there was taken for.
void Dispatch::log_once_only(const char* what, const Pass& pass, const OutboundResult& end) const {
  const Call& call = *pass.call;
  if (call.tries.repeatable()) return;
  const bool answers = end.how == OutboundResult::How::answered;
  common::info(what, {{"id", call.id},
                      {"function", call.service},
                      {"proxy", pass.peer},
                      {"status", answers ? std::to_string(end.status) : "none"},
                      {"told_used", end.used ? std::to_string(*end.used) : "none"},
                      {"used", std::to_string(call.tries.used())},
                      {"life", std::to_string(pass.boot)},
                      {"life_that_answered", std::to_string(end.boot)},
                      {"asked_again", std::to_string(pass.rejoined)}});
}

void Dispatch::unreachable(const std::string& peer, OutboundResult::How how) {
  using How = OutboundResult::How;
  if (how != How::refused && how != How::no_connection) return;  // a connection that broke off says little
  const bool refused = how == How::refused;
  const bool news = refused ? !view_.is_down(now(), peer) : !is_silent(peer);
  if (news)
    common::info("a proxy can't be reached", {{"proxy", peer},
                                              {"why", refused ? "refused" : "silent"},
                                              {"proxies", std::to_string(board().peers.size())},
                                              {"term", std::to_string(board().term)}});
  if (refused) gone(peer);
  else silent(peer);
}

void Dispatch::gone(const std::string& peer) {
  const bool news = !view_.is_down(now(), peer);
  view_.down(peer, now() + kPeerDown);
  if (!news) return;
  owners_changed();
  alarms_.at(now() + kPeerDown + 1000, [this] { owners_changed(); });
}

void Dispatch::silent(const std::string& peer) {
  silent_until_[peer] = now() + kPeerSilent;
  std::vector<std::string> waiting;
  for (const auto& [key, at] : windows_)
    if (key.second == peer && !at.waiting.empty()) waiting.push_back(key.first);
  for (const auto& service : waiting) requeue(service);
}

bool Dispatch::is_silent(const std::string& peer) const {
  const auto found = silent_until_.find(peer);
  return found != silent_until_.end() && found->second > now();
}

void Dispatch::told(const common::News& news) {
  ViewChange change = view_.told(now(), news);
  const bool holds_both = board().plan.version > 0 && board().term > 0;
  informed_ = informed_ || (holds_both && board().plan.version >= news.newest_plan);
  if (change.plan) {
    router_.take(board().plan);
    common::info("configuration taken", {{"version", std::to_string(board().plan.version)}});
  }
  if (!change.taken) return;
  for (const auto& id : change.gone) refusals_.erase(id);
  if (change.peers)
    for (const auto& service : view_.functions())
      if (schedulers_.contains(service) || is_home(service)) change.functions.insert(service);
  for (const auto& service : change.functions) {
    if (schedulers_.contains(service)) show(service);
    else if (is_home(service)) scheduler(service);
  }
  if (change.peers) owners_changed();
  for (const auto& service : change.functions)
    if (schedulers_.contains(service)) give_on(service);
  for (const auto& service : change.functions) requeue(service);
  release();
}

void Dispatch::nothing_out(const std::string& instance) {
  if (view_.to_release().contains(instance)) release();
}

void Dispatch::release() {
  const auto waiting = view_.to_release();
  for (const auto& [instance, since] : waiting) {
    const auto scheduler = schedulers_.find(view_.function_of(instance));
    const bool out = scheduler != schedulers_.end() && scheduler->second->out_at(instance) > 0;
    if (out && now() - since < kLongestRelease) {
      alarms_.at(since + kLongestRelease, [this] { release(); });
      continue;
    }
    view_.released(instance);
    next_.released.push_back(instance);
    report_in(kReportSoon);
  }
}

void Dispatch::has_news(FunctionScheduler& scheduler) {
  touched_.insert(scheduler.service());
  if (scheduler.cold()) report_in(kReportSoon);
  else report_in(scheduler.busy() < scheduler.open() ? kReportHeld : kReportEvery);
}

void Dispatch::reached(const std::string& instance) {
  refusals_.erase(instance);
  next_.reached.push_back(instance);
  report_in(kReportSoon);
}

void Dispatch::refused_connection(const std::string& instance) {
  if (++refusals_[instance] != kRefusalsLost) return;
  next_.lost.push_back(instance);
  report_in(kReportSoon);
}

void Dispatch::report_in(Micros span) {
  const Micros at = now() + span;
  if (report_at_ != 0 && report_at_ <= at) return;
  report_at_ = at;
  alarms_.at(at, [this, at] {
    if (report_at_ == at) report();
  });
}

void Dispatch::report() {
  report_at_ = 0;
  common::Report report = std::exchange(next_, {});
  report.leaving = leaving();
  std::set<std::string> still;
  bool held = false;
  for (const auto& service : touched_) {
    auto& at = *schedulers_.at(service);
    common::Demand demand;
    if (!at.fill_report(demand)) {
      report.demand.push_back(std::move(demand));  // its end is news too, once
      continue;
    }
    still.insert(service);
    held |= demand.held > 0;
    report.demand.push_back(std::move(demand));
  }
  touched_ = std::move(still);
  if (tell_) tell_(report);
  if (!touched_.empty()) report_in(held ? kReportHeld : kReportEvery);
}

void Dispatch::leave(Micros at) {
  const bool first = !leaving();
  view_.leave();
  report_in(0);
  if (first) owners_changed();  // what is held here waits for instances that another sends to now
  for (auto& [service, scheduler] : schedulers_) scheduler->leave(at);
}

void Dispatch::stop() {
  alarms_.stop();
  outbound_.stop();
}

}  // namespace woadridge::proxy
