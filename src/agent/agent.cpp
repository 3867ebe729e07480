#include "agent/agent.h"

#include <algorithm>
#include <chrono>
#include <type_traits>
#include <utility>
#include <variant>

#include "common/log.h"

namespace woadridge::agent {
namespace {

using common::AgentSays;
using common::Ask;
using common::Code;
using common::CoreSays;
using common::Elsewhere;
using common::FeedSays;
using common::News;
using common::ProxySays;
using common::Report;

// News goes down, and reports go up, in the bytes they came in: writing a board anew costs the machine's
// time.
static_assert(std::is_same_v<ProxySays, AgentSays>);
static_assert(
    std::is_same_v<std::variant_alternative_t<0, CoreSays>, std::variant_alternative_t<0, FeedSays>>);

constexpr Millis kProxyComes = 800;  // after a start: the first question names the proxy, if it's up
constexpr Millis kWouldHaveSaid = 300;
constexpr Millis kGateAgain = 250;
constexpr Millis kLongUnlinked = 5000;
constexpr Millis kBeforeGrace = 700;  // SIGKILL comes at grace-s
constexpr Millis kLastWord = 100;     // for the question that says that the proxy has gone
constexpr std::size_t kMostKnocking = 4;
constexpr std::size_t kMostUnsentDown = 8 << 20, kMostUnsentUp = 256 << 10;  // bytes of one that doesn't read

void wait(common::Timer& timer, Millis ms, std::function<void()> then) {
  timer.expires_after(std::chrono::milliseconds(ms));
  timer.async_wait([then = std::move(then)](Code stopped) {
    if (!stopped) then();
  });
}

std::vector<Endpoint> links(const common::Settings& settings) {
  std::vector<Endpoint> places;
  for (const auto& seed : settings.seeds) places.push_back(settings.core_link(seed.ip));
  return places;
}

}  // namespace

Agent::Agent(common::Strand strand, const common::Settings& settings, std::uint64_t seed)
    : strand_(strand),
      settings_(settings),
      link_(seed, patience_of(settings.contact_ms)),
      gate_(strand, [this](FrameConnectionPtr wire) { knock(std::move(wire)); }),
      link_timer_(strand),
      gate_timer_(strand),
      end_timer_(strand) {
  link_.seeds(links(settings_));
}

Millis Agent::now() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

void Agent::start() {
  unlinked_at_ = now();
  open_gate();
  link_.start(now(), kProxyComes);
  run();
}

void Agent::settings(const common::Settings& settings) {
  settings_ = settings;
  link_.seeds(links(settings_));
  link_.dial_now(now());
  run();
}

// ---- upwards

void Agent::run() {
  using Act = Link::Act;
  for (Act act = link_.tick(now()); act != Act::nothing; act = link_.tick(now())) {
    if (act == Act::dial) dial();
    else if (act == Act::ask) ask();
    else dropped("silent");
  }
  wait(link_timer_, std::max<Millis>(0, link_.due() - now()), [this] { run(); });
}

void Agent::dial() {
  // A holder that has just begun is told again what its predecessor had decided.
  owned_.clear();
  const auto& board = held_.board();
  for (const auto& [id, instance] : board.instances)
    if (instance.home == settings_.node_name && instance.waits_for.empty()) owned_.push_back(id);
  sums_ = board.term > 0 ? board.sums() : std::vector<std::uint64_t>{};
  up_ = common::FrameConnection::to(strand_, link_.place(), kConnectionSilent, kConnectLimit);
  up_->start([this](std::string_view bytes) { heard(bytes); },
             [this] {
               link_.ended(now());
               dropped("ended");
               run();
             });
  ask();
}

// The newest question is the one that is open: an earlier one on the same wire is superseded.
void Agent::ask() {
  const auto& board = held_.board();
  Ask ask;
  ask.name = settings_.node_name;
  ask.zone = settings_.zone;
  ask.proxy = proxy_address_;
  ask.term = board.term;
  ask.board = board.version;
  ask.plan = board.plan.version;
  ask.calls_per_s = settings_.calls_per_s();
  ask.owned = std::exchange(owned_, {});
  ask.sums = std::exchange(sums_, {});
  ask.seen_term = held_.seen_term();
  ask.seen_plan = held_.seen_plan();
  ask.peers = static_cast<std::uint32_t>(board.peers.size());
  up_->say(AgentSays{std::move(ask)});
}

void Agent::dropped(std::string_view why) {
  const bool was_linked = link_.was_linked();
  const auto place = link_.place().text();
  if (was_linked) common::info("link lost", {{"holder", place}, {"why", std::string(why)}});
  else common::debug("not the holder", {{"asked", place}, {"why", std::string(why)}});
  if (was_linked) unlinked_at_ = now();
  else if (!told_unlinked_ && now() - unlinked_at_ > kLongUnlinked) {
    told_unlinked_ = true;
    common::warning("no core machine takes the link", {{"known", std::to_string(link_.known())}});
  }
  if (up_) up_->close();
  up_.reset();
}

void Agent::heard(std::string_view bytes) {
  const auto says = common::unpack<CoreSays>(bytes);
  if (!says) {
    link_.ended(now());
    dropped("said what is no message");
  } else if (const auto* news = std::get_if<News>(&*says)) {
    heard_news(*news, bytes);
  } else {
    const auto& elsewhere = std::get<Elsewhere>(*says);
    held_.heard_of_term(elsewhere.term);
    link_.core(elsewhere.core);
    link_.elsewhere(now(), elsewhere.holder);
    dropped("the duty is elsewhere");
  }
  run();
}

void Agent::heard_news(const News& news, std::string_view bytes) {
  const bool was_linked = link_.linked();
  const auto version_before = held_.board().plan.version;
  const HeldState::Taken taken = held_.take(news);
  if (held_.board().plan.version != version_before)
    common::info("configuration taken", {{"version", std::to_string(held_.board().plan.version)}});
  if (taken.stale) {
    link_.stale(now());
    return dropped("its term is over");
  }
  if (taken.feed == HeldState::Feed::as_told) feed(std::string(bytes));
  else if (taken.feed == HeldState::Feed::whole) feed(common::pack(FeedSays{held_.whole()}));
  link_.core(news.core);
  link_.news(now(), taken.new_to_us);
  if (was_linked) return;
  told_unlinked_ = false;
  common::info("link", {{"holder", link_.place().text()},
                        {"term", std::to_string(news.holder_term)},
                        {"board", std::to_string(held_.board().version)},
                        {"configuration", std::to_string(held_.board().plan.version)}});
  flush();
}

// One that doesn't hold the duty says so at once; the holder may answer only after a second, with nothing
// new.
bool Agent::takes_reports() const {
  if (!up_ || up_->unsent() > kMostUnsentUp) return false;
  return link_.linked() || (up_->unsent() == 0 && now() - link_.dialed_at() >= kWouldHaveSaid);
}

void Agent::flush() {
  if (pending_.empty() && !leaving_) return;
  Report report = pending_.take(now());
  report.leaving = leaving_;  // the one that the proxy told may be another, or may have forgotten
  up_->say(AgentSays{std::move(report)});
}

// ---- downwards

void Agent::open_gate() {
  const auto opened = gate_.open(settings_.feed());
  if (opened) return;
  // The process before this one may not have let go of the port yet.
  common::warning("the proxy's port isn't free",
                  {{"place", settings_.feed().text()}, {"why", opened.error().what}});
  gate_.close();
  wait(gate_timer_, kGateAgain, [this] { open_gate(); });
}

void Agent::knock(FrameConnectionPtr wire) {
  if (knocking_.size() >= kMostKnocking) {  // connections that never say who they are
    knocking_.front()->close();
    knocking_.erase(knocking_.begin());
  }
  knocking_.push_back(wire);
  const std::weak_ptr<common::FrameConnection> weak = wire;  // the wire holds these handlers
  wire->start(
      [this, weak](std::string_view bytes) {
        if (const auto self = weak.lock()) proxy_says(self, bytes);
      },
      [this, weak] {
        if (const auto self = weak.lock()) proxy_ended(self);
      });
}

void Agent::proxy_says(const FrameConnectionPtr& wire, std::string_view bytes) {
  const auto says = common::unpack<ProxySays>(bytes);
  const auto* ask = says ? std::get_if<Ask>(&*says) : nullptr;
  if (ask) return proxy_asks(wire, *ask);
  if (!says || wire != proxy_) {
    wire->close();
    return proxy_ended(wire);
  }
  const auto& report = std::get<Report>(*says);
  leaving_ = leaving_ || report.leaving;
  if (takes_reports() && pending_.empty()) return up_->send(std::string(bytes));
  pending_.add(now(), report);
  if (takes_reports()) flush();
}

void Agent::proxy_asks(const FrameConnectionPtr& wire, const Ask& asked) {
  if (wire != proxy_) {
    std::erase(knocking_, wire);
    if (proxy_) proxy_->close();  // one proxy at a time: the newer process is the one that lives
    proxy_ = wire;
    leaving_ = false;
    pending_.clear();
    common::info("proxy", {{"address", asked.proxy},
                           {"term", std::to_string(asked.term)},
                           {"board", std::to_string(asked.board)},
                           {"configuration", std::to_string(asked.plan)}});
  }
  const bool behind = held_.proxy_holds(asked);
  // One that has just started holds nothing that the proxy could use.
  if (held_.holds_anything()) feed(common::pack(FeedSays{held_.whole()}));
  if (std::exchange(proxy_address_, asked.proxy) == asked.proxy && !behind) return;
  if (link_.up()) link_.ask_now(now());
  else link_.dial_now(now());
  run();
}

void Agent::proxy_ended(const FrameConnectionPtr& wire) {
  std::erase(knocking_, wire);
  if (wire != proxy_) return;
  common::info("proxy gone", {{"address", proxy_address_}});
  proxy_.reset();
  proxy_address_.clear();
  leaving_ = false;
  pending_.clear();
  link_.ask_now(now());
  run();
  if (ending_) finish_in(kLastWord);
}

void Agent::feed(std::string bytes) {
  if (!proxy_) return;
  if (proxy_->unsent() <= kMostUnsentDown) return proxy_->send(std::move(bytes));
  // It doesn't read. It comes back when it does, and is told all of it.
  const FrameConnectionPtr wire = proxy_;
  wire->close();
  proxy_ended(wire);
}

// ---- the end

void Agent::end(OnDone done) {
  if (ending_) return;
  ending_ = true;
  done_ = std::move(done);
  const Millis longest = static_cast<Millis>(settings_.grace_s) * 1000 - kBeforeGrace;
  finish_in(proxy_ ? std::max(longest, kLastWord) : kLastWord);
}

void Agent::finish_in(Millis ms) {
  wait(end_timer_, ms, [this] {
    gate_.close();
    for (auto* timer : {&link_timer_, &gate_timer_}) timer->cancel();
    for (const auto& wire : knocking_) wire->close();
    knocking_.clear();
    for (auto* wire : {&up_, &proxy_}) {
      if (*wire) (*wire)->close();
      wire->reset();
    }
    if (done_) done_();
  });
}

}  // namespace woadridge::agent
