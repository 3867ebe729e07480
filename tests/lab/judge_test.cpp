// The judge against records written by hand: each rule broken once, and found once.
#include "lab/judge.h"

#include <gtest/gtest.h>

#include "tests/lab/rig.h"

namespace woadridge::lab::test {
namespace {

class Hearing : public ::testing::Test {
 protected:
  Hearing() {
    rules.classes.resize(4);
    rules.classes[1].effect = Effect::keyed;
    rules.classes[1].scope = Scope::group;
    rules.classes[1].memory = 3 * kSecond;
    rules.classes[2].effect = Effect::unsafe;
    rules.classes[3] = rules.classes[1];
    rules.classes[3].scope = Scope::zone;
    rules.drain_grace = kSecond;
    rules.cold_from = 0.5;
    rules.warm_after = 10 * kSecond;
    rules.overload_factor = 2;
    rules.overload_span = kSecond;
    records.workers = {{"w0", "a", 0, "box", 2},
                       {"w1", "a", 0, "box", 2},
                       {"w2", "a", 1, "box", 2},
                       {"w3", "b", 2, "box", 2}};
  }

  Ask& asked(RequestId id, int class_index = 0) {
    Ask a;
    a.request = a.chain = id;
    a.class_index = class_index;
    a.taken = true;
    a.deadline = 5 * kSecond;
    a.answers = 1;
    a.answered = kSecond;
    a.kind = 's';
    records.asks.push_back(a);
    return records.asks.back();
  }
  Sent& sent(RequestId id, int attempt, WorkerIndex worker, Micros at) {
    Sent s{id, attempt, 0, worker, records.asks.back().class_index, at, at, kNever, 1000};
    records.sends.push_back(s);
    return records.sends.back();
  }
  void expect(int rule, std::uint64_t times, const std::string& words = "") {
    const Verdict v = judge(rules, records);
    for (int r = 1; r <= 4; ++r) EXPECT_EQ(v.counts[r], r == rule ? times : 0) << "rule " << r;
    if (times == 0) return;
    ASSERT_FALSE(v.breaches.empty());
    EXPECT_EQ(v.breaches[0].rule, rule);
    EXPECT_NE(v.breaches[0].what.find(words), std::string::npos) << v.breaches[0].what;
  }

