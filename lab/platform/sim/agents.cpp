#include "lab/platform/sim/agents.h"

#include <algorithm>

namespace woadridge::lab::sim {
namespace {

using agent::Millis;
using common::CoreSays;
using controller::Scope;

constexpr std::size_t kMostCut = 16;  // machines that a cut of an agent may hold
constexpr std::uint16_t kPort = 7000;
constexpr Micros kPulse = 100'000, kAnswer = 1'000'000, kProxyComes = 800'000;
constexpr Micros kLongestCut = 25'000'000;
constexpr std::uint64_t kUse = 200;  // of the dice

// A configuration whose content tells its version: a difference applied to another base shows.
std::shared_ptr<const common::Plan> plan_of(common::Version version) {
  common::Plan plan;
  plan.version = version;
  for (int i = 0; i < 3; ++i) {
    common::Route route;
    route.name = "r" + std::to_string(i);
    route.service = "s" + std::to_string(version % (2 + static_cast<common::Version>(i)));
    plan.routes.push_back(route);
  }
  return std::make_shared<const common::Plan>(std::move(plan));
}

}  // namespace

Agents::Agents(World& world, std::size_t count, std::uint64_t seed) : world_(world), dice_(seed, kUse) {
  holders_.resize(World::kMostNodes);  // machines may be replaced by others
  agents_.resize(count);
  for (std::size_t i = 0; i < count; ++i) {
    agents_[i].dice = Dice(seed, kUse + 1, i);
    agents_[i].to_cut.resize(World::kMostNodes);
    agents_[i].from_cut.resize(World::kMostNodes);
    start(i);
    proxy_comes(i, agents_[i].dice.below(kProxyComes / 2));
  }
  for (std::size_t n = 0; n < holders_.size(); ++n) world_.at(world_.now + kPulse, [this, n] { pulse(n); });
  worry();
}

// ---- troubles

void Agents::worry() {
  world_.at(world_.now + 200'000 + dice_.below<Micros>(1'500'000), [this] {
    if (!calm_) {
      const std::size_t i = dice_.below(agents_.size());
      const auto what = dice_.below(10);
      if (what < 5) {
        const auto nodes =
            static_cast<std::uint32_t>(1 + dice_.below(1U << std::min(world_.nodes.size(), kMostCut)));
        const auto ways = dice_.below(3);
        cut(i, nodes, ways != 0, ways != 1, 1'000'000 + dice_.below(kLongestCut));
      } else if (what < 8) {
        restart(i, true, false);
      } else {
        restart(i, what == 9, true);
      }
    }
    worry();
  });
}

void Agents::cut(std::size_t i, std::uint32_t nodes, bool to_core, bool from_core, Micros span) {
  ++cuts_;
  for (std::size_t n = 0; n < std::min(world_.nodes.size(), kMostCut); ++n) {
    if ((nodes >> n & 1U) == 0) continue;
    if (to_core) agents_[i].to_cut[n] = std::max(agents_[i].to_cut[n], world_.now + span);
    if (from_core) agents_[i].from_cut[n] = std::max(agents_[i].from_cut[n], world_.now + span);
  }
}

void Agents::calm() {
  calm_ = true;
  for (auto& agent : agents_) {
    std::fill(agent.to_cut.begin(), agent.to_cut.end(), 0);
    std::fill(agent.from_cut.begin(), agent.from_cut.end(), 0);
    // One that was cut off while all that it knew were replaced has nobody to ask but those in its settings.
    agent.link->seeds(seeds());
  }
}

