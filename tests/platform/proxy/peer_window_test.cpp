#include "proxy/peer_window.h"

#include <CppUTest/TestHarness.h>

using namespace woadridge;

namespace {

constexpr Micros kUsual = 100'000;
constexpr Micros kSlow = 1'000'000;

}  // namespace

TEST_GROUP(PeerWindow) {
  proxy::PeerWindow window{4};
  Micros now = 10'000'000;

  void answer(Micros took, bool served = true) {
    window.begin();
    now += took;
    window.ended(now, took, served);
  }
};

TEST(PeerWindow, HasRoomForAsManyAsItsSize) {
  for (int n = 0; n < 4; ++n) {
    CHECK(window.has_room());
    window.begin();
  }
  CHECK_FALSE(window.has_room());
  window.ended(now, kUsual, true);
  CHECK(window.has_room());
}

TEST(PeerWindow, GrowsByOneForAWindowOfPromptAnswers) {
  for (int n = 0; n < 4; ++n) answer(kUsual);
  CHECK(window.size() > 4.8 && window.size() <= 5);
}

TEST(PeerWindow, IsHalvedByASlowAnswerAndByARefusal) {
  answer(kUsual);
  const double before = window.size();
  answer(kSlow);
  DOUBLES_EQUAL(before / 2, window.size(), 0.001);
  now += kSlow;
  answer(kUsual, false);
  DOUBLES_EQUAL(before / 4, window.size(), 0.001);
}

// They were sent before it could take the first one's word.
TEST(PeerWindow, IsHalvedOnceForAllThatWereOutTogether) {
  answer(kUsual);
  const double before = window.size();
  for (int n = 0; n < 3; ++n) window.begin();
  now += kSlow;
  for (int n = 0; n < 3; ++n) window.ended(now, kSlow, true);
  DOUBLES_EQUAL(before / 2, window.size(), 0.001);
}

TEST(PeerWindow, WhatWaitsHasAnAnswersTimeAndATurnForEachBeforeIt) {
  LONGS_EQUAL(0, window.expected_wait());
  answer(kUsual);
  const auto alone = window.expected_wait();
  CHECK(alone > kUsual);
  window.waiting.push_back(std::make_shared<proxy::Call>());
  CHECK(window.expected_wait() > alone);
}
