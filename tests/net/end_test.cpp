// A dispatcher that is told to end does, also where its thread is held up.
#include <csignal>
#include <future>

#include "../service_rig.h"

namespace woadridge::net::test {
namespace {

constexpr auto kHeldUp = std::chrono::milliseconds(120);  // longer than any of its timers
constexpr auto kGoesOn = std::chrono::milliseconds(5);
constexpr auto kBound = std::chrono::seconds(10);

void hold_up(int) {
  const timespec span{0, std::chrono::nanoseconds(kHeldUp).count()};
  ::nanosleep(&span, nullptr);
}

class End : public OpsTest {
 protected:
  // Its timers are due together each time that it goes on, so one that is cancelled may fire all the same.
  bool ends_while_held_up() {
    std::signal(SIGUSR1, hold_up);
    start();
    end();
    auto ended = std::async(std::launch::async, [this] { await_end(); });
    const auto until = std::chrono::steady_clock::now() + kBound;
    const auto thread = thread_.native_handle();
    while (std::chrono::steady_clock::now() < until) {
      if (ended.wait_for(kHeldUp + kGoesOn) == std::future_status::ready) return true;
      ::pthread_kill(thread, SIGUSR1);
    }
    return false;
  }
};

}  // namespace

TEST_F(End, ComesThoughATimerFiresAfterItWasCancelled) {
  EXPECT_TRUE(ends_while_held_up());
}

}  // namespace woadridge::net::test
