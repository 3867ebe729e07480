// The judges are proven: each planted fault, in a build of its own, is found by schedules that do no harm to
// the code as it is, and by the name that the pages give it.
#include "duty/planted.h"

#include <gtest/gtest.h>

#include <functional>

#include "lab/chaos/simulated.h"

namespace woadridge::lab {
namespace {

using duty::Planted;
using K = ChaosKind;

struct Drill {
  const char* name;
  Planted fault;
  std::vector<std::string> found_as;  // any of these
  std::map<K, double> weights;
  double faults_per_s = 1;
  int most_down = 1;
  std::function<std::vector<ChaosFault>(int, int, int)>
      schedule;  // of the three voters in some order; none: drawn
};

constexpr Micros kS = 1'000'000;

// While c hears nobody the others go on; then b comes back without its folder, a is away, and c is back.
std::vector<ChaosFault> lost_folder(int a, int b, int c) {
  return {{K::isolate, 3 * kS, 9 * kS, c, 0},    {K::terminate, 5 * kS, 500'000, 3, 0},
          {K::terminate, 8 * kS, 500'000, 4, 0}, {K::lose_disk, 11 * kS, 300'000, b, 0},
          {K::kill, 11'200'000, 15 * kS, a, 0},  {K::terminate, 20 * kS, 500'000, 3, 0},
          {K::terminate, 22 * kS, 500'000, 4, 0}};
}

// b has a new folder that only a can have agreed to; then its old one is put back, beside c that knows of
// nothing.
std::vector<ChaosFault> two_folders(int a, int b, int c) {
  return {{K::isolate, 3 * kS, 13 * kS, c, 0},    {K::lose_disk, 4 * kS, 300'000, b, 0},
          {K::terminate, 9 * kS, 500'000, 3, 0},  {K::terminate, 12 * kS, 500'000, 4, 0},
          {K::set_back, 15 * kS, 500'000, b, 0},  {K::kill, 15 * kS, 12 * kS, a, 0},
          {K::terminate, 22 * kS, 500'000, 3, 0}, {K::terminate, 24 * kS, 500'000, 4, 0}};
}

// What two voters have said they had stood only in their memory.
std::vector<ChaosFault> lost_writes(int a, int b, int c) {
  return {{K::slow_sync, 6 * kS, 8 * kS, a, 0},     {K::slow_sync, 6 * kS, 8 * kS, b, 0},
          {K::slow_sync, 6 * kS, 8 * kS, c, 0},     {K::terminate, 8 * kS, 500'000, 3, 0},
          {K::terminate, 8'300'000, 500'000, 4, 0}, {K::all_down, 9 * kS, 300'000, 0, 0},
          {K::terminate, 18 * kS, 500'000, 3, 0}};
}

const std::vector<Drill>& drills() {
  static const std::vector<Drill> all{
      {"lease counted from the answer",
       Planted::lease_from_answer,
       {"two hold at once"},
       {{K::slow_link, 8}, {K::isolate, 1}, {K::deaf, 1}},
       3,
       1,
       {}},
      {"check only at the timer", Planted::act_on_timer, {"two hold at once"}, {{K::pause, 1}}, 0.5, 1, {}},
      {"fencing number lost at restart",
       Planted::number_restarts,
       {"voters disagree", "number went back", "one number, two holders"},
       {{K::kill, 1}, {K::all_down, 1}},
       0.6,
       1,
       {}},
      {"vote given twice",
       Planted::vote_twice,
       {"two leaders in one term", "voters disagree"},
       {{K::slow_link, 5}, {K::all_down, 2}, {K::kill, 2}},
       2.5,
       1,
       {}},
      {"vote after a disk loss",
       Planted::vote_after_disk_loss,
       {"voters disagree", "one number, two holders", "two leaders in one term", "number went back"},
       {},
       0,
       2,
       lost_folder},
      {"list of an old holder taken",
       Planted::old_holder_taken,
       {"old holder taken"},
       {{K::slow_link, 4}, {K::terminate, 2}, {K::lossy_link, 1}},
       3,
       1,
       {}},
      {"new leader does not wait",
       Planted::no_wait_after_election,
       {"two hold at once"},
       {{K::isolate, 1}, {K::kill, 1}, {K::terminate, 1}},
       1,
       1,
       {}},
      {"leases prolonged without a quorum",
       Planted::keep_without_quorum,
       {"two hold at once"},
       {{K::isolate, 3}, {K::deaf, 2}, {K::halves, 1}},
       1,
       1,
       {}},
      {"answer before it is stored",
       Planted::answer_before_stored,
       {"voters disagree", "one number, two holders", "number went back", "two leaders in one term"},
       {},
       0,
       1,
       lost_writes},
      {"duty given back before it stops",
       Planted::give_before_stop,
       {"two hold at once"},
       {{K::terminate, 1}},
       0.5,
       1,
       {}},
      {"new folder votes at once",
       Planted::admit_at_once,
       {"voters disagree", "one number, two holders", "number went back", "two leaders in one term"},
       {},
       0,
       2,
       two_folders},
      {"session prolonged while it is closed",
       Planted::keep_closing,
       {"two hold at once"},
       {{K::isolate, 3}, {K::pause, 2}, {K::slow_link, 4}},
       2,
       1,
       {}}};
  return all;
}

ChaosReport play(const Drill& d, Planted fault, std::uint64_t seed) {
  duty::planted_now = fault;
  ChaosScenario s;
  s.seed = seed;
  s.voters = 3;
  s.members = 5;
  s.length = 30 * kS;
  s.calm = 4 * kS;
  s.most_down = d.most_down;
  s.faults_per_s = d.faults_per_s;
  s.weights = d.weights;
  const int a = static_cast<int>(seed % 3), b = static_cast<int>((seed + 1 + seed / 3 % 2) % 3);
  const auto r = play_simulated(s, d.schedule ? d.schedule(a, b, 3 - a - b) : schedule_of(s));
  duty::planted_now = Planted::none;
  return r;
}

class PlantedFaults : public ::testing::TestWithParam<std::size_t> {};

TEST_P(PlantedFaults, AreFoundByNameAndTheCodeAsItIsPasses) {
  constexpr std::uint64_t kSeeds = 150;
  const Drill& d = drills()[GetParam()];
  std::string found;
  std::uint64_t seed = 0;
  while (found.empty() && ++seed <= kSeeds) {
    const auto r = play(d, d.fault, seed);
    if (!r.violations.empty()) found = r.violations.front();
    ASSERT_EQ(play(d, Planted::none, seed).violations, std::vector<std::string>())
        << d.name << ", seed " << seed;
  }
  const std::string name = found.substr(0, found.find(':'));
  EXPECT_NE(std::find(d.found_as.begin(), d.found_as.end(), name), d.found_as.end())
      << d.name << ": " << (found.empty() ? "not found" : found);
  std::printf("%s: found with seed %llu: %s\n", d.name, static_cast<unsigned long long>(seed), found.c_str());
}
INSTANTIATE_TEST_SUITE_P(Each, PlantedFaults, ::testing::Range<std::size_t>(0, drills().size()));

}  // namespace
}  // namespace woadridge::lab
