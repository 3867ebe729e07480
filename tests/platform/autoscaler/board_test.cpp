#include "controller/board.h"

#include <algorithm>
#include <random>

// Last: its macros for new and delete break the standard library's headers.
#include <CppUTest/TestHarness.h>

using namespace woadridge;

TEST_GROUP(Board){};

// A new holder's board differs in a few instances: those who hold the earlier one's come to the same, for
// little.
TEST(Board, ANewTermTellsOnlyTheBucketsThatDiffer) {
  std::mt19937_64 random(3);
  controller::Board before, after;
  before.begin(1);
  after.begin(2);
  after.peers({{"p", "a", "10.0.0.1:1"}});
  for (int n = 0; n < 600; ++n) {
    common::Instance instance;
    instance.id = "i-" + std::to_string(n);
    instance.service = "f" + std::to_string(n % 50);
    instance.condition = common::Condition::ready;
    if (n % 200 != 7) before.change(instance);  // three that only the new one knows,
    if (n % 150 == 9) instance.home = "p";      // four that differ,
    if (n % 300 != 11) after.change(instance);  // two that are gone
  }
  common::Board agent;
  agent.apply(before.since(0, 0));
  const auto news = after.rebase(agent.sums());
  CHECK(!news.whole);
  CHECK(news.buckets.size() <= 9);
  CHECK(news.changed.size() < 120);
  agent.apply(news);
  common::Board whole;
  whole.apply(after.since(0, 0));
  CHECK_EQUAL(2u, agent.term);
  CHECK(whole.instances == agent.instances);
  CHECK(whole.peers == agent.peers);
  // The same once more says nothing, and a stranger's sums get all of it.
  CHECK(after.rebase(agent.sums()).changed.size() < 20);
  CHECK(after.rebase({1, 2, 3}).whole);
}

// Whoever applies the differences, in whatever steps, ends with what one that is told everything holds.
TEST(Board, DifferencesComeToTheSameAsTheWhole) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    controller::Board board;
    std::uint64_t term = 1;
    board.begin(term);
    std::vector<common::Board> agents(4);
    for (int n = 0; n < 2000; ++n) {
      const auto id = "i-" + std::to_string(random() % 40);
      switch (random() % 12) {
        case 0:
          board.peers({{"p" + std::to_string(random() % 3), "a", "10.0.0.1:1"}});
          break;
        case 1:
        case 2:
        case 3:
          board.gone(id);
          break;
        case 4:
          if (random() % 100 == 0) board.begin(++term);
          break;
        default: {
          common::Instance instance;
          instance.id = id;
          instance.condition = static_cast<common::Condition>(random() % 3);
          board.change(instance);
        }
      }
      auto& agent = agents[random() % agents.size()];
      if (random() % 5 == 0 && board.newer_than(agent.term, agent.version))
        agent.apply(board.since(agent.term, agent.version));
    }
    common::Board whole;
    whole.apply(board.since(0, 0));
    for (auto& agent : agents) {
      agent.apply(board.since(agent.term, agent.version));
      CHECK_EQUAL(whole.version, agent.version);
      CHECK(whole.instances == agent.instances);
      CHECK(whole.peers == agent.peers);
      CHECK(!board.newer_than(agent.term, agent.version));
    }
  }
}

TEST(Board, WhoIsTooFarBehindIsToldAll) {
  controller::Board board;
  board.begin(1);
  common::Instance instance;
  instance.id = "kept";
  board.change(instance);
  const auto old = board.version();
  for (int n = 0; n < 5000; ++n) {
    instance.id = "i-" + std::to_string(n);
    board.change(instance);
    board.gone(instance.id);
  }
  CHECK(board.since(1, old).whole);
  CHECK(!board.since(1, board.version() - 10).whole);
  CHECK(board.since(1, board.version() + 1).whole);  // it can't have heard that here
}

TEST(Board, WhatChangedNothingIsNoNews) {
  controller::Board board;
  board.begin(1);
  common::Instance instance;
  instance.id = "i";
  board.change(instance);
  const auto version = board.version();
  board.change(instance);
  board.peers({});
  board.gone("unknown");
  CHECK_EQUAL(version, board.version());
}

// Guards against a new holder that takes an instance from its home by not knowing it.
TEST(Board, AnInstanceWithoutANamedHomeKeepsTheOneBefore) {
  common::Instance instance;
  instance.id = "i";
  instance.home = "p";
  instance.waits_for = "q";
  controller::Board before, after;
  before.begin(1);
  before.change(instance);
  common::Board agent;
  agent.apply(before.since(0, 0));
  instance.home = instance.waits_for = "";
  instance.condition = common::Condition::ready;
  after.begin(2);
  after.change(instance);
  for (const auto& news : {after.rebase(agent.sums()), after.since(0, 0)}) {
    common::Board told = agent;
    told.apply(news);
    STRCMP_EQUAL("p", told.instances.at("i").home.c_str());
    STRCMP_EQUAL("q", told.instances.at("i").waits_for.c_str());
    CHECK(told.instances.at("i").condition == common::Condition::ready);
  }
  after.home("i", "r", "");
  agent.apply(after.since(0, 0));
  STRCMP_EQUAL("r", agent.instances.at("i").home.c_str());
  STRCMP_EQUAL("", agent.instances.at("i").waits_for.c_str());
}

