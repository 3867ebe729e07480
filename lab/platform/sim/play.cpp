#include "lab/platform/sim/play.h"

#include <algorithm>
#include <functional>

#include "lab/chaos/tools.h"
#include "lab/platform/sim/agents.h"

namespace woadridge::lab::sim {
namespace {

constexpr Micros kStep = 5'000;
constexpr Micros kSecond = 1'000'000;
constexpr int kResends = 4;

class Calm {
 public:
  Calm(World& world, const Bounds& bounds, std::uint64_t seed, Longest& longest, Agents* agents)
      : world_(world), bounds_(bounds), dice_(seed, 3), longest_(longest), agents_(agents) {}

  // Each step only if all before it came to a good end.
  void judge(bool may_lose_a_disk, Micros letters_late_by) {
    const std::size_t members = world_.places().size();
    world_.calm();
    if (agents_ != nullptr) agents_->calm();
    whole("after the trouble", nullptr);
    if (good()) world_.pass(letters_late_by);  // times are calm once what was held up in the trouble has come
    whole("after the trouble", nullptr);
    for (int i = 0; i < 3; ++i) change();
    if (members > 1) hand_on();
    if (members > 2) take_over();
    if (may_lose_a_disk) {
      lose_a_disk();
      replace_one(false);
      replace_one(true);
    }
    change();
    for (int i = 0; i < kResends; ++i) again();
    for (std::size_t i = 0; i < members && good(); ++i) world_.read(world_.places()[i]);
    if (good()) world_.pass(kSecond);
    for (const std::size_t n : world_.places())
      if (const auto& node = world_.nodes[n]; good() && node.version != world_.acknowledged())
        world_.fail(Rule::whole, node.ip + " does not know the newest configuration in calm times");
  }

 private:
  bool good() const { return !world_.fault(); }

  // Until `done`, at most so long; -1: it was not.
  Micros until(Micros most, const std::function<bool()>& done) {
    const Micros from = world_.now;
    while (good() && world_.now - from <= most) {
      if (done()) return world_.now - from;
      world_.pass(kStep);
    }
    return -1;
  }

  void whole(const char* when, Micros* longest) {
    const Micros took = until(bounds_.whole, [this] { return world_.lacking().empty(); });
    if (good() && took < 0) {
      const bool held = world_.holder().has_value();
      world_.fail(held ? Rule::whole : Rule::held, world_.lacking() + " in calm times " + when);
    }
    if (longest != nullptr) *longest = std::max(*longest, took);
    agents_follow(when);
  }

