// The decision module's part of maintenance, and what each job keeps of the settings that it came with.
#include <gtest/gtest.h>

#include "rig.h"

namespace woadridge::test {
namespace {

std::vector<WorkerInfo> two() {
  return {worker("v"), worker("w")};
}

TEST(Maintain, ABannedWorkerGetsNothingNewAndKeepsWhatItHas) {
  Rig rig(plain_settings());
  rig.workers({worker("w")});
  const auto there = rig.ask();
  ASSERT_EQ(rig.sent_to(there), (std::vector<WorkerId>{"w"}));
  rig.give(Maintain{"w", true});
  const auto next = rig.ask();
  rig.serve(there);
  rig.pass(100 * kMs);
  EXPECT_TRUE(rig.sends(next).empty());
  rig.workers({worker("w"), worker("v")});
  EXPECT_EQ(rig.sent_to(next), (std::vector<WorkerId>{"v"}));
  EXPECT_EQ(rig.dispatcher.avoided(rig.now), 1u);
}

TEST(Maintain, NeitherListsNorAbsenceNorANewStartEndABan) {
  Rig rig(plain_settings());
  rig.workers(two());
  rig.give(Maintain{"w", true});
  rig.workers({worker("v")});
  auto again = worker("w");
  again.started = rig.now + kSecond;
  rig.now += 2 * kSecond;
  rig.workers({worker("v"), again});
  for (int i = 0; i < 20; ++i)
    for (const auto& to : rig.sent_to(rig.ask("safe", 20 * kMs))) EXPECT_EQ(to, "v");
}

TEST(Maintain, ABanMayComeBeforeTheListAndTwiceAndOneCallBackEndsIt) {
  Rig rig(plain_settings());
  rig.give(Maintain{"w", true});
  rig.give(Maintain{"w", true});
  rig.workers({worker("w")});
  const auto id = rig.ask("safe", 20 * kMs);
  EXPECT_TRUE(rig.sends(id).empty());
  rig.now += 3 * kSecond;
  rig.give(Maintain{"w", false});
  EXPECT_EQ(rig.sent_to(id), (std::vector<WorkerId>{"w"}));  // held until then
  EXPECT_EQ(rig.dispatcher.avoided(rig.now), 0u);
}

// Cold, whatever the late list says: no more than its part of the budget in a span.
TEST(Maintain, AWorkerPutBackIsRampedAsOneThatHasJustStarted) {
  const auto work_sent = [](bool was_out) {
    auto settings = plain_settings();
    Rig rig(settings);
    rig.workers({worker("w")});
    for (int i = 0; i < 40; ++i) rig.serve(rig.ask("safe", 20 * kMs), 20 * kMs);  // speed 1, one slot
    rig.now += 10 * kSecond;
    if (was_out) rig.give(Maintain{"w", true});
    rig.now += 10 * kSecond;
    if (was_out) rig.give(Maintain{"w", false});
    const Micros until = rig.now + kSecond;
    double work = 0;
    while (rig.now < until) {
      rig.now += kMs;
      const auto id = rig.ask("safe", 20 * kMs);
      if (rig.sends(id).empty()) continue;
      work += 0.02;
      rig.end(id, Result::ok);
    }
    return work;
  };
  EXPECT_LE(work_sent(true), 3 * 0.5 * 1.0);  // factor x cold share x a second on one slot of speed 1
  EXPECT_GT(work_sent(true), 0);
  EXPECT_GT(work_sent(false), 3 * 0.5 * 1.0);
}

TEST(Maintain, ACopyIsNotSentToABannedWorkerEither) {
  Rig rig(plain_settings());
  rig.workers(two());
  const auto id = rig.ask();
  const auto first = rig.sent_to(id).at(0);
  const WorkerId other = first == "v" ? "w" : "v";
  rig.give(Maintain{other, true});
  rig.end(id, Result::no_connection);
  rig.pass(kSecond);
  for (const auto& to : rig.sent_to(id)) EXPECT_EQ(to, first);
}

TEST(Maintain, WhoIsJudgedOrBannedIsAvoidedOnceAndWhoDrainsIsNot) {
  Rig rig(plain_settings());
  auto draining = worker("u");
  draining.phase = Phase::draining;
  rig.workers({draining, worker("w")});
  EXPECT_EQ(rig.dispatcher.avoided(rig.now), 0u);
  const auto id = rig.ask();
  rig.end(id, Result::no_connection);  // doubted, then judged at the next
  rig.pass(10 * kMs);
  if (rig.sends(id).size() > 1) rig.end(id, Result::no_connection, 1);
  EXPECT_EQ(rig.dispatcher.avoided(rig.now), 1u);
  rig.give(Maintain{"w", true});
  EXPECT_EQ(rig.dispatcher.avoided(rig.now), 1u);
}

TEST(Change, AJobKeepsTheMostAttemptsThatItCameWith) {
  for (const auto& [before, after] : {std::pair(5, 1), std::pair(1, 5)}) {
    auto settings = plain_settings();
    settings.max_attempts = before;
    Rig rig(settings);
    rig.workers({worker("s"), worker("t"), worker("u"), worker("v"), worker("w"), worker("x")});
    const auto old = rig.ask();
    settings.max_attempts = after;
    rig.give(Change{settings});
    const auto fresh = rig.ask();
    for (int n = 0; n < 5; ++n) {
      for (const auto id : {old, fresh})
        if (rig.sends(id).size() > static_cast<std::size_t>(n)) rig.end(id, Result::full, n);
      rig.pass(10 * kMs);
    }
    EXPECT_EQ(rig.sends(old).size(), static_cast<std::size_t>(before));
    EXPECT_EQ(rig.sends(fresh).size(), static_cast<std::size_t>(after));
  }
}

}  // namespace
}  // namespace woadridge::test
