// What autoscaler does in each single case that it is meant for.
#include <algorithm>
#include <limits>
#include <set>

#include "common/homes.h"
#include "world.h"

// Last: its macros for new and delete break the standard library's headers.
#include <CppUTest/TestHarness.h>

using namespace woadridge;
using namespace woadridge::autoscaler;
using namespace woadridge::autoscaler::tried;

namespace {

const std::vector<common::Peer> kPeers = {
    {"p1", "a", "10.1.0.1:7681"}, {"p2", "b", "10.2.0.1:7681"}, {"p3", "c", "10.3.0.1:7681"}};

common::Report held(const std::string& service, std::uint32_t count, std::uint32_t arrivals) {
  common::Demand demand;
  demand.service = service;
  demand.held = count;
  demand.arrivals = arrivals;
  common::Report report;
  report.demand.push_back(demand);
  return report;
}

std::size_t starts(const World& world, const std::string& service) {
  return static_cast<std::size_t>(
      std::count_if(world.orders.begin(), world.orders.end(),
                    [&](const Order& o) { return o.start && o.service == service; }));
}

void stand_up(World& world) {  // small functions that start within their aim: none of them ahead of demand
  world.fleet(2, 4096);
  for (int n = 0; n < 4; ++n) world.service("f" + std::to_string(n), 128, 900, 1, 1500);
  world.configure(1);
  world.proxies(kPeers);
  world.begin(7);
  world.run(3 * kS);
}

}  // namespace

TEST_GROUP(Autoscaler){};

TEST(Autoscaler, AColdFunctionGetsOneStartHoweverManyReportsTellOfIt) {
  World world(1);
  stand_up(world);
  CHECK_EQUAL(0, world.orders.size());
  for (int n = 0; n < 20; ++n) {
    world.report("p1", held("f0", 1, n == 0 ? 1 : 0));
    if (n == 0) CHECK_EQUAL(1, world.orders.size());  // at once: in the same event
    world.run(world.now + 30 * kMs);
  }
  CHECK_EQUAL(1, starts(world, "f0"));
}

TEST(Autoscaler, AStartingInstanceIsToldAtOnceAndIsReadyWhenAProxyReachesIt) {
  World world(2);
  stand_up(world);
  world.report("p1", held("f0", 1, 1));
  world.run(world.now + 20 * kMs);
  CHECK_EQUAL(1, world.board.size());
  const auto told = world.board.begin()->second;
  CHECK(told.condition == common::Condition::starting);
  CHECK_EQUAL(900, told.up_in_ms);
  common::Report report;
  report.reached.push_back(told.id);
  world.report("p1", report);
  world.run(world.now + 5 * kMs);
  CHECK(world.board.begin()->second.condition == common::Condition::ready);
}

TEST(Autoscaler, AStartWithoutAnswerIsRepeatedWithItsNonceAndNothingStartsTwice) {
  World world(3);
  stand_up(world);
  world.silent = 0.7;
  world.report("p1", held("f0", 1, 1));
  world.run(world.now + 100 * kMs);
  for (int n = 0; n < 60; ++n) {
    world.run(world.now + 100 * kMs);
    if (world.alive("f0") == 0 || world.autoscaler.instances_of("f0") == 0)
      world.report("p1", held("f0", 1, 0));
  }
  CHECK(world.nonces_sent.size() > 1);
  CHECK_EQUAL(1, std::set<std::string>(world.nonces_sent.begin(), world.nonces_sent.end()).size());
  CHECK_EQUAL(1, world.tally.starts);
}

TEST(Autoscaler, AFullMachineIsPassedOver) {
  World world(4);
  stand_up(world);
  world.report("p1", held("f0", 1, 1));
  const auto first = world.orders.back();
  // Before its answer comes back, the provider says that there is no room.
  world.autoscaler.answered(world.now, first.ticket, autoscaler::Outcome::no_room);
  const auto again = world.autoscaler.work(world.now);
  CHECK_EQUAL(1, again.size());
  CHECK(again.front().machine != first.machine);
  CHECK(again.front().nonce != first.nonce);
}

