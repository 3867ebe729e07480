#include <cstdlib>

#include "handover_world.h"

// Last: its macros for new and delete break the standard library's headers.
#include <CppUTest/TestHarness.h>

using namespace woadridge;
using handover::kMs;
using handover::kSecond;
using handover::World;

namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr std::size_t kProxies = 6, kInstances = 8;

template <class Scene>
void each_seed(const Scene& scene) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    World world(seed, kProxies, kInstances);
    world.run(5 * kSecond);
    world.turned_away = 0;
    scene(world, seed);
    UNSIGNED_LONGS_EQUAL(0, world.turned_away);
    CHECK(world.served > 0);
  }
}

}  // namespace

TEST_GROUP(HomeHandover){};

// Guards against a new home that begins while the old one hasn't heard of it.
TEST(HomeHandover, AProxyThatIsToldLateIsNoSecondSender) {
  each_seed([](World& world, std::uint64_t) {
    world.slow(0, {500 * kMs, 2500 * kMs});
    world.slow(1, {500 * kMs, 2500 * kMs});
    world.calls_per_s = 300;  // more than one home bears: instances move to others
    world.run(10 * kSecond);
  });
}

// Guards against a holder that gives away the instances of a proxy whose agent hasn't found it yet.
TEST(HomeHandover, ANewHolderMakesNoSecondSenderOfWhoLinksLate) {
  each_seed([](World& world, std::uint64_t) {
    world.calls_per_s = 300;
    world.run(10 * kSecond);
    for (int n = 0; n < 3; ++n) {
      world.new_holder(3 * kSecond);
      world.run(8 * kSecond);
    }
  });
}

// Guards against a proxy that takes itself for the only one before it was told of any other.
TEST(HomeHandover, AProxyThatStartsAnewSendsNothingBeforeItKnowsTheOthers) {
  each_seed([](World& world, std::uint64_t seed) {
    world.restart(seed % kProxies);
    world.new_holder(1500 * kMs);
    world.run(8 * kSecond);
  });
}

TEST(HomeHandover, AProxyThatIsToldToEndHandsItsInstancesOn) {
  each_seed([](World& world, std::uint64_t seed) {
    world.calls_per_s = 300;
    world.run(10 * kSecond);
    world.slow((seed + 1) % kProxies, {200 * kMs, 1500 * kMs});
    world.stop(seed % kProxies);
    world.run(5 * kSecond);
  });
}
