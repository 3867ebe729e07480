// Where the list tells what each worker holds at once: the slots are counted, never guessed, and what can't
// be served in its time is told so at once.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "../rig.h"

namespace woadridge::test {
namespace {

Settings told_settings() {
  Settings s;
  s.seed = 11;
  s.tells_slots = true;
  s.weights = Weights::none;
  s.may_hold_off = true;
  s.max_hold_off = 2 * kSecond;
  s.tick = 2 * kMs;
  s.connect_timeout = 250 * kMs;
  const auto add = [&s](const char* name, Effect effect, int attempts) {
    ClassSettings c;
    c.name = name, c.effect = effect, c.aim = 500 * kMs, c.deadline = 5 * kSecond, c.late_worth = 0.5;
    c.max_attempts = attempts;
    s.classes.push_back(c);
  };
  add("safe", Effect::safe, 3);
  add("unsafe", Effect::unsafe, 2);
  return s;
}

std::vector<WorkerInfo> told(int n, double slots) {
  std::vector<WorkerInfo> list;
  for (int i = 0; i < n; ++i) {
    list.push_back(worker(std::string("w").append(std::to_string(i))));
    list.back().slots = slots;
  }
  return list;
}

// Serves what is sent after the run that its hint names, in virtual time; `begin` is when each was sent.
struct Fleet {
  explicit Fleet(int workers, double slots, const Settings& s = told_settings()) : rig(s) {
    rig.workers(told(workers, slots));
  }
  RequestId ask(Micros run, Micros ttl = 5 * kSecond, const char* name = "safe") {
    const auto id = rig.ask(name, run, ttl);
    runs[id] = run;
    asked[id] = rig.now;
    take();
    return id;
  }
  void until(Micros at) {
    while (true) {
      Micros next = at;
      for (const auto& t : rig.timers) next = std::min(next, t.at);
      if (!ends.empty()) next = std::min(next, ends.top().first);
      rig.pass(std::max<Micros>(0, next - rig.now));
      take();
      if (!ends.empty() && ends.top().first <= rig.now) {
        const auto id = ends.top().second;
        ends.pop();
        rig.end(id, Result::ok);
        take();
      } else if (next >= at) {
        return;
      }
    }
  }
  void take() {
    for (; seen < rig.log.size(); ++seen)
      if (const auto* s = std::get_if<Send>(&rig.log[seen])) {
        began[s->id] = rig.now;
        ends.emplace(rig.now + runs[s->id], s->id);
      }
  }
  Rig rig;
  std::map<RequestId, Micros> runs, asked, began;
  using End = std::pair<Micros, RequestId>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::size_t seen = 0;
};

TEST(ToldSlots, AreNeverExceededWhateverHappens) {
  for (unsigned seed = 1; seed <= 30; ++seed) {
    std::mt19937 draw(seed);
    const auto one_of = [&](std::size_t n) { return static_cast<std::size_t>(draw() % n); };
    auto settings = told_settings();
    settings.seed = seed;
    Rig rig(settings);
    auto list = told(1 + static_cast<int>(one_of(5)), 1);
    std::map<WorkerId, double> slots;
    const auto tell = [&] {
      for (auto& w : list) slots[w.id] = w.slots;
      rig.workers(list);
    };
    for (auto& w : list) w.slots = 1 + static_cast<double>(one_of(4));
    tell();
    std::map<WorkerId, double> out, most;
    std::vector<std::pair<RequestId, int>> open;
    std::map<RequestId, int> tries;
    std::size_t seen = 0;
    std::size_t sent = 0;
    const auto take = [&] {
      for (; seen < rig.log.size(); ++seen)
        if (const auto* s = std::get_if<Send>(&rig.log[seen])) {
          ASSERT_LE(out[s->worker] + 1, slots[s->worker]) << "seed " << seed;
          out[s->worker] += 1;
          open.emplace_back(s->id, tries[s->id]++);
          ++sent;
        }
    };
    for (int step = 0; step < 1500; ++step) {
      const auto what = one_of(20);
      if (what < 9) {
        const Micros hint = one_of(8) == 0 ? 1500 * kMs : 80 * kMs;
        rig.ask(one_of(2) ? "safe" : "unsafe", hint, 3 * kSecond);
      } else if (what < 16 && !open.empty()) {
        const auto which = one_of(open.size());
        const auto [id, attempt] = open[which];
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(which));
        out[rig.sends(id)[static_cast<std::size_t>(attempt)].worker] -= 1;
        constexpr Result ends[] = {Result::ok,        Result::ok,     Result::ok,
                                   Result::full,      Result::broken, Result::no_connection,
                                   Result::never_sent};
        rig.end(id, ends[one_of(7)], attempt);
      } else if (what == 16) {
        rig.give(ClientLeft{1 + one_of(rig.last_id + 1)});
      } else if (what == 17) {
        if (one_of(10) == 0) rig.give(Change{settings}), tell();
        else tell();
      } else {
        rig.pass(static_cast<Micros>(one_of(300)) * kMs);
      }
      take();
      if (HasFatalFailure()) return;
    }
    EXPECT_GT(sent, 100u);
  }
}

TEST(ToldSlots, AJobThatNeedsTwoWaitsForBoth) {
  Rig rig(told_settings());
  rig.workers(told(1, 2));
  const auto one = rig.ask();
  Arrival two;
  two.id = ++rig.last_id, two.class_name = "safe", two.time_left = 5 * kSecond, two.hint = 100 * kMs;
  two.slots = 2;
  rig.give(two);
  EXPECT_TRUE(rig.sends(two.id).empty());
  rig.serve(one);
  EXPECT_EQ(rig.sends(two.id).size(), 1u);
}

TEST(ToldSlots, AllAreUsedFromTheFirstMomentOn) {
  Rig rig(told_settings());
  rig.workers(told(2, 8));
  for (int i = 0; i < 20; ++i) rig.ask();
  EXPECT_EQ(rig.count<Send>(), 16);
}

TEST(ToldSlots, AFullAnswerIsForgottenInAMomentThoughNoAnswerComes) {
  Rig rig(told_settings());
  rig.workers(told(1, 1));
  rig.serve(rig.ask("safe", 10 * kSecond), 10 * kSecond);  // what is held is looked at seldom
  const auto id = rig.ask("unsafe");
  rig.end(id, Result::full);
  EXPECT_EQ(rig.sends(id).size(), 1u);
  rig.pass(100 * kMs);
  EXPECT_EQ(rig.sends(id).size(), 1u);
  rig.pass(200 * kMs);
  EXPECT_EQ(rig.sends(id).size(), 2u);
  rig.end(id, Result::full, 1);  // its class allows two attempts
  EXPECT_EQ(rig.count<Refuse>(id), 1);
}

// Guards against a bound on turned-away requests that one lasting stranger at an instance uses up alone.
TEST(ToldSlots, AWorkerThatStaysFullIsAskedLessAndLess) {
  Rig rig(told_settings());
  rig.workers(told(1, 1));
  std::map<RequestId, std::size_t> ended;  // attempts that were told full, those sent out of the queue too
  int asked = 0;
  for (int n = 0; n < 500; ++n) {
    if (n % 10 == 0) ended.emplace(rig.ask("unsafe"), 0);
    for (auto& [id, seen] : ended)
      for (; rig.sends(id).size() > seen; ++seen, ++asked) rig.end(id, Result::full, static_cast<int>(seen));
    rig.pass(10 * kMs);
  }
  EXPECT_GE(asked, 3);
  EXPECT_LE(asked, 9);  // in 5 s; with caps of 200 ms alone it was 25
}

TEST(ToldSlots, AfterAFullAnswerAnotherWorkerIsTriedAtOnce) {
  Rig rig(told_settings());
  rig.workers(told(2, 1));
  const auto id = rig.ask("unsafe");
  rig.end(id, Result::full);
  const auto to = rig.sent_to(id);
  ASSERT_EQ(to.size(), 2u);
  EXPECT_NE(to[0], to[1]);
}

TEST(ToldSlots, WhatCannotEndInItsTimeIsRefusedAtOnceWithTheTimeUntilRoom) {
  Fleet f(1, 2);
  for (int i = 0; i < 30; ++i) f.ask(200 * kMs), f.until(f.rig.now + 150 * kMs);
  f.until(f.rig.now + 2 * kSecond);
  std::vector<RequestId> all;
  for (int i = 0; i < 40; ++i) all.push_back(f.ask(200 * kMs, kSecond));
  // Two slots serve ten in a second; the rest learns it now.
  const auto refused = f.rig.count<Refuse>();
  EXPECT_GE(refused, 29);
  EXPECT_LE(refused, 32);
  for (const auto& a : f.rig.log)
    if (const auto* r = std::get_if<Refuse>(&a)) {
      EXPECT_GT(r->hold_off, 600 * kMs);
      EXPECT_LE(r->hold_off, 1100 * kMs);
    }
  const auto short_one = f.ask(200 * kMs, 300 * kMs);
  EXPECT_EQ(f.rig.count<Refuse>(short_one), 1);
  f.until(f.rig.now + 3 * kSecond);
  // What was held was served, late for its aim or not.
  EXPECT_LE(f.rig.count<Refuse>(), refused + 3);
}

TEST(ToldSlots, WorkersThatGoTakeTheHopeOfTheLastWithThem) {
  Fleet f(4, 1);
  for (int i = 0; i < 20; ++i) f.ask(200 * kMs), f.until(f.rig.now + 250 * kMs);
  for (int i = 0; i < 40; ++i) f.ask(200 * kMs, 3 * kSecond);
  EXPECT_EQ(f.rig.count<Refuse>(), 0);
  f.rig.workers(told(1, 1));
  EXPECT_GE(f.rig.count<Refuse>(), 20);
}

TEST(ToldSlots, LatenessAloneRefusesNothingWhileAnAnswerIsStillWorthSomething) {
  Fleet f(1, 1);
  const auto first = f.ask(kSecond);
  const auto second = f.ask(kSecond), third = f.ask(kSecond);
  f.until(f.rig.now + 4 * kSecond);
  for (const auto id : {first, second, third}) EXPECT_EQ(f.rig.sends(id).size(), 1u);
  EXPECT_EQ(f.rig.count<Refuse>(), 0);
}

TEST(ToldSlots, WithNoWorkerThereAllWaitForTheFirstStart) {
  Rig rig(told_settings());
  std::vector<RequestId> all;
  for (int i = 0; i < 10; ++i) all.push_back(rig.ask());
  rig.pass(4900 * kMs);
  EXPECT_EQ(rig.count<Refuse>(), 0);
  rig.workers(told(1, 8));
  EXPECT_EQ(rig.count<Send>(), 8);
  rig.pass(99 * kMs);
  EXPECT_EQ(rig.count<Refuse>(), 2);  // just before their time is up
}

TEST(ToldSlots, ALearntPaceKeepsNoJobFromTheOnlyWorkerThereIs) {
  Rig rig(told_settings());
  const auto list = told(2, 1);
  const auto run = [&](int which, int jobs, Micros span) {
    rig.workers({list[static_cast<std::size_t>(which)]});
    for (int i = 0; i < jobs; ++i) rig.serve(rig.ask("safe", 100 * kMs), span);
  };
  run(0, 40, 100 * kMs);
  run(1, 3, kSecond);
  EXPECT_EQ(rig.sends(rig.ask("safe", 100 * kMs)).size(), 1u);
}

TEST(ToldSlots, ShortJobsDoNotStandBehindLongOnes) {
  Fleet f(4, 1);
  std::mt19937 draw(5);
  std::vector<RequestId> small;
  const Micros end = f.rig.now + 300 * kSecond;
  // 2.5 of 4 slots are in use on average, 1.5 of them by one job in seventeen.
  while (f.rig.now < end) {
    const bool big = draw() % 17 == 0;
    const auto id = f.ask(big ? 1500 * kMs : 80 * kMs);
    if (!big && f.rig.now > end - 200 * kSecond) small.push_back(id);
    const double gap = -std::log((static_cast<double>(draw()) + 1) / 4294967297.0) * 65e3;
    f.until(f.rig.now + static_cast<Micros>(gap));
  }
  f.until(f.rig.now + 5 * kSecond);
  std::size_t slow = 0;
  for (const auto id : small) slow += f.began.contains(id) ? f.began[id] - f.asked[id] > 300 * kMs : 1;
  EXPECT_LT(static_cast<double>(slow), 0.03 * static_cast<double>(small.size()));
}

// A big job finds its own lane's worker busy and the other idle, and goes there; with estimates alike both
// workers are anyone's and the order is that of arrival.
TEST(ToldSlots, EstimatesThatAreAlikeMakeNoJobBig) {
  Fleet f(2, 1);
  for (int i = 0; i < 200; ++i) {
    f.ask(100 * kMs + (i % 10) * kMs);
    if (i % 4 == 3) f.until(f.rig.now + 250 * kMs);
  }
  f.until(f.rig.now + 3 * kSecond);
  std::vector<RequestId> ids;
  for (int i = 0; i < 8; ++i) ids.push_back(f.ask(i % 2 ? 90 * kMs : 109 * kMs));
  f.until(f.rig.now + 2 * kSecond);
  for (std::size_t i = 1; i < ids.size(); ++i) EXPECT_LE(f.began[ids[i - 1]], f.began[ids[i]]) << i;
}

}  // namespace
}  // namespace woadridge::test
