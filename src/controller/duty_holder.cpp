#include "controller/duty_holder.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cmath>
#include <random>
#include <utility>

#include "common/log.h"
#include "controller/clock.h"

namespace woadridge::controller {
namespace {

constexpr std::uint64_t kFirstTerm = 1;
constexpr double kMachinesShare = 0.3;      // of the lists' calls: machines change seldom
constexpr Micros kLogEvery = 1'000'000;     // between two lines about one agent
constexpr Micros kListAgain = 100'000;      // after no answer: the list is what all else hangs on
constexpr std::uint32_t kMostSlowDown = 8;  // times: three seconds between two lists, drain-ms is seldom less

Micros ms(std::uint32_t number) {
  return static_cast<Micros>(number) * 1000;
}

autoscaler::Bounds bounds_of(const common::Settings& settings) {
  return {ms(settings.max_lag_ms), ms(settings.drain_ms), settings.duty_per_s};
}

autoscaler::Outcome outcome_of(ProviderTrouble trouble) {
  switch (trouble) {
    case ProviderTrouble::too_many:
      return autoscaler::Outcome::too_many;
    case ProviderTrouble::no_room:
      return autoscaler::Outcome::no_room;
    case ProviderTrouble::unknown:
      return autoscaler::Outcome::unknown;
    case ProviderTrouble::fenced:
      return autoscaler::Outcome::refused;
    case ProviderTrouble::silent:
    case ProviderTrouble::senseless:
      break;
  }
  return autoscaler::Outcome::silent;
}

}  // namespace

DutyHolder::DutyHolder(net::Strand strand, const common::Settings& settings, DutySource source,
                       DutyHolderOptions options)
    : strand_(strand),
      settings_(settings),
      options_(options),
      gate_(strand, [this](std::shared_ptr<common::FrameConnection> wire) { take(std::move(wire)); }),
      pulse_timer_(strand),
      step_timer_(strand),
      provider_(strand, settings.provider, settings.node_name, [this] { return holds(); }),
      pace_(ms(options.pause_ms), settings.cpu_fraction),
      autoscaler_(std::make_unique<autoscaler::Autoscaler>(options.policy, bounds_of(settings),
                                                           std::random_device{}())),
      source_(std::move(source)) {}

DutyHolder::~DutyHolder() {
  stop();
}

common::Result<void> DutyHolder::open() {
  auto opened = gate_.open(settings_.core_link(settings_.ip));
  open_ = opened.has_value();
  return opened;
}

void DutyHolder::plan(std::shared_ptr<const common::Plan> plan) {
  if (!plans_.take(std::move(plan))) return;
  autoscaler_->plan(steady_now(), plans_.newest());
  if (holds()) step();
}

void DutyHolder::begin(std::uint64_t term) {
  if (term == term_) return;
  term_ = term;
  began_ = steady_now();
  list_at_ = machines_at_ = began_;
  slow_down_ = 1;
  pages_ = 1;
  listing_ = counting_ = false;
  provider_.close();  // an earlier term's calls are not waited for
  provider_.hold(term);
  board_.begin(term);
  pace_.begin();
  trail_.begin();
  proxy_roster_.begin(began_, term == kFirstTerm);
  autoscaler_->begin(began_, term);
  placement_.begin();
  for (const auto& agent : agents_)
    if (agent->asked_at > 0) {
      proxy_roster_.asked(began_, agent->ask);
      for (const auto& id : agent->ask.owned) placement_.held(id, agent->ask.name);
    }
  common::info("duty begun", {{"term", std::to_string(term)}});
  pulse();
}

void DutyHolder::end() {
  if (term_ == 0) return;
  common::info("duty ended", {{"term", std::to_string(term_)}});
  term_ = 0;
  provider_.close();
  pulse_timer_.cancel();
  step_timer_.cancel();
  step_at_ = 0;
  board_.begin(0);
  proxy_roster_.begin(0);
  autoscaler_->begin(steady_now(), 0);
  const auto agents = agents_;
  for (const auto& agent : agents)
    if (agent->asks) send_elsewhere(*agent);
}

void DutyHolder::elsewhere(common::Elsewhere elsewhere) {
  if (elsewhere.core != elsewhere_.core) ++core_list_;
  elsewhere_ = std::move(elsewhere);
}

Holding DutyHolder::holding() const {
  const Holding now = source_.holding();
  return now.term == term_ ? now : Holding{};
}

void DutyHolder::stop() {
  if (!alive_) return;
  end();
  alive_.reset();
  if (open_) gate_.close();
  provider_.close();
  pulse_timer_.cancel();
  step_timer_.cancel();
  for (const auto& agent : std::exchange(agents_, {})) agent->wire->close();
}

// --- agents ---

void DutyHolder::take(std::shared_ptr<common::FrameConnection> wire) {
  auto agent = std::make_shared<Agent>();
  agent->wire = std::move(wire);
  agents_.insert(agent);
  const std::weak_ptr<int> alive = alive_;
  agent->wire->start(
      [this, alive, weak = std::weak_ptr(agent)](std::string_view bytes) {
        const auto at = weak.lock();
        if (at && !alive.expired()) heard(at, bytes);
      },
      [this, alive, weak = std::weak_ptr(agent)] {
        const auto at = weak.lock();
        if (at && !alive.expired()) dropped(at);
      });
}

void DutyHolder::heard(const std::shared_ptr<Agent>& agent, std::string_view bytes) {
  auto said = common::unpack<common::AgentSays>(bytes);
  if (!said) {
    common::warning("an agent's word can't be read", {{"from", agent->wire->peer_ip()}});
    agent->wire->close();
    return dropped(agent);
  }
  if (auto* ask = std::get_if<common::Ask>(&*said)) on_ask(agent, std::move(*ask));
  else on_report(agent, std::get<common::Report>(*said));
}

void DutyHolder::on_ask(const std::shared_ptr<Agent>& agent, common::Ask ask) {
  if (agent->asked_at == 0) {
    // The same agent's earlier wire may hang behind a cut: its end must not take the peer away.
    const auto others = agents_;
    for (const auto& other : others) {
      if (other == agent || other->asked_at == 0 || other->ask.name != ask.name) continue;
      other->wire->close();
      agents_.erase(other);
    }
  }
  const auto now = steady_now();
  agent->ask = std::move(ask);
  agent->asks = true;
  agent->asked_at = now;
  if (!holds()) return send_elsewhere(*agent);
  proxy_roster_.asked(now, agent->ask);
  for (const auto& id : agent->ask.owned) placement_.held(id, agent->ask.name);
  answer(*agent, now);
}

void DutyHolder::on_report(const std::shared_ptr<Agent>& agent, const common::Report& report) {
  if (!holds() || agent->asked_at == 0) return;  // who hasn't asked hasn't said who it is
  if (report.leaving) proxy_roster_.leaving(agent->ask.name);
  autoscaler_->report(steady_now(), agent->ask.name, report);
  placement_.told(steady_now(), report);
  for (const auto& id : report.released) placement_.released(id, agent->ask.name);
  bool urgent = !report.reached.empty() || !report.lost.empty() || !report.released.empty() || report.leaving;
  for (const auto& demand : report.demand) urgent |= demand.held > 0;
  const Micros gather = pace_.gather(agents_.size());
  if (urgent && gather == 0) step();
  else step_in(urgent ? gather : ms(options_.pause_ms));
}

void DutyHolder::dropped(const std::shared_ptr<Agent>& agent) {
  if (agents_.erase(agent) == 0) return;
  if (holds() && agent->asked_at > 0) proxy_roster_.wire_ended(steady_now(), agent->ask.name);
}

void DutyHolder::send_elsewhere(Agent& agent) {
  agent.asks = false;
  common::Elsewhere elsewhere = elsewhere_;
  if (agent.core_told == core_list_) elsewhere.core.clear();
  agent.core_told = core_list_;
  agent.wire->say(common::CoreSays{std::move(elsewhere)});
}

// --- the holder's work ---

void DutyHolder::step_in(Micros span) {
  const Micros at = steady_now() + span;
  if (step_at_ != 0 && step_at_ <= at) return;
  step_at_ = at;
  step_timer_.expires_after(std::chrono::microseconds(span));
  step_timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](net::Fault stopped) {
    if (stopped || alive.expired()) return;
    step_at_ = 0;
    if (holds()) step();
  });
}

