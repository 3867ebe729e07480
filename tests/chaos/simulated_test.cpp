// Schedules of faults in simulated time, with fixed seeds: the group's own code, the network, folders and
// clocks are models. The verdict of a seed is the same on every machine.
#include "lab/chaos/simulated.h"

#include <gtest/gtest.h>

namespace woadridge::lab {
namespace {

ChaosScenario short_one(std::uint64_t seed) {
  ChaosScenario s;
  s.seed = seed;
  s.voters = seed % 10 < 6 ? 3 : seed % 10 < 9 ? 5 : 7;
  s.members = s.voters + static_cast<int>(seed % 4);
  s.length = 12'000'000;
  s.calm = 1'000'000;
  s.faults_per_s = 1.2;
  s.most_down = s.voters / 2;
  return s;
}

// CI plays 10,000 more without sanitizers (.ci/run).
class Schedules : public ::testing::TestWithParam<int> {};

TEST_P(Schedules, NoDutyEverHasTwoHoldersAndVotersAgree) {
  std::uint64_t acts = 0;
  for (int i = 0; i < 40; ++i) {
    const ChaosScenario s = short_one(static_cast<std::uint64_t>(GetParam() * 1'000 + i + 1));
    const auto r = play_simulated(s, schedule_of(s));
    acts += r.acts_taken;
    ASSERT_EQ(r.violations, std::vector<std::string>()) << "seed " << s.seed;
    ASSERT_EQ(r.two_holders, 0u) << "seed " << s.seed;
  }
  EXPECT_GT(acts, 1'000u);  // and it was not because nothing happened
}
INSTANTIATE_TEST_SUITE_P(Ten, Schedules, ::testing::Range(0, 10));

TEST(SimulatedChaos, AfterTheFaultsEachDutyHasAHolderAgainWithinTheStatedTime) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    ChaosScenario s = short_one(seed);
    s.length = 30'000'000;
    s.calm = gap_bound(s.times) + 3'000'000;
    s.faults_per_s = 1;
    const auto r = play_simulated(s, schedule_of(s));
    ASSERT_EQ(r.violations, std::vector<std::string>()) << "seed " << seed;
    ASSERT_FALSE(r.spans.empty());
  }
}

// A way takes 1.5 ms at most there and a write 3 ms; the leader itself is among those that leave.
TEST(SimulatedChaos, APlannedHandOverLeavesNoGapAboveTwoRoundTripsAndNoOverlap) {
  constexpr Micros kTwoRoundTrips = 4 * 1'500, kWrite = 3'000;
  int handed_on = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ChaosScenario s = short_one(10);  // three voters, five members
    s.seed = seed;
    s.length = 40'000'000;
    std::vector<ChaosFault> schedule;
    for (int i = 0; i < s.members; ++i)
      schedule.push_back({ChaosKind::terminate, 8'000'000 + i * 5'000'000, 2'000'000, i, 0});
    auto spans = play_simulated(s, schedule).spans;
    std::sort(spans.begin(), spans.end(), [](const auto& a, const auto& b) { return a.from < b.from; });
    std::map<std::string, Micros> until;
    for (const auto& span : spans) {
      if (const auto before = until.find(span.duty); before != until.end()) {
        EXPECT_LE(span.from - before->second, kTwoRoundTrips + kWrite) << span.duty << ", seed " << seed;
        EXPECT_GE(span.from, before->second) << span.duty << ", seed " << seed;
        ++handed_on;
      }
      until[span.duty] = span.to;
    }
  }
  EXPECT_GT(handed_on, 20);
}

TEST(SimulatedChaos, TheSameSeedGivesTheSameRun) {
  const ChaosScenario s = short_one(7);
  const auto a = play_simulated(s, schedule_of(s)), b = play_simulated(s, schedule_of(s));
  EXPECT_EQ(report_json(a, "x", 7), report_json(b, "x", 7));
}

// Two of three voters come back without their folders: nobody can know what they had agreed to, so nobody is
// given anything until staff begin anew. Before that it would have been "as who they were".
TEST(SimulatedChaos, AfterTheLossOfMostFoldersNothingIsGivenOutAnyMore) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ChaosScenario s = short_one(10);
    s.seed = seed;
    s.length = 40'000'000;
    const auto r =
        play_simulated(s, {{ChaosKind::lose_disk, 8'000'000, 500'000, 0, 0},
                           {ChaosKind::lose_disk, 8'100'000, 500'000, static_cast<int>(1 + seed % 2), 0}});
    EXPECT_EQ(r.violations, std::vector<std::string>()) << "seed " << seed;
    ASSERT_FALSE(r.spans.empty());
    for (const auto& span : r.spans) EXPECT_LT(span.from, 9'000'000) << span.duty << ", seed " << seed;
  }
}

TEST(SimulatedChaos, ThreeHundredMembersKeepTheirDutiesThroughFaults) {
  ChaosScenario s;
  s.seed = 3;
  s.voters = 5;
  s.members = 300;
  s.zones = 4;
  s.length = 10'000'000;
  s.calm = 1'000'000;
  s.faults_per_s = 1;
  s.most_down = 2;
  const auto r = play_simulated(s, schedule_of(s));
  EXPECT_EQ(r.violations, std::vector<std::string>());
  EXPECT_GT(r.acts_taken, 500u);
}

TEST(ChaosScenarioFile, WhatIsAtFaultIsNamed) {
  EXPECT_EQ(std::get<std::string>(read_chaos("voters = 4", "c.toml")),
            "c.toml: voters is neither 3 nor 5 nor 7");
  EXPECT_EQ(std::get<std::string>(read_chaos("[faults]\nquake = 1", "c.toml")),
            "c.toml: faults.quake is no kind of fault");
  EXPECT_EQ(std::get<std::string>(read_chaos("sead = 4", "c.toml")),
            "c.toml: sead is unknown or has the wrong type");
}

}  // namespace
}  // namespace woadridge::lab
