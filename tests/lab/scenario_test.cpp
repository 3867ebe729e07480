// Reading of scenarios, sizes, the histogram and comparisons.
#include "lab/scenario.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

#include "lab/histogram.h"
#include "lab/sweep.h"
#include "tests/lab/rig.h"

namespace woadridge::lab::test {
namespace {

std::vector<std::string> faults_of(const std::string& text, const std::vector<Setting>& settings = {}) {
  std::vector<std::string> told;
  const auto read = read_scenario(text, "s.toml", settings);
  if (const auto* faults = std::get_if<std::vector<Fault>>(&read))
    for (const auto& f : *faults) told.push_back(f.where + ": " + f.what);
  return told;
}

TEST(ScenarioFile, EveryFaultIsToldWithItsPlace) {
  const auto told = faults_of(
      "length = 30\n[fleet]\nworkers = 0\nwrokers = 3\n[[troubles]]\nkind = \"dye\"\nat = \"1 fortnight\"\n");
  ASSERT_EQ(told.size(), 6u);
  EXPECT_EQ(told[0], "s.toml:1:10: length: expected a span from 1ms to 86400s, such as \"250ms\"");
  EXPECT_EQ(told[1], "s.toml:3:11: fleet.workers: expected a whole number from 1 to 100000");
  EXPECT_EQ(told[2].substr(0, 46), "s.toml:4:1: unknown key \"fleet.wrokers\"; known");
  EXPECT_EQ(told[3], "s.toml:5:1: troubles.0.share: expected whom it strikes: share, worker, zone or group");
  EXPECT_EQ(told[4].substr(0, 54), "s.toml:6:8: troubles.0.kind: expected one of die, hang");
  EXPECT_EQ(told[5].substr(0, 22), "s.toml:7:6: troubles.0");
}

TEST(ScenarioFile, ATroubleMustSayWhomItStrikesAndForHowLong) {
  const auto told = faults_of(
      "[[troubles]]\nkind = \"slow\"\n[[troubles]]\nkind = \"flood\"\ntenant = \"nobody\"\nfor = \"1s\"\n");
  ASSERT_EQ(told.size(), 3u);
  EXPECT_NE(told[0].find("expected whom it strikes"), std::string::npos);
  EXPECT_NE(told[1].find("expected how long it lasts"), std::string::npos);
  EXPECT_NE(told[2].find("one of the scenario's tenants"), std::string::npos);
}

TEST(ScenarioFile, WhatIsNotTomlIsToldWithItsPlace) {
  const auto told = faults_of("length = \"1s\"\n[fleet\n");
  ASSERT_EQ(told.size(), 1u);
  EXPECT_EQ(told[0].substr(0, 9), "s.toml:2:");
}

TEST(ScenarioFile, KeysAreSetFromOutsideThroughTablesAndLists) {
  const Scenario s = scenario_from("[[classes]]\nname = \"a\"\n",
                                   {{"classes.0.share", "2.5"}, {"fleet.workers", "7"}, {"policy", "least"}});
  EXPECT_EQ(s.classes[0].share, 2.5);
  EXPECT_EQ(s.fleet.workers, 7);
  EXPECT_EQ(s.policy, Policy::least);
  EXPECT_EQ(faults_of("", {{"classes.0.share", "1"}}).size(), 1u);
  EXPECT_EQ(faults_of("", {{"fleet.workers", "[1"}}).size(), 1u);
}

TEST(Draws, SizesHaveTheMeanThatIsAskedFor) {
  for (const auto kind : {Sizes::Kind::fixed, Sizes::Kind::exponential, Sizes::Kind::pareto,
                          Sizes::Kind::lognormal, Sizes::Kind::table}) {
    Sizes size;
    size.kind = kind;
    size.mean = 50'000;
    size.shape = kind == Sizes::Kind::pareto ? 1.8 : 1;
    size.ratio = 1000;
    size.values = {1, 2, 6};
    Stream random(7, "sizes");
    double sum = 0;
    for (int i = 0; i < 200'000; ++i) sum += size.draw(random);
    EXPECT_NEAR(sum / 200'000 / 50'000, 1, 0.03) << static_cast<int>(kind);
  }
}

TEST(Draws, AreTheSameOnEveryMachine) {  // figures written down once; another one here means another world
  Stream random(1, "fleet");
  EXPECT_EQ(random.bits(), 7574653035590660997u);
}

TEST(HistogramOfTimes, QuantilesAreOffByLessThanAHundredth) {
  Histogram h, left, right;
  std::vector<std::int64_t> all;
  Stream random(3, "histogram");
  for (int i = 0; i < 50'000; ++i) {
    const auto v = static_cast<std::int64_t>(random.exponential(1e6));
    all.push_back(v);
    h.add(v);
    (i % 3 == 0 ? left : right).add(v);
  }
  std::sort(all.begin(), all.end());
  for (const double q : {0.0, 0.1, 0.5, 0.9, 0.99, 0.9999}) {
    const auto exact = static_cast<double>(all[static_cast<std::size_t>(q * 50'000)]);
    EXPECT_LE(std::abs(static_cast<double>(h.quantile(q)) - exact), 0.005 * exact) << q;
  }
  left.merge(right);
  EXPECT_EQ(left.counts(), h.counts());
  EXPECT_EQ(Histogram().quantile(0.5), 0);
}

TEST(Comparison, TellsADifferenceFromTheSpreadOfTheSeeds) {
  const auto sweep_of = [](std::vector<double> values) {
    const Interval m = median_of(values);
    return Json{
        {"woadridge_lab_sweep", 1},
        {"scenario", "s"},
        {"vary", Json::array()},
        {"cells",
         {{{"at", Json::array()},
           {"figures",
            {{"p99_ms", {{"median", m.median}, {"low", m.low}, {"high", m.high}, {"values", values}}}}}}}}};
  };
  std::string wrong;
  EXPECT_NE(compare(sweep_of({10, 11, 12, 13, 14}), sweep_of({11, 12, 13, 14, 15}), wrong)
                .find("within the spread"),
            std::string::npos);
  EXPECT_NE(compare(sweep_of({10, 11, 12, 13, 14}), sweep_of({20, 21, 22, 23, 24}), wrong).find("DIFFERS"),
            std::string::npos);
  EXPECT_EQ(compare(Json::object(), Json::object(), wrong), "");
  EXPECT_EQ(wrong, "expected two reports or two sweeps");
}

TEST(Sweep, PlaysTheGridAndTheSameTwiceWithAnyNumberOfThreads) {
  SweepOptions options;
  options.vary = {{"traffic.load", {"0.3", "0.9"}}, {"policy", {"module", "random"}}};
  options.settings = {{"length", "5s"}};
  options.seeds = 2;
  const auto one = std::get<Json>(sweep(scenario_file("calm"), options));
  options.jobs = 4;
  EXPECT_EQ(one.dump(), std::get<Json>(sweep(scenario_file("calm"), options)).dump());
  ASSERT_EQ(one["cells"].size(), 4u);
  EXPECT_EQ(one["cells"][3]["series"], "policy=random");
  options.vary = {{"traffic.laod", {"1"}}};
  EXPECT_TRUE(std::holds_alternative<std::vector<Fault>>(sweep(scenario_file("calm"), options)));
}

}  // namespace
}  // namespace woadridge::lab::test