  void change() {
    if (!good()) return;
    const Micros from = world_.now;
    std::optional<Micros> took;
    world_.put(any(), world_.highest_sent() + 1, [&](bool taken) {
      if (taken) took = world_.now - from;
    });
    until(bounds_.acknowledged, [&took] { return took.has_value(); });
    if (good() && !took) world_.fail(Rule::acknowledged, "a change is not acknowledged in calm times");
    longest_.acknowledged = std::max(longest_.acknowledged, took.value_or(0));
    if (good()) world_.pass(100'000);  // for everybody to hear of it
  }

  void again() {
    if (!good()) return;
    bool answered = false;
    world_.resend(any(), dice_(), [&](bool told) { answered = told; });
    until(bounds_.acknowledged, [&answered] { return answered; });
    if (good() && !answered)
      world_.fail(Rule::acknowledged, "an order sent again is not answered in calm times");
  }

  void another_holds(std::size_t first, Micros most, const char* what, Micros& longest) {
    const Micros took = until(most, [&] { return world_.holder().value_or(first) != first; });
    if (good() && took < 0) world_.fail(Rule::held, what);
    longest = std::max(longest, took);
  }

  void hand_on() {
    if (!good()) return;
    const std::size_t first = *world_.holder();
    world_.leave(first);
    another_holds(first, bounds_.handed_on, "the duty is not handed on by one that ends", longest_.handed_on);
    if (!good()) return;
    world_.stop(first, false);
    world_.start(first);
    whole("after one has ended", nullptr);
  }

  void take_over() {
    if (!good()) return;
    const std::size_t first = *world_.holder();
    world_.stop(first);
    another_holds(first, bounds_.taken_over, "the duty of one that is gone is not taken over",
                  longest_.taken_over);
    if (!good()) return;
    world_.start(first);
    whole("after one has lost power", nullptr);
  }

  void lose_a_disk() {
    if (!good()) return;
    const std::size_t lost = any();
    world_.wipe(lost);
    world_.pass(200'000);
    if (!good()) return;
    world_.start(lost);
    whole("after one has lost its disk", &longest_.whole);
  }

  // Once everybody is whole, and a holder is there for them to find.
  void agents_follow(const char* when) {
    if (agents_ == nullptr || !good()) return;
    const Micros took = until(bounds_.agents_current, [this] { return agents_->lacking().empty(); });
    if (good() && took < 0) world_.fail(Rule::agents_current, agents_->lacking() + " in calm times " + when);
    longest_.agents = std::max(longest_.agents, took);
  }

  // Once the old one goes, or is told to: its silence has to last before its place is given away.
  void replace_one(bool planned) {
    if (!good()) return;
    const std::size_t next = world_.replace(dice_.below(world_.places().size()), planned, kSecond);
    if (good()) world_.pass(kSecond);
    if (!good()) return;
    const Micros took = until(bounds_.replaced, [&] { return !world_.nodes[next].wiped; });
    if (good() && took < 0) world_.fail(Rule::whole, "an empty machine has not taken the place of a member");
    longest_.replaced = std::max(longest_.replaced, took);
    if (good() && planned) world_.pass(2 * kSecond);  // the old one is gone
    whole("after one was replaced", nullptr);
  }

  std::size_t any() { return world_.places()[dice_.below(world_.places().size())]; }

  World& world_;
  const Bounds& bounds_;
  Dice dice_;
  Longest& longest_;
  Agents* agents_;  // none: without agents
};

}  // namespace

Run play(const Scenario& scenario, std::uint64_t seed, const Schedule& schedule) {
  Run run;
  run.seed = seed;
  run.members = scenario.members_of(seed);
  const std::size_t losses = scenario.losses_of(run.members);
  World world(run.members, seed, scenario.lines, losses);
  std::optional<Agents> agents;
  if (scenario.agents > 0) agents.emplace(world, scenario.agents, seed);
  const Micros from = world.now;
  bool troubled = false;
  const auto pass_to = [&](Micros at) {
    if (!world.fault() && from + at > world.now) world.pass(from + at - world.now);
  };
  for (const auto& entry : schedule) {
    if (!troubled && entry.at >= scenario.start) {
      pass_to(scenario.start);
      world.trouble();
      if (agents) agents->trouble();
      troubled = true;
    }
    pass_to(entry.at);
    if (world.fault()) break;
    if (world.apply(entry)) ++run.troubles[entry.kind];
  }
  pass_to(scenario.start + scenario.length);
  if (!world.fault())
    Calm(world, scenario.bounds, seed, run.longest, agents ? &*agents : nullptr)
        .judge(losses > 0, scenario.lines.very_late_by);
  // Judged last: what was lost with it is the graver finding.
  if (!world.fault() && world.orders().forgotten() > 0)
    world.fail(Rule::one_content, "an order is forgotten");
  run.broken = world.fault();
  if (run.broken) {
    run.notes = world.notes();
    run.machines = world.described();
  }
  run.changes = world.changes_good();
  if (agents) run.agent_cuts = agents->cuts(), run.agent_restarts = agents->restarts();
  run.views = world.views();
  run.terms = world.terms();
  run.epochs = world.epoch();
  run.digest = world.digest();
  return run;
}

Schedule shortest(const Scenario& scenario, std::uint64_t seed, const Schedule& schedule, Rule rule) {
  return shorten(schedule, [&](const Schedule& fewer) {
    const auto broken = play(scenario, seed, fewer).broken;
    return broken && broken->rule == rule;
  });
}

}  // namespace woadridge::lab::sim
