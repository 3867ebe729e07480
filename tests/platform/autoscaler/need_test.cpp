#include "autoscaler/need.h"

#include <chrono>
#include <limits>

// Last: its macros for new and delete break the standard library's headers.
#include <CppUTest/TestHarness.h>

using namespace woadridge;
using namespace woadridge::autoscaler;

namespace {

Reading steady(double rate, double work_s, double spread) {
  Reading reading;
  reading.rate = reading.long_rate = rate;
  reading.work_s = work_s;
  reading.spread = spread;
  return reading;
}

}  // namespace

TEST_GROUP(Need) {
  const Prices prices;
  const Trade small{0.125, 0.9, 1, 1.5, 8}, large{1, 1.4, 8, 0.4, 4};
};

TEST(Need, OneSlotThatIsHalfFullOfMixedWorkDeservesASecond) {
  CHECK_EQUAL(2, worth_keeping(prices, small, steady(2.8, 0.18, 4.9), 1.25));
  CHECK_EQUAL(1, worth_keeping(prices, small, steady(0.8, 0.18, 4.9), 1.25));
  CHECK_EQUAL(1, worth_keeping(prices, small, steady(3, 0.08, 0.3), 1.25));
}

TEST(Need, NeverFewerSlotsThanWork) {
  for (double load = 0.5; load < 100; load *= 1.3) {
    const auto count = worth_keeping(prices, large, steady(load / 0.09, 0.09, 0.3), 1);
    CHECK(count * 8 > load);
    CHECK(count * 8 < load * 1.6 + 16);
  }
}

TEST(Need, WhatStartsWithinItsAimMayBeCold) {
  CHECK(share_late_cold(small, 0.08) < 0.2);
  CHECK(share_late_cold(large, 0.08) > 0.99);
  CHECK(cost_of_cold(prices, large, steady(10, 0.09, 0.3)) >
        5 * cost_of_cold(prices, small, steady(0.2, 0.1, 1)));
}

TEST(Need, TheFirstThatWaitsGetsOneAndTheNextFewShareIt) {
  auto reading = steady(0, 0.08, 0.3);
  reading.held = 1;
  CHECK_EQUAL(1, worth_starting(prices, small, reading, 0, 0, 0.9));
  CHECK_EQUAL(0, worth_starting(prices, small, reading, 0, 1, 0.9));
  CHECK_EQUAL(0, worth_starting(prices, small, reading, 1, 0, 0.9));
  reading.held = 4;
  CHECK_EQUAL(1, worth_starting(prices, small, reading, 0, 0, 0.9));
  CHECK_EQUAL(0, worth_starting(prices, small, reading, 1, 0, 0.9));
  reading.held = 60;
  CHECK(worth_starting(prices, small, reading, 1, 0, 0.9) >= 2);
}

// Guards against a holder that counts up to a concurrency which stands for "no limit": it held the strand up
// for seconds, or for ever.
TEST(Need, ManySlotsAreReckonedAtOnce) {
  constexpr std::uint32_t kMost = std::numeric_limits<std::uint32_t>::max();
  const auto began = std::chrono::steady_clock::now();
  auto reading = steady(1000, 0.5, 1);
  reading.held = 60;
  reading.pressed = 600;
  for (const std::uint32_t slots : {1'000'000u, kMost / 2, kMost / 2 + 1, kMost}) {
    Trade trade = large;
    trade.slots = slots;
    CHECK_EQUAL(1, worth_keeping(prices, trade, reading, 1.25));
    CHECK_EQUAL(0, worth_starting(prices, trade, reading, 2, 2, 0.9));
  }
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(1));
}

TEST_GROUP(DemandEstimate){};

TEST(DemandEstimate, AJumpShowsSoonAndGoesSlowlyAndChanceDoesNot) {
  autoscaler::DemandEstimate gauge;
  const auto tell = [&](Micros now, std::uint32_t arrivals) {
    common::Demand demand;
    demand.service = "f";
    demand.arrivals = demand.ended = arrivals;
    demand.work_us = 80'000ull * arrivals;
    gauge.tell(now, "p", demand);
  };
  Micros now = 100'000'000;
  const auto since = now;
  for (int n = 0; n < 40; ++n) tell(now += 250'000, 5);  // 20 a second
  CHECK(gauge.read(now, since, 0.1).rate > 17);
  CHECK(gauge.read(now, since, 0.1).rate < 26);
  DOUBLES_EQUAL(0.08, gauge.read(now, since, 0.1).work_s, 0.005);
  for (int n = 0; n < 4; ++n) tell(now += 250'000, 15);
  CHECK(gauge.read(now, since, 0.1).rate > 40);
  for (int n = 0; n < 12; ++n) tell(now += 250'000, 5);
  CHECK(gauge.read(now, since, 0.1).rate > 23);
  now += 60'000'000;
  tell(now, 1);
  tell(now + 100'000, 1);
  CHECK(gauge.read(now + 100'000, since, 0.1).rate < 1);
}
