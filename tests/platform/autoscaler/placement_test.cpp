#include "autoscaler/placement.h"

#include <map>
#include <random>
#include <set>

#include "common/homes.h"

// Last: its macros for new and delete break the standard library's headers.
#include <CppUTest/TestHarness.h>

using namespace woadridge;

TEST_GROUP(Placement) {
  autoscaler::Placement placement;
  std::map<std::string, std::string> board;  // instance -> home, as told
  std::vector<common::Peer> all_peers;
  Micros now = 1'000'000;

  void peers(int count) {
    std::vector<common::Peer> all;
    for (int n = 0; n < count; ++n) all.push_back({"p" + std::to_string(n), "a", ""});
    all_peers = all;
    placement.present(all);
    placement.peers(all, 50);
  }
  void start(const std::string& id) {
    common::Instance instance;
    instance.id = id;
    instance.service = "f";
    placement.place(now, instance);
    board[id] = instance.home;
  }
  // So many calls a second for a while; the most moves in any second.
  std::size_t pass(int calls_per_s, int seconds) {
    std::size_t most = 0;
    for (int s = 0; s < seconds; ++s) {
      std::size_t moved = 0;
      for (int n = 0; n < 10; ++n) {
        common::Report report;
        report.demand.push_back({"f", static_cast<std::uint32_t>(calls_per_s / 10), 0, 0, 0, 0, 0, 0});
        placement.told(now, report);
        for (const auto& [id, home] : placement.moves(now)) {
          if (board[id] != home.name) ++moved;
          board[id] = home.name;
          if (!home.waits_for.empty()) placement.released(id, home.waits_for);
        }
        now += 100'000;
      }
      most = std::max(most, moved);
    }
    return most;
  }
  std::size_t homes() {
    std::set<std::string> all;
    for (const auto& [id, home] : board) all.insert(home);
    return all.size();
  }
};

TEST(Placement, OneHomeIsTheRule) {
  peers(9);
  for (int n = 0; n < 4; ++n) start("i" + std::to_string(n));
  pass(40, 5);
  LONGS_EQUAL(1, homes());
  const auto first = common::homes("f", all_peers).front();
  STRCMP_EQUAL(all_peers[first].name.c_str(), board["i0"].c_str());
}

TEST(Placement, MoreCallsThanOneBearsGetMoreHomesStepByStepAndKeepThemInALull) {
  peers(9);
  for (int n = 0; n < 8; ++n) start("i" + std::to_string(n));
  pass(40, 2);
  // All are named at once, as the draw may change; then one moves at a time.
  pass(300, 1);
  const auto most = pass(300, 8);
  CHECK(most <= 2);
  LONGS_EQUAL(6, homes());
  start("late");
  CHECK(!board["late"].empty());
  pass(40, 5);
  CHECK(homes() >= 6);
}

TEST(Placement, AHomeThatIsGoneIsReplacedAtOnce) {
  peers(9);
  for (int n = 0; n < 6; ++n) start("i" + std::to_string(n));
  pass(300, 8);
  peers(2);
  pass(300, 1);
  for (const auto& [id, home] : board) CHECK(home == "p0" || home == "p1");
}

// Guards against a new holder that takes every busy function back to one machine.
TEST(Placement, ANewTermKeepsTheHomesThatItIsToldOf) {
  peers(9);
  for (int n = 0; n < 6; ++n) start("i" + std::to_string(n));
  pass(300, 8);
  const auto before = board;
  placement.begin();
  for (const auto& [id, home] : before) placement.held(id, home);
  peers(9);
  for (const auto& [id, home] : before) start(id);
  CHECK(board == before);
  pass(300, 3);
  CHECK(homes() == 6);
}

TEST(Placement, AnInstanceThatMovesWaitsForTheHomeBeforeUntilThatHasStoppedOrIsGone) {
  peers(9);
  for (int n = 0; n < 2; ++n) start("i" + std::to_string(n));
  const auto first = board["i0"];
  std::vector<common::Peer> others;
  for (const auto& peer : all_peers)
    if (peer.name != first) others.push_back(peer);
  placement.peers(others, 50);  // it is told to end, and is linked still
  const auto moves = placement.moves(now);
  UNSIGNED_LONGS_EQUAL(2, moves.size());
  for (const auto& [id, home] : moves) {
    CHECK(home.name != first);
    STRCMP_EQUAL(first.c_str(), home.waits_for.c_str());
  }
  placement.released("i0", "another");
  CHECK(placement.moves(now).empty());
  placement.released("i0", first);
  auto after = placement.moves(now);
  UNSIGNED_LONGS_EQUAL(1, after.size());
  STRCMP_EQUAL("i0", after[0].instance.c_str());
  STRCMP_EQUAL("", after[0].home.waits_for.c_str());
  placement.present(others);
  after = placement.moves(now);
  UNSIGNED_LONGS_EQUAL(1, after.size());
  STRCMP_EQUAL("i1", after[0].instance.c_str());
  STRCMP_EQUAL("", after[0].home.waits_for.c_str());
}

TEST(Placement, WhatANewTermFindsIsNamedOnceTheProxiesAreBack) {
  common::Instance found, own;
  found.service = own.service = "f";
  found.id = "found";
  found.condition = common::Condition::ready;
  own.id = "own";
  own.condition = common::Condition::starting;
  placement.present({{"p0", "a", ""}});
  placement.place(now, found);
  placement.place(now, own);
  STRCMP_EQUAL("", found.home.c_str());
  STRCMP_EQUAL("p0", own.home.c_str());
  placement.held("found", "p1");  // its home comes, and says so
  const auto moves = placement.moves(now);
  UNSIGNED_LONGS_EQUAL(1, moves.size());
  STRCMP_EQUAL("p1", moves[0].home.name.c_str());
  placement.held("found", "p0");  // one that comes late: both would send
  const auto late = placement.moves(now);
  UNSIGNED_LONGS_EQUAL(1, late.size());
  STRCMP_EQUAL("p1", late[0].home.name.c_str());
  STRCMP_EQUAL("p0", late[0].home.waits_for.c_str());
}
