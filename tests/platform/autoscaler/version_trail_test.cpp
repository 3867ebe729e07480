#include "controller/version_trail.h"

#include <CppUTest/TestHarness.h>

using woadridge::Micros;
using woadridge::controller::VersionTrail;

TEST_GROUP(VersionTrail) {
  static constexpr Micros kSecond = 1'000'000;
  VersionTrail trail;
};

TEST(VersionTrail, TakesNobodyForBehindWhoLacksWhatIsNew) {
  trail.note(10 * kSecond, {1, 5, 2});
  trail.note(12 * kSecond, {1, 6, 3});
  CHECK_FALSE(trail.is_behind(12 * kSecond, {1, 4, 1}));
  CHECK_FALSE(trail.is_behind(13 * kSecond, {1, 5, 2}));
  CHECK_FALSE(trail.is_behind(15 * kSecond, {2, 0, 3}));
}

TEST(VersionTrail, FindsWhoLacksABoardOrAConfigurationOfSomeTimeAgo) {
  trail.note(10 * kSecond, {1, 5, 2});
  trail.note(12 * kSecond, {1, 6, 3});
  CHECK_TRUE(trail.is_behind(13 * kSecond, {1, 4, 2}));
  CHECK_TRUE(trail.is_behind(13 * kSecond, {1, 5, 1}));
  CHECK_TRUE(trail.is_behind(13 * kSecond, {0, 9, 2}));
  trail.note(15 * kSecond, {1, 6, 3});
  CHECK_TRUE(trail.is_behind(15 * kSecond, {1, 5, 3}));
  CHECK_FALSE(trail.is_behind(15 * kSecond, {1, 6, 3}));
  trail.begin();
  CHECK_FALSE(trail.is_behind(15 * kSecond, {1, 4, 1}));
}