TEST_GROUP(ProxyRoster) {
  controller::ProxyRoster roll;
  common::Ask ask(const char* name, const char* proxy) {
    common::Ask a;
    a.name = name;
    a.zone = "a";
    a.proxy = proxy;
    return a;
  }
};

TEST(ProxyRoster, AnAgentThatComesBackSoonIsNotMissed) {
  roll.asked(1'000'000, ask("p", "1:1"));
  roll.wire_ended(1'100'000, "p");
  CHECK_EQUAL(1, roll.at(1'350'000).size());
  roll.asked(1'380'000, ask("p", "1:1"));
  CHECK_EQUAL(1, roll.at(1'900'000).size());
  roll.wire_ended(2'000'000, "p");
  CHECK_EQUAL(0, roll.at(2'400'000).size());
}

TEST(ProxyRoster, ASilentAgentIsTakenAway) {
  roll.asked(1'000'000, ask("p", "1:1"));
  CHECK_EQUAL(1, roll.at(3'400'000).size());
  CHECK_EQUAL(0, roll.at(3'600'000).size());
}

TEST(ProxyRoster, WhoLeavesOrHasNoProxyIsNoHome) {
  roll.asked(1'000'000, ask("p", "1:1"));
  roll.asked(1'000'000, ask("q", ""));
  CHECK_EQUAL(1, roll.at(1'000'000).size());
  roll.leaving("p");
  CHECK_EQUAL(0, roll.at(1'000'000).size());
  roll.asked(1'100'000, ask("p", "1:1"));  // the question of one that is on its way out
  CHECK_EQUAL(0, roll.at(1'100'000).size());
  roll.asked(1'200'000, ask("p", ""));     // its proxy has ended ...
  roll.asked(1'300'000, ask("p", "1:1"));  // ... and another is there
  CHECK_EQUAL(1, roll.at(1'300'000).size());
}

TEST(ProxyRoster, ProxiesOfAnEarlierTermAreWaitedFor) {
  roll.begin(1'000'000);
  auto first = ask("p", "1:1");
  first.term = 4;
  roll.asked(1'100'000, first);
  CHECK(!roll.settled(1'900'000));
  roll.asked(1'950'000, ask("q", "1:2"));
  CHECK(!roll.settled(2'800'000));
  CHECK(roll.settled(2'960'000));
  roll.asked(3'000'000, ask("r", "1:3"));
  CHECK(roll.settled(3'000'000));
}

TEST(ProxyRoster, AtTheFoundingNobodyIsDisturbed) {
  roll.begin(1'000'000);
  roll.asked(1'500'000, ask("p", "1:1"));
  CHECK(!roll.settled(1'550'000));
  CHECK(roll.settled(1'700'000));
}

TEST(ProxyRoster, AsManyAsTheEarlierListHeldAreWaitedFor) {
  roll.begin(1'000'000, false);
  auto first = ask("p", "1:1");
  first.term = 4;
  first.peers = 3;
  roll.asked(1'100'000, first);
  roll.asked(1'200'000, ask("q", "1:2"));
  CHECK(!roll.settled(4'900'000));
  roll.asked(4'910'000, ask("r", "1:3"));
  CHECK(roll.settled(4'910'000));
}

TEST(ProxyRoster, OneThatIsMissingIsNotWaitedForWithoutEnd) {
  roll.begin(1'000'000, false);
  auto first = ask("p", "1:1");
  first.term = 4;
  first.peers = 3;
  roll.asked(1'100'000, first);
  CHECK(!roll.settled(4'900'000));
  CHECK(roll.settled(5'000'000));
}

// After a loss of all power a small fleet waited a second for proxies that held nothing either.
TEST(ProxyRoster, SomeThatAllBeganAnewAreAllOnceEveryoneHasAsked) {
  roll.begin(1'000'000, false);
  roll.asked(1'100'000, ask("p", "1:1"));
  roll.asked(1'200'000, ask("q", "1:2"));
  roll.asked(1'500'000, ask("r", "1:3"));
  CHECK(!roll.settled(1'740'000));
  CHECK(roll.settled(1'750'000));
}

TEST(ProxyRoster, OneAmongThemThatHoldsABoardIsWaitedWith) {
  roll.begin(1'000'000, false);
  roll.asked(1'100'000, ask("p", "1:1"));
  roll.asked(1'200'000, ask("q", "1:2"));
  auto earlier = ask("r", "1:3");
  earlier.term = 4;
  earlier.peers = 4;
  roll.asked(1'500'000, earlier);
  CHECK(!roll.settled(2'400'000));
  roll.asked(2'500'000, ask("s", "1:4"));
  CHECK(roll.settled(2'500'000));
}

// Guards against a proxy that has begun anew, finds a new holder first and is taken for all there are.
TEST(ProxyRoster, AfterTheFoundingOneThatHoldsNothingIsNotAll) {
  roll.begin(1'000'000, false);
  roll.asked(1'100'000, ask("p", "1:1"));
  CHECK(!roll.settled(1'900'000));
  CHECK(roll.settled(2'100'000));
}
