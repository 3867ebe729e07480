// Whole virtual runs: the same bytes with any number of threads, planted bugs found, and waits that agree
// with the closed forms of queueing theory.
#include <cmath>
#include <set>

#include "lab/page.h"
#include "tests/lab/rig.h"

namespace woadridge::lab::test {
namespace {

std::string bytes(const Scenario& s, int jobs) {
  RunOptions options;
  options.jobs = jobs;
  const std::vector<Played> runs{play_virtual(s, s.policy, options)};
  return report_of(s, "virtual", runs).dump(1) + events_csv(runs[0].result.records);
}

TEST(VirtualRun, GivesTheSameBytesWithOneThreadAndWithEight) {
  const Scenario s = shipped("large", {{"dispatchers", "24"}, {"fleet.workers", "30"}, {"length", "20s"}});
  const std::string once = bytes(s, 1);
  EXPECT_EQ(once, bytes(s, 8));
  EXPECT_EQ(once, bytes(s, 3));
  Scenario other = s;
  other.seed += 1;
  EXPECT_NE(once, bytes(other, 1));
}

TEST(VirtualRun, TheModuleKeepsTheRulesOnEveryShippedScenario) {
  for (const char* name :
       {"calm", "release", "mass-death", "flood", "slow-tenth", "partition", "odd-workers", "restarts"}) {
    const Verdict v = played(shipped(name));
    EXPECT_TRUE(v.kept()) << name << ": " << (v.breaches.empty() ? "" : v.breaches[0].what);
    EXPECT_EQ(v.keys_run_twice, 0u) << name;
  }
}

TEST(VirtualRun, StoppedHalfWayItIsPartialAndStillJudged) {
  std::atomic<bool> stop = false;
  RunOptions options;
  options.stop = &stop;
  options.progress = [&](double part) { stop = part > 0.3; };
  const Scenario s = shipped("calm");
  const RunResult result = run_virtual(s, Policy::module, options);
  EXPECT_TRUE(result.partial);
  EXPECT_FALSE(result.records.asks.empty());
  EXPECT_TRUE(judge(rules_for(s, 0), result.records).kept());
}

// ---- planted bugs ----

TEST(PlantedBug, AKeyedJobSentToAnotherGroupIsFound) {
  const Scenario s = shipped("calm");
  RunOptions options;
  options.tamper = [](Micros, DispatcherId, const Event& event, std::vector<Action>& actions) {
    if (!std::holds_alternative<Arrival>(event) || std::get<Arrival>(event).class_name != "batch") return;
    for (const auto& a : std::vector<Action>(actions))
      if (const auto* send = std::get_if<Send>(&a)) {
        const int number = std::stoi(send->worker.substr(2));
        actions.push_back(Send{send->id, "w-000" + std::to_string((number + 5) % 10), 0});
      }
  };
  const Verdict v = played(s, options);
  EXPECT_GT(v.counts[2], 0u);
  EXPECT_GT(v.keys_run_twice, 0u);
  EXPECT_EQ(v.counts[3], 0u);
}

TEST(PlantedBug, ASendAfterTheGraceIsFound) {
  const Scenario s = shipped("release");
  std::map<std::pair<DispatcherId, WorkerId>, Micros> told;
  RunOptions options;
  options.tamper = [&](Micros now, DispatcherId d, const Event& event, std::vector<Action>& actions) {
    if (const auto* list = std::get_if<WorkerList>(&event))
      for (const auto& w : list->workers) {
        if (w.phase == Phase::draining) told.emplace(std::pair(d, w.id), now);
        else told.erase({d, w.id});
      }
    for (auto& a : actions)
      if (auto* send = std::get_if<Send>(&a))
        for (const auto& [key, at] : told)
          if (key.first == d && now >= at + s.limits.drain_grace + kMs) send->worker = key.second;
  };
  EXPECT_GT(played(s, options).counts[3], 0u);
}

TEST(PlantedBug, ASecondAnswerIsFound) {
  RunOptions options;
  options.tamper = [](Micros, DispatcherId, const Event& event, std::vector<Action>& actions) {
    if (const auto* o = std::get_if<Outcome>(&event); o != nullptr && o->finished)
      actions.push_back(Fail{o->id});
  };
  const Verdict v = played(shipped("calm"), options);
  EXPECT_GT(v.doubled_answers, 0u);
}

TEST(PlantedBug, AnAnswerThatIsNeverGivenIsFound) {
  RunOptions options;
  options.tamper = [](Micros, DispatcherId, const Event&, std::vector<Action>& actions) {
    std::erase_if(actions, [](auto& a) {
      return std::holds_alternative<Refuse>(a) || std::holds_alternative<Fail>(a);
    });
  };
  EXPECT_GT(played(shipped("flood"), options).lost, 0u);
}

TEST(PlantedBug, AllJobsForTheNewestWorkerAreFoundAndPushItOver) {
  std::map<WorkerId, Micros> started;
  RunOptions options;
  options.tamper = [&](Micros now, DispatcherId, const Event& event, std::vector<Action>& actions) {
    if (const auto* list = std::get_if<WorkerList>(&event))
      for (const auto& w : list->workers)
        if (w.started > 0 && w.phase == Phase::serving) started[w.id] = w.started;
    for (auto& a : actions)
      if (auto* send = std::get_if<Send>(&a))
        for (const auto& [id, at] : started)
          if (now - at < 2 * kSecond) send->worker = id;
  };
  EXPECT_GT(played(shipped("release"), options).counts[4], 0u);
}

// ---- closed forms ----

// Mean wait at one worker that is sent all at once, in units of the mean job.
double mean_wait(int slots, double load, const std::string& size) {
  const Scenario s = scenario_from(
      "length = \"1200s\"\ndispatchers = 1\npolicy = \"least\"\n[fleet]\nworkers = 1\nqueue = "
      "1000000\nprogress_every = \"0s\"\n"
      "kinds = [{ slots = " +
      std::to_string(slots) +
      " }]\n[network]\nlocal = \"1us\"\nnear = \"1us\"\nfar = \"1us\"\njitter = 0\n"
      "[traffic]\nload = " +
      std::to_string(load) +
      "\n[[classes]]\nname = \"job\"\ndeadline = \"600s\"\nsize = { mean = \"20ms\", " + size + " }\n");
  const RunResult r = run_virtual(s, Policy::least, {});
  double wait = 0;
  for (const auto& a : r.records.asks) wait += static_cast<double>(a.answered - a.due) - a.work;
  return wait / static_cast<double>(r.records.asks.size()) / 20'000;
}

// Erlang's C formula over c (1 - load): the mean wait of M/M/c in units of the mean job.
double erlang_wait(int c, double load) {
  const double a = c * load;
  double term = 1, sum = 1;
  for (int k = 1; k < c; ++k) sum += term *= a / k;
  const double last = term * a / c / (1 - load);
  return last / (sum + last) / (c * (1 - load));
}

TEST(ClosedForms, OneServerWithExponentialJobs) {
  EXPECT_NEAR(mean_wait(1, 0.5, "kind = \"exponential\""), 1.0, 0.05);
  EXPECT_NEAR(mean_wait(1, 0.7, "kind = \"exponential\"") / (0.7 / 0.3), 1.0, 0.05);
}

TEST(ClosedForms, SeveralServersWithExponentialJobs) {
  EXPECT_NEAR(mean_wait(2, 0.7, "kind = \"exponential\"") / erlang_wait(2, 0.7), 1.0, 0.05);
  EXPECT_NEAR(mean_wait(4, 0.8, "kind = \"exponential\"") / erlang_wait(4, 0.8), 1.0, 0.05);
}

TEST(ClosedForms, OneServerWithOtherJobs) {  // Pollaczek and Khinchine
  EXPECT_NEAR(mean_wait(1, 0.7, "kind = \"fixed\"") / (0.7 / 0.3 / 2), 1.0, 0.05);
  const double lognormal = 0.7 * std::exp(0.8 * 0.8) / (2 * 0.3);
  EXPECT_NEAR(mean_wait(1, 0.7, "kind = \"lognormal\", shape = 0.8") / lognormal, 1.0, 0.05);
}

// ---- pages ----

TEST(ReportPage, DrawsARunAndSaysWhatWasBroken) {
  const Scenario s = shipped("mass-death", {{"length", "20s"}});
  std::vector<Played> runs{play_virtual(s, s.policy, {})};
  EXPECT_NE(report_page(report_of(s, "virtual", runs)).find("all four rules kept"), std::string::npos);
  runs[0].verdict.counts[2] = 1;
  runs[0].verdict.breaches.push_back({2, "request <1>"});
  const std::string page = report_page(report_of(s, "virtual", runs));
  EXPECT_NE(page.find("rules broken"), std::string::npos);
  EXPECT_NE(page.find("request &lt;1&gt;"), std::string::npos);
  EXPECT_EQ(page.find("<script"), std::string::npos);
  EXPECT_EQ(page.find("http"), std::string::npos);
}

}  // namespace
}  // namespace woadridge::lab::test