void DutyHolder::step() {
  if (!holds()) return;  // the lease is over, and the word of it is on its way
  const auto now = steady_now();
  look_at_peers(now);
  for (const auto& order : autoscaler_->work(now)) send(order);
  put_on_board(autoscaler_->changes(), now);
  tell(now);
}

// Each with its home, which is told before others: also the one that sent to it until now.
void DutyHolder::put_on_board(const autoscaler::Changes& changes, Micros now) {
  const auto concerns = [this](const std::string& id) {
    if (const auto* instance = board_.find(id)) pace_.changed(*instance, board_.version() + 1);
  };
  for (const auto& id : changes.gone) {
    concerns(id);
    placement_.gone(id);
    board_.gone(id);
  }
  for (auto instance : changes.changed) {
    concerns(instance.id);
    placement_.place(now, instance);
    board_.change(instance);
    pace_.changed(instance, board_.version());
  }
  for (const auto& [id, home] : placement_.moves(now)) {
    concerns(id);
    board_.home(id, home.name, home.waits_for);
    concerns(id);
  }
}

void DutyHolder::look_at_peers(Micros now) {
  auto peers = proxy_roster_.at(now);
  placement_.present(proxy_roster_.present());
  if (!proxy_roster_.settled(now) || peers == board_.peers()) return;
  log_proxies_gone(peers);
  if (common::logs(common::Level::debug)) common::debug("proxies", {{"count", std::to_string(peers.size())}});
  board_.peers(peers);
  pace_.peers(peers);
  std::uint32_t bears = 0;
  for (const auto& agent : agents_)
    if (agent->ask.calls_per_s > 0)
      bears = bears == 0 ? agent->ask.calls_per_s : std::min(bears, agent->ask.calls_per_s);
  placement_.peers(peers, bears);
  autoscaler_->peers(now, std::move(peers));
}