TEST(Autoscaler, FunctionsThatStartTooSlowlyForTheirAimsAreWarmBeforeTheirFirstRequest) {
  World world(5);
  world.fleet(2, 8192);
  for (int n = 0; n < 6; ++n) world.service("slow" + std::to_string(n), 1024, 1400, 8, 400);
  for (int n = 0; n < 6; ++n) world.service("quick" + std::to_string(n), 128, 900, 1, 1500);
  world.configure(1);
  world.proxies(kPeers);
  world.begin(1);
  world.run(8 * kS);
  std::set<std::string> machines;
  for (int n = 0; n < 6; ++n) {
    const auto name = "slow" + std::to_string(n);
    CHECK_EQUAL(1, world.alive(name));
    CHECK_EQUAL(0, world.alive("quick" + std::to_string(n)));
    const auto home = kPeers[common::homes(name, kPeers).front()].zone;
    for (const auto& [id, instance] : world.board)
      if (instance.service == name) STRCMP_EQUAL(home.c_str(), instance.zone.c_str());
  }
  world.request("slow0");  // traffic begins: who isn't called is let go in the end
  world.run(60 * kS);
  for (int n = 1; n < 6; ++n) CHECK_EQUAL(0, world.alive("slow" + std::to_string(n)));
}

TEST(Autoscaler, ManyWhoWaitGetSeveralInstancesAndABriefOverlapGetsNone) {
  World world(6);
  stand_up(world);
  for (int n = 0; n < 40; ++n) world.request("f0", 0.4);
  world.run(world.now + 200 * kMs);
  CHECK(starts(world, "f0") >= 3);
  CHECK(starts(world, "f0") <= 20);
  world.request("f1");
  world.run(world.now + 2 * kS);
  CHECK_EQUAL(1, world.alive("f1"));
  world.request("f1");
  world.request("f1");  // 80 ms later it's its turn
  world.run(world.now + 1 * kS);
  CHECK_EQUAL(1, starts(world, "f1"));
}

TEST(Autoscaler, AJumpOfABusyFunctionIsFollowedWithinASecond) {
  World world(7);
  world.fleet(2, 8192);
  world.service("busy", 1024, 1400, 8, 400, 4000);
  world.configure(1);
  world.proxies(kPeers);
  world.begin(1);
  world.traffic({"busy", 40, 0.09, 0.5, 0.4, 4, 8 * kS, 20 * kS});
  world.run(19 * kS);
  const auto before = world.autoscaler.instances_of("busy");
  CHECK(before >= 1 && before <= 2);
  world.traffic({"busy", 120, 0.09, 0.5, 0.4, 4, 20 * kS, 30 * kS});
  world.run(21 * kS);
  CHECK(world.autoscaler.instances_of("busy") > before);
}

TEST(Autoscaler, IdleInstancesAreKeptForWhatAStartIsWorthAndThenStopped) {
  World world(8);
  stand_up(world);
  world.run(8 * kS);
  world.request("f0");
  world.run(world.now + 2500 * kMs);
  CHECK_EQUAL(1, world.alive("f0"));
  world.run(world.now + 8 * kS);
  CHECK_EQUAL(0, world.alive("f0"));
  CHECK_EQUAL(0, world.board.size());
  CHECK_EQUAL(0, world.tally.stopped_busy);
}

TEST(Autoscaler, NothingIsStoppedInATermsFirstSecondsNorWithoutProxies) {
  World world(9);
  stand_up(world);
  world.request("f0");
  world.run(world.now + 1800 * kMs);
  world.begin(8);  // another holder, which learns of the instance by the list
  const auto from = world.now;
  world.home_reports = false;
  world.run(from + 4900 * kMs);
  CHECK_EQUAL(1, world.alive("f0"));
  CHECK_EQUAL(1, world.autoscaler.instances_of("f0"));
  world.proxies({});
  world.run(from + 20 * kS);
  CHECK_EQUAL(1, world.alive("f0"));  // nobody can say that it's idle
  world.proxies(kPeers);
  world.run(from + 40 * kS);
  CHECK_EQUAL(0, world.alive("f0"));
}

TEST(Autoscaler, AHomeThatChangesGivesItsInstancesAWholeKeep) {
  World world(10);
  stand_up(world);
  world.run(8 * kS);
  world.request("f0");
  world.run(world.now + 3000 * kMs);
  CHECK_EQUAL(1, world.alive("f0"));
  auto peers = kPeers;
  peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(common::homes("f0", kPeers).front()));
  world.proxies(peers);
  world.run(world.now + 2200 * kMs);
  CHECK_EQUAL(1, world.alive("f0"));
}

