// Real processes of the program with faults between them, fixed seeds. Judged by order and number: which
// holder's acts receivers have taken, and whether all is well again in the end. No time is asserted.
#include <gtest/gtest.h>

#include "../net_rig.h"
#include "lab/chaos/rig.h"

namespace woadridge::lab {
namespace {

class ChaosOfProcesses : public ::testing::TestWithParam<int> {};

TEST_P(ChaosOfProcesses, NoDutyHasTwoHoldersAndAllIsWellInTheEnd) {
  const int seed = GetParam();
  ChaosScenario s;
  s.name = "ci";
  s.seed = static_cast<std::uint64_t>(seed);
  s.voters = seed % 5 == 0 ? 5 : 3;
  s.members = s.voters + 2;
  s.workers = 6;
  s.length = 16'000'000;
  s.calm = 2'000'000;
  s.faults_per_s = 0.7;
  s.most_down = s.voters / 2;
  s.times.probe_workers = 500'000;
  const net::test::Scratch scratch;
  RigOptions options;
  options.program = WOADRIDGE_PLANTED_PROGRAM;
  options.folder = scratch.path() + "/run";
  const auto r = play_processes(s, schedule_of(s), options);
  EXPECT_EQ(r.violations, std::vector<std::string>());
  EXPECT_EQ(r.two_holders, 0u);
  EXPECT_EQ(r.no_verdict, "");
  EXPECT_GT(r.acts_taken, 50u);
  EXPECT_FALSE(r.faults.empty());
}
INSTANTIATE_TEST_SUITE_P(Ten, ChaosOfProcesses, ::testing::Range(1, 11));

}  // namespace
}  // namespace woadridge::lab