void DutyHolder::log_proxies_gone(const std::vector<common::Peer>& peers) const {
  std::string names;
  for (const auto& before : board_.peers()) {
    const auto same = [&](const common::Peer& peer) { return peer.name == before.name; };
    if (std::none_of(peers.begin(), peers.end(), same)) names += (names.empty() ? "" : " ") + before.name;
  }
  if (!names.empty())
    common::info("proxies gone", {{"names", names}, {"left", std::to_string(peers.size())}});
}

// Which part of the way to a proxy is slow can't be seen anywhere else.
void DutyHolder::log_agents_behind(Micros now) {
  for (const auto& agent : agents_) {
    const auto& ask = agent->ask;
    if (agent->asked_at == 0 || now - agent->behind_logged_at < kLogEvery) continue;
    if (!trail_.is_behind(now, {ask.term, ask.board, ask.plan})) continue;
    agent->behind_logged_at = now;
    common::warning("an agent is behind", {{"agent", ask.name},
                                           {"term", std::to_string(ask.term)},
                                           {"board", std::to_string(ask.board)},
                                           {"newest_board", std::to_string(board_.version())},
                                           {"configuration", std::to_string(ask.plan)},
                                           {"newest_configuration", std::to_string(plans_.version())},
                                           {"asked_ms_ago", std::to_string((now - agent->asked_at) / 1000)},
                                           {"told_ms_ago", std::to_string((now - agent->told_at) / 1000)},
                                           {"asks", agent->asks ? "yes" : "no"},
                                           {"unsent", std::to_string(agent->wire->unsent())}});
  }
}

// A board without what an earlier holder started would take every instance from the proxies: they serve on
// with the one that they hold until the list has come.
bool DutyHolder::board_is_ready(Micros now) {
  return autoscaler_->knows_instances() &&
         (proxy_roster_.settled(now) || now - began_ >= ms(options_.gather_ms));
}

void DutyHolder::tell(Micros now) {
  const auto agents = agents_;
  for (const auto& agent : agents) {
    if (agent->wire->unsent() > options_.most_unsent) {
      if (agent->unread_since == 0) agent->unread_since = now;
      if (now - agent->unread_since < ms(options_.unread_ms)) continue;
      common::warning("an agent doesn't read", {{"agent", agent->ask.name}});
      agent->wire->close();
      dropped(agent);
      continue;
    }
    agent->unread_since = 0;
    if (agent->asks) answer(*agent, now);
  }
}

void DutyHolder::answer(Agent& agent, Micros now) {
  const Holding held = holding();
  const Scope scope = scope_of(held, {agent.ask.seen_term, agent.ask.seen_plan});
  if (scope == Scope::elsewhere) return send_elsewhere(agent);
  if (scope == Scope::board_only) source_.confirm();
  const Newer newer = newer_for(agent.ask, board_, board_is_ready(now), plans_, scope);
  if (!newer.any() && now - agent.asked_at < ms(options_.answer_ms)) return;
  const Micros pause = pace_.pause(agents_.size(), agent.ask.name, agent.ask.board);
  if (newer.any() && now - agent.told_at < pause) return step_in(ms(options_.pause_ms));
  const bool waits = newer.any() && must_wait(agent);
  if (waits && now - agent.asked_at < ms(options_.answer_ms)) return step_in(ms(options_.pause_ms));
  const bool tells_core = agent.core_told != core_list_;
  agent.core_told = core_list_;
  agent.asks = false;
  agent.told_at = now;
  agent.wire->send(
      news_.answer(agent.ask, waits ? Newer{} : newer, scope, held, tells_core ? &elsewhere_.core : nullptr));
}