TEST(Autoscaler, DrainingInstancesAreReplacedAheadOfTheirEnd) {
  World world(11);
  stand_up(world);
  world.traffic({"f0", 4, 0.08, 0.5, 1.5, 8, world.now, 30 * kS});
  world.run(10 * kS);
  const auto machine = world.board.begin()->second.machine;
  world.drain(machine);
  world.run(world.now + 3 * kS);
  bool elsewhere = false;
  for (const auto& [id, instance] : world.board)
    elsewhere |= instance.service == "f0" && instance.machine != machine &&
                 instance.condition == common::Condition::ready;
  CHECK(elsewhere);
  world.run(30 * kS);
  CHECK_EQUAL(0, world.tally.drained_late);
  CHECK_EQUAL(0, world.tally.lost);
}

// An instance that leaves was used again by each new holder for as long as by the first.
TEST(Autoscaler, ALeavingInstanceIsNotUsedAnewByANewHolder) {
  World world(23);
  world.machine("w-1", "a", 128);  // room for no replacement
  world.service("f0", 128, 900, 1, 1500);
  world.configure(1);
  world.proxies(kPeers);
  world.begin(7);
  world.traffic({"f0", 20, 0.02, 0.1, 1.5, 8, world.now, 30 * kS});
  world.run(10 * kS);
  CHECK_EQUAL(1, world.alive("f0"));
  world.drain("w-1");
  world.run(world.now + 3400 * kMs);
  world.begin(8);
  world.run(30 * kS);
  CHECK_EQUAL(0, world.tally.drained_late);
}

// A list that comes late shows nothing of when an instance began to leave.
TEST(Autoscaler, ALeavingInstanceIsUsedNoLongerWhereListsAreSeldomRead) {
  World world(24);
  world.machine("w-1", "a", 128);
  world.service("f0", 128, 900, 1, 1500);
  world.configure(1);
  world.proxies(kPeers);
  world.begin(7);
  world.traffic({"f0", 20, 0.06, 0.1, 1.5, 8, world.now, 30 * kS});
  world.run(10 * kS);
  world.drain("w-1");
  world.run(world.now + 700 * kMs);
  world.frozen_lists = true;  // the calls of all readers together are over the rate
  world.run(world.now + 2300 * kMs);
  world.frozen_lists = false;
  world.run(30 * kS);
  CHECK_EQUAL(0, world.tally.drained_late);
}

TEST(Autoscaler, AMachineThatIsGoneTakesItsInstancesAndTheyAreReplaced) {
  World world(12);
  stand_up(world);
  world.traffic({"f0", 4, 0.08, 0.5, 1.5, 8, world.now, 40 * kS});
  world.run(10 * kS);
  const auto machine = world.board.begin()->second.machine;
  world.crash(machine, 30 * kS);
  world.run(world.now + 4 * kS);
  for (const auto& [id, instance] : world.board) CHECK(instance.machine != machine);
  CHECK(world.autoscaler.instances_of("f0") >= 1);
  world.run(20 * kS);
  CHECK(world.alive("f0") >= 1);
}

TEST(Autoscaler, AnInstanceThatIsReportedLostIsReplacedAtOnceAndStoppedIfItLives) {
  World world(13);
  stand_up(world);
  world.traffic({"f0", 4, 0.08, 0.5, 1.5, 8, world.now, 40 * kS});
  world.run(10 * kS);
  common::Report report;
  for (const auto& [id, instance] : world.board) report.lost.push_back(id);
  const auto orders = world.orders.size();
  world.report("p1", report);
  CHECK(world.orders.size() > orders);
  CHECK(world.orders.back().start);
  world.run(world.now + 10 * kMs);
  for (const auto& id : report.lost) CHECK(!world.board.contains(id));
  world.run(world.now + 12 * kS);
  for (const auto& id : report.lost) {
    const auto is_stop = [&](const Order& o) { return !o.start && o.id == id; };
    CHECK_EQUAL(1, std::count_if(world.orders.begin(), world.orders.end(), is_stop));
  }
}

TEST(Autoscaler, AStartThatNeverComesUpIsStoppedByCall) {
  World world(14);
  stand_up(world);
  world.frozen_lists = true;
  world.home_reports = false;
  world.report("p1", held("f0", 1, 1));
  world.run(world.now + 10 * kS);
  const auto stops =
      std::count_if(world.orders.begin(), world.orders.end(), [](const Order& o) { return !o.start; });
  CHECK_EQUAL(1, stops);
}