  Rules rules;
  Records records;
};

TEST_F(Hearing, FindsNothingInAGoodRun) {
  asked(1);
  sent(1, 0, 0, 10);
  expect(0, 0);
}

TEST_F(Hearing, FindsARequestWithNoAnswer) {
  asked(1).answers = 0;
  records.asks[0].answered = kNever;
  expect(1, 1, "request 0000000000000001: asked at 0.000000 s, no final answer by 5.000000 s");
}

TEST_F(Hearing, OwesNothingToOneThatLeftOrWhoseDispatcherWasKilledOrThatNobodyTook) {
  for (int i = 0; i < 3; ++i) asked(static_cast<RequestId>(i + 1)).answers = 0;
  records.asks[0].left = true;
  records.asks[1].killed = true;
  records.asks[2].taken = false;
  expect(0, 0);
}

TEST_F(Hearing, FindsTwoAnswers) {
  asked(1).answers = 2;
  expect(1, 1, "2 final answers");
}

TEST_F(Hearing, FindsAnAnswerAMicrosecondAfterTheClientGaveUp) {
  asked(1).answered = 5 * kSecond;
  expect(0, 0);
  records.asks[0].answered = 5 * kSecond + 1;
  expect(1, 1, "answered at 5.000001 s");
}

TEST_F(Hearing, FindsWhatNoWorkerMade) {
  asked(1).genuine = false;
  expect(1, 1, "no worker made");
}

TEST_F(Hearing, FindsAnUnsafeRequestSentAgainThoughItMayHaveRun) {
  asked(1, 2);
  sent(1, 0, 0, 10);
  sent(1, 1, 1, 20);
  expect(2, 1, "the class is unsafe");
}

TEST_F(Hearing, LetsAnUnsafeRequestGoOnWhereItProvablyNeverRan) {
  asked(1, 2);
  sent(1, 0, 0, 10).given_back = 15;
  sent(1, 1, 1, 20).received = kNever;  // it never came to that worker
  sent(1, 2, 2, 30);
  expect(0, 0);
  records.sends[0].given_back = 21;  // the proof came after the next send, but that one never arrived
  records.sends[1].received = 20;
  expect(2, 2);  // now both it and the third one were beyond the class: the second may have run
}

TEST_F(Hearing, FindsAKeyedRepeatOutsideItsGroupOrZone) {
  asked(1, 1);
  sent(1, 0, 0, 10);
  sent(1, 1, 1, 20);  // the same group: allowed
  expect(0, 0);
  sent(1, 2, 2, 30);
  expect(2, 1, "attempt 2 sent to w2");
  records.asks[0].class_index = records.sends[0].class_index = records.sends[1].class_index =
      records.sends[2].class_index = 3;
  expect(0, 0);  // by zone it is allowed
  sent(1, 3, 3, 40);
  expect(2, 1, "another zone");
}

TEST_F(Hearing, FindsAKeyedRepeatAMicrosecondAfterItIsForgotten) {
  asked(1, 1);
  sent(1, 0, 0, 10);
  sent(1, 1, 1, 10 + 3 * kSecond);
  expect(0, 0);
  records.sends[1].first_byte += 1;
  expect(2, 1, "forgotten");
}

TEST_F(Hearing, FindsARefusalOfWhatMayHaveRun) {
  asked(1, 1).kind = 'r';
  sent(1, 0, 0, 10);
  expect(2, 1, "refused at 1.000000 s");
  records.sends[0].given_back = 20;
  expect(0, 0);
}

TEST_F(Hearing, FindsASendAMicrosecondAfterTheGrace) {
  asked(1);
  records.told.push_back({0, 1, Phase::draining, 2 * kSecond});
  sent(1, 0, 1, 3 * kSecond);
  expect(0, 0);
  records.sends[0].first_byte += 1;
  expect(3, 1, "sent to w1 at 3.000001 s, told at 2.000000 s that it drains");
  records.sends[0].dispatcher = 1;  // that one was not told
  expect(0, 0);
}

TEST_F(Hearing, CountsTheGraceFromTheFirstWordAndForgetsItWhenTheWorkerIsBack) {
  asked(1);
  records.told.push_back({0, 1, Phase::draining, 2 * kSecond});
  records.told.push_back({0, 1, Phase::gone, 4 * kSecond});
  sent(1, 0, 1, 4 * kSecond + 100);
  expect(3, 1, "told at 2.000000 s");
  records.told.push_back({0, 1, Phase::serving, 4 * kSecond + 50});
  expect(0, 0);
}

TEST_F(Hearing, FindsAColdWorkerGivenTooMuch) {
  asked(1);
  records.starts.push_back({0, kSecond});
  // Half of two cores at the start: 2 s of work in a second at most, and a bit more as it warms.
  sent(1, 0, 0, kSecond).work = 1e6;
  sent(1, 1, 0, kSecond + 10).work = 1e6;
  expect(0, 0);
  sent(1, 2, 0, kSecond + 20).work = 1000;
  expect(4, 1, "w0, started at 1.000000 s");
  records.sends[2].received = 2 * kSecond + 1;  // the first ones have left the span by then
  expect(0, 0);
}

TEST_F(Hearing, DoesNotJudgeWhatWasStillOpenWhenTheRunWasCutShort) {
  asked(1).answers = 0;
  records.end = 4 * kSecond;
  expect(0, 0);
  records.end = 6 * kSecond;
  expect(1, 1);
}

}  // namespace
}  // namespace woadridge::lab::test