bool DutyHolder::must_wait(const Agent& agent) const {
  // Sums come with a link's first question alone: put off, the whole board would have to be told.
  if (!agent.ask.sums.empty() || !news_.is_whole(agent.ask)) return false;
  std::size_t under_way = 0;
  for (const auto& other : agents_) under_way += other->wire->unsent();
  return under_way > options_.most_under_way;
}

void DutyHolder::pulse() {
  const auto now = steady_now();
  if (holds()) {
    if (!holding().confirmed) source_.confirm();
    read_lists(now);
    step();
    if (board_is_ready(now)) trail_.note(now, {term_, board_.version(), plans_.version()});
    log_agents_behind(now);
  }
  if (common::logs(common::Level::debug) && now - shown_at_ >= 1'000'000) {
    shown_at_ = now;
    const auto most = placement_.busiest();
    common::debug("busiest", {{"function", most.service},
                              {"calls_per_s", std::to_string(static_cast<int>(most.rate))},
                              {"instances", std::to_string(most.instances)},
                              {"homes", std::to_string(most.homes)}});
  }
  pulse_timer_.expires_after(std::chrono::milliseconds(options_.pulse_ms));
  pulse_timer_.async_wait([this, term = term_, alive = std::weak_ptr<int>(alive_)](net::Fault fault) {
    if (!fault && !alive.expired() && term == term_) pulse();
  });
}

void DutyHolder::read_lists(Micros now) {
  const double per_s = std::max(0.1, settings_.rate_per_s * options_.share_of_rate);
  if (!listing_ && now >= list_at_) {
    listing_ = true;
    const double span_s = static_cast<double>(pages_) / (per_s * (1 - kMachinesShare));
    list_at_ = now + slow_down_ * std::max(ms(options_.list_ms), static_cast<Micros>(span_s * 1e6));
    provider_.instances([this, now, term = term_](const ProviderResult<Listing>& result) {
      if (term != term_) return;
      listing_ = false;
      if (!result) {
        const bool too_many = result.error().trouble == ProviderTrouble::too_many;
        if (too_many) slow_down_ = std::min(2 * slow_down_, kMostSlowDown);
        else list_at_ = std::min(list_at_, steady_now() + kListAgain);
        common::debug("no list of instances", {{"why", result.error().what}});
        return;
      }
      slow_down_ = std::max(1u, slow_down_ / 2);
      pages_ = std::max<std::size_t>(1, result.value().pages);
      autoscaler_->listed(steady_now(), now, result.value().instances);
      step();
    });
  }
  if (!counting_ && now >= machines_at_) {
    counting_ = true;
    machines_at_ =
        now + std::max(ms(options_.machines_ms), static_cast<Micros>(1e6 / (per_s * kMachinesShare)));
    provider_.machines(
        [this, now, term = term_](const ProviderResult<std::vector<autoscaler::Machine>>& result) {
          if (term != term_) return;
          counting_ = false;
          if (!result) {
            machines_at_ = std::min(machines_at_, steady_now() + 3 * kListAgain);
            common::debug("no list of machines", {{"why", result.error().what}});
            return;
          }
          autoscaler_->machines(steady_now(), now, result.value());
          step();
        });
  }
}

void DutyHolder::send(const autoscaler::Order& order) {
  auto on = [this, term = term_, ticket = order.ticket](const ProviderResult<Begun>& result) {
    answered(term, ticket, result);
  };
  if (order.start) provider_.begin(order, std::move(on));
  else provider_.stop(order.id, std::move(on));
}

void DutyHolder::answered(std::uint64_t term, std::uint64_t ticket, const ProviderResult<Begun>& result) {
  if (term != term_) return;
  const auto now = steady_now();
  if (result) {
    autoscaler_->answered(now, ticket, autoscaler::Outcome::done, result.value().id, result.value().address);
  } else {
    const auto& fault = result.error();
    if (fault.trouble == ProviderTrouble::fenced)
      common::warning("the provider doesn't take this holder's call", {{"why", fault.what}});
    autoscaler_->answered(now, ticket, outcome_of(fault.trouble));
  }
  step();
}

}  // namespace woadridge::controller