TEST(Autoscaler, AnotherTermForgetsAllAndAdoptsWhatTheListShows) {
  World world(15);
  stand_up(world);
  world.request("f0");
  world.run(world.now + 3 * kS);
  const auto id = world.board.begin()->first;
  world.begin(9);
  CHECK(world.autoscaler.changes().changed.empty());
  CHECK_EQUAL(0, world.autoscaler.instances_of("f0"));
  CHECK(!world.autoscaler.knows_instances());
  world.autoscaler.answered(world.now, world.orders.back().ticket, autoscaler::Outcome::done, "i-old",
                            "addr");  // too late
  CHECK_EQUAL(0, world.autoscaler.instances_of("f0"));
  world.run(world.now + kS);
  CHECK(world.board.contains(id));
}

TEST(Autoscaler, InstancesOfAServiceThatLeftThePlanAreStoppedAfterAGrace) {
  World world(16);
  stand_up(world);
  world.traffic({"f0", 4, 0.08, 0.5, 1.5, 8, world.now, 10 * kS});
  world.run(10 * kS);
  CHECK(world.alive("f0") >= 1);
  auto plan = std::make_shared<common::Plan>();
  plan->version = 2;
  world.autoscaler.plan(world.now, plan);
  world.run(world.now + 4 * kS);
  CHECK(world.alive("f0") >= 1);
  world.run(world.now + 6 * kS);
  CHECK_EQUAL(0, world.alive("f0"));
}

TEST(Autoscaler, WhereMemoryIsShortWaitingRequestsComeBeforeIdleInstances) {
  World world(17);
  world.machine("w", "a", 512);
  for (int n = 0; n < 6; ++n) world.service("f" + std::to_string(n), 128, 900, 1, 1500);
  world.configure(1);
  world.proxies(kPeers);
  world.begin(1);
  world.run(7 * kS);
  for (int n = 0; n < 4; ++n) world.request("f" + std::to_string(n));
  world.run(world.now + 3 * kS);
  world.request("f4");
  world.request("f5");
  world.run(world.now + 4500 * kMs);
  CHECK_EQUAL(0, world.tally.lost);
  CHECK_EQUAL(6, world.tally.in_time + world.tally.late);
  CHECK_EQUAL(0, world.tally.no_room);
}

TEST(Autoscaler, CallsStayBelowTheProvidersRate) {
  Policy options;
  Bounds bounds{800 * kMs, 3000 * kMs, 20};
  World world(18, options, bounds);
  world.fleet(4, 9000);
  for (int n = 0; n < 200; ++n) world.service("f" + std::to_string(n), 128, 900, 1, 1500);
  world.configure(1);
  world.proxies(kPeers);
  world.begin(1);
  world.run(3 * kS);
  for (int n = 0; n < 200; ++n) world.request("f" + std::to_string(n));
  const auto before = world.orders.size();
  world.run(world.now + kS);
  CHECK(world.orders.size() - before <= 16);
  world.run(world.now + 20 * kS);
  CHECK(world.tally.starts >= 150);
}

// Guards against numbers that the check of a configuration takes and the holder can't work with: whatever one
// function asks for, the others are served.
TEST(Autoscaler, AFunctionWithTheLeastOrTheLargestNumbersHoldsUpNoOther) {
  constexpr std::uint32_t kMost = std::numeric_limits<std::uint32_t>::max();
  constexpr unsigned kCases = 32;
  for (unsigned chosen = 0; chosen < kCases; ++chosen) {
    const auto number = [chosen](unsigned bit) { return (chosen & (1u << bit)) != 0 ? kMost : 1u; };
    World world(chosen + 1);
    world.fleet(2, 4096);
    world.service("plain", 128, 900, 1, 1500);
    world.service("odd", number(0), number(1), number(2), number(3), number(4));
    world.configure(1);
    world.proxies(kPeers);
    world.begin(7);
    world.run(3 * kS);
    world.report("p1", held("odd", 40, 4000));
    world.traffic({"plain", 4, 0.08, 0.5, 1.5, 8, world.now, 8 * kS});
    world.run(15 * kS);
    CHECK_EQUAL(0, world.tally.lost);
    CHECK(starts(world, "plain") > 0);
  }
}