void Agents::restart(std::size_t i, bool agent, bool proxy) {
  ++restarts_;
  Agent& a = agents_[i];
  if (proxy) a.proxy = {};
  if (agent && proxy) a.highest_term = a.highest_plan = 0;
  a.proxy_known = false;
  if (agent) start(i);
  proxy_comes(i, 20'000 + a.dice.below(kProxyComes / 2));
}

// ---- an agent and its proxy

// That the settings name when they are written.
std::vector<common::Endpoint> Agents::seeds() const {
  std::vector<common::Endpoint> seeds;
  for (std::size_t n = 0; n < std::min<std::size_t>(3, world_.places().size()); ++n)
    seeds.push_back({world_.nodes[world_.places()[n]].ip, kPort});
  return seeds;
}

void Agents::start(std::size_t i) {
  Agent& a = agents_[i];
  ++a.life;
  ++a.wire;
  a.held = {};
  a.link = std::make_unique<agent::Link>(a.dice());
  a.link->seeds(seeds());
  a.link->start(millis(), kProxyComes / 1000);
  run(i);
}

// It says what it holds, and from then on is told what the agent is.
void Agents::proxy_comes(std::size_t i, Micros after) {
  world_.at(world_.now + after, [this, i, life = agents_[i].life] {
    Agent& a = agents_[i];
    if (a.life != life || a.proxy_known) return;
    common::Ask ask;
    ask.term = a.proxy.term;
    ask.board = a.proxy.version;
    ask.plan = a.proxy.plan.version;
    a.proxy_known = true;
    const bool behind = a.held.proxy_holds(ask);
    if (a.held.holds_anything()) feed(i, a.held.whole());
    if (behind) a.link->ask_now(millis());
    run(i);
  });
}

void Agents::run(std::size_t i) {
  using Act = agent::Link::Act;
  Agent& a = agents_[i];
  for (Act act = a.link->tick(millis()); act != Act::nothing; act = a.link->tick(millis())) {
    if (act != Act::ask) ++a.wire;
    if (act != Act::hang_up) ask(i, act == Act::dial ? agent::kConnectLimit : agent::kConnectionSilent);
  }
  const Micros due = std::max(a.link->due() * 1000, world_.now + 1000);
  world_.at(due, [this, i, wake = ++a.wake] {
    if (agents_[i].wake == wake) run(i);
  });
}

void Agents::ask(std::size_t i, Millis silent) {
  Agent& a = agents_[i];
  const auto& board = a.held.board();
  Question question;
  question.wire = a.wire;
  question.ask.name = std::to_string(i);
  question.ask.term = board.term;
  question.ask.board = board.version;
  question.ask.plan = board.plan.version;
  question.ask.seen_term = a.held.seen_term();
  question.ask.seen_plan = a.held.seen_plan();
  const auto to = std::find_if(world_.nodes.begin(), world_.nodes.end(),
                               [&](const auto& node) { return node.ip == a.link->place().ip; });
  if (to == world_.nodes.end()) return;
  const auto n = static_cast<std::size_t>(to - world_.nodes.begin());
  const bool cut = world_.now < std::max(a.to_cut[n], a.from_cut[n]);
  if (cut || world_.nodes[n].gone) ends_in_silence(i, question.wire, silent);
  if (world_.now < a.to_cut[n] || world_.nodes[n].gone) return;
  const Micros takes = 300 + a.dice.below<Micros>(2000);
  world_.at(world_.now + takes, [this, i, n, question] {
    if (!world_.nodes[n].member) {  // nobody listens there
      if (agents_[i].wire != question.wire) return;
      ++agents_[i].wire;
      agents_[i].link->ended(millis());
      return run(i);
    }
    world_.to_node(n, world_.nodes[n].life, [this, i, n, question] { on_ask(n, i, question); });
  });
}

// No sign of life comes over a connection; whatever it brings before keeps it.
void Agents::ends_in_silence(std::size_t i, std::uint64_t wire, Millis after) {
  world_.at(world_.now + after * 1000, [this, i, wire, asked = world_.now] {
    if (agents_[i].wire != wire || agents_[i].heard >= asked) return;
    ++agents_[i].wire;
    agents_[i].link->ended(millis());
    run(i);
  });
}

void Agents::heard(std::size_t i, const CoreSays& says) {
  Agent& a = agents_[i];
  a.heard = world_.now;
  if (const auto* elsewhere = std::get_if<common::Elsewhere>(&says)) {
    ++a.wire;
    a.held.heard_of_term(elsewhere->term);
    a.link->core(elsewhere->core);
    a.link->elsewhere(millis(), elsewhere->holder);
    return run(i);
  }
  const auto& news = std::get<common::News>(says);
  const auto taken = a.held.take(news);
  if (taken.stale) {
    ++a.wire;
    a.link->stale(millis());
    return run(i);
  }
  if (a.proxy_known && taken.feed == agent::HeldState::Feed::as_told) feed(i, news);
  if (a.proxy_known && taken.feed == agent::HeldState::Feed::whole) feed(i, a.held.whole());
  a.link->core(news.core);
  a.link->news(millis(), taken.new_to_us);
  judge(i);
  run(i);
}

void Agents::feed(std::size_t i, const common::News& news) {
  Agent& a = agents_[i];
  const bool gap = a.proxy.lacks_base_of(news);
  a.proxy.apply(news);
  judge(i);
  if (!gap) return;
  a.proxy_known = false;  // it hangs up, and comes again
  proxy_comes(i, 50'000);
}

void Agents::judge(std::size_t i) {
  Agent& a = agents_[i];
  const auto& held = a.held.board();
  const auto same = [](const common::Plan& plan) {
    return plan.version == 0 || plan.routes == plan_of(plan.version)->routes;
  };
  if (!same(held.plan) || !same(a.proxy.plan))
    world_.fail(Rule::agents_keep, "an agent or a proxy holds a configuration that nobody sent");
  // Before its proxy has come an agent that is new knows nothing; what it takes then is asked for anew.
  const bool back = (held.term != 0 && held.term < a.highest_term) ||
                    (held.plan.version != 0 && held.plan.version < a.highest_plan);
  if (a.proxy_known && back) world_.fail(Rule::agents_keep, "an agent goes back");
  a.highest_term = std::max({a.highest_term, a.proxy.term, a.proxy_known ? held.term : 0});
  a.highest_plan = std::max({a.highest_plan, a.proxy.plan.version, a.proxy_known ? held.plan.version : 0});
}

// ---- a core machine that agents ask

Agents::Holder& Agents::holder(std::size_t n) {
  const auto& node = world_.nodes[n];
  Holder& h = holders_[n];
  if (h.life != node.life) {
    h = Holder{};
    h.life = node.life;
  }
  const std::uint64_t term = node.acts ? node.member->term() : 0;
  if (term != 0 && term != h.term) h.board.begin(term);
  h.term = term;
  if (node.version > 0) h.plans.take(plan_of(node.version));
  return h;
}

controller::Holding Agents::holding(std::size_t n) {
  const Holder& h = holder(n);
  const auto& member = *world_.nodes[n].member;
  controller::Holding holding;
  holding.term = h.term;
  holding.leased = member.holds(world_.local(n));
  holding.confirmed = h.confirmed_term == h.term;
  holding.known = world_.nodes[n].version;
  holding.named = member.chain().newest_named();
  return holding;
}

void Agents::on_ask(std::size_t n, std::size_t i, Question question) {
  question.at = world_.local(n);
  holder(n).questions[i] = std::move(question);
  answer(n, i);
}

void Agents::answer(std::size_t n, std::size_t i) {
  Holder& h = holder(n);
  const auto at = h.questions.find(i);
  if (at == h.questions.end()) return;
  const Question& question = at->second;
  const auto& member = *world_.nodes[n].member;
  const controller::Holding held = holding(n);
  const Scope scope = controller::scope_of(held, {question.ask.seen_term, question.ask.seen_plan});
  std::vector<std::string> core;
  for (const auto& m : member.members()) core.push_back(m.ip + ":" + std::to_string(kPort));
  if (scope == Scope::elsewhere) {
    const auto duty = member.duty_known();
    common::Elsewhere elsewhere;
    elsewhere.term = duty ? duty->term : 0;
    const bool other = duty && duty->holder != world_.nodes[n].ip;
    if (other && member.seen(duty->holder, world_.local(n)))
      elsewhere.holder = duty->holder + ":" + std::to_string(kPort);
    elsewhere.core = core;
    say(i, n, question.wire, elsewhere);
    h.questions.erase(at);
    return;
  }
  if (scope == Scope::board_only) confirm(n);
  const auto newer = controller::newer_for(question.ask, h.board, true, h.plans, scope);
  if (!newer.any() && world_.local(n) - question.at < kAnswer) return;
  common::News news = controller::compose(question.ask, newer, h.board, h.plans, scope, held);
  news.core = core;
  if (over(held.term)) world_.fail(Rule::agents_keep, "an agent is answered under a term that is over");
  say(i, n, question.wire, news);
  h.questions.erase(at);
}

void Agents::say(std::size_t i, std::size_t n, std::uint64_t wire, const CoreSays& says) {
  if (world_.now < agents_[i].from_cut[n]) return;
  world_.at(world_.now + 300 + agents_[i].dice.below<Micros>(2000), [this, i, wire, says] {
    if (agents_[i].wire == wire) heard(i, says);
  });
}

void Agents::confirm(std::size_t n) {
  Holder& h = holder(n);
  if (h.confirming) return;
  h.confirming = true;
  world_.read(n, [this, n, life = h.life, term = h.term](bool good) {
    Holder& after = holders_[n];
    if (after.life != life) return;
    after.confirming = false;
    if (good && after.term == term) after.confirmed_term = term;
  });
}

void Agents::pulse(std::size_t n) {
  world_.at(world_.now + kPulse, [this, n] { pulse(n); });
  if (n >= world_.nodes.size()) return;
  const auto& node = world_.nodes[n];
  if (!node.member) return;
  world_.to_node(n, node.life, [this, n] {
    const auto held = holding(n);
    if (controller::may_call_provider(held) && over(held.term))
      world_.fail(Rule::agents_keep, "the provider is called under a term that is over");
    if (held.term != 0 && !held.confirmed) confirm(n);
    for (std::size_t i = 0; i < agents_.size(); ++i) answer(n, i);
  });
}

std::string Agents::lacking() const {
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    const Agent& a = agents_[i];
    const auto who = "agent " + std::to_string(i);
    if (!a.link->linked()) return who + " has no holder";
    if (a.held.board().plan.version < world_.acknowledged()) return who + " has an old configuration";
    if (a.proxy.plan.version < world_.acknowledged()) return who + "'s proxy has an old configuration";
    if (a.held.board().term < world_.terms()) return who + " has the board of an earlier term";
  }
  return {};
}

}  // namespace woadridge::lab::sim
