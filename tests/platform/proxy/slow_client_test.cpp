// Clients that take their answers slowly (rule LOST): none is cut off while it takes some of it.
#include "front_world.h"

using namespace woadridge;
using namespace woadridge::proxy::played;

namespace {

constexpr std::size_t kAnswer = 4'000'000;               // bytes: more than the system's buffers take
constexpr int kWindow = 16'384;                          // bytes, of the client
constexpr auto kStep = std::chrono::milliseconds(25);    // between two readings of a client
constexpr auto kLimit = std::chrono::milliseconds(600);  // in which a client takes nothing
constexpr auto kSweeps = std::chrono::milliseconds(1'200);

}  // namespace

TEST_GROUP_BASE(SlowClient, FrontWorld) {
  Played one{loop};

  proxy::FrontTimes front_times() const override {
    return {std::chrono::microseconds(kLimit).count()};
  }
  void setup() override {
    FrontWorld::setup();
    one.answers = {
        "HTTP/1.1 200 OK\r\nX-Woadridge-Attempt-Id: {id}\r\nX-Woadridge-Instance-Seal: s.1\r\n"
        "Content-Length: " +
        std::to_string(kAnswer) + "\r\n\r\n" + std::string(kAnswer, 'x')};
    plan_and({at(one, "i-1")});
  }
  std::size_t take(Caller & caller) {
    loop.run_for(kStep);
    return caller.arrived().size();
  }
};

// Guards against a limit of the whole transfer: it cut answers however steadily they were taken.
TEST(SlowClient, AnAnswerThatIsTakenSteadilyComesWhole) {
  Caller slow(loop, port, kWindow);
  slow.send(request("POST /w/x"));
  const auto began = std::chrono::steady_clock::now();
  std::size_t taken = 0;
  while (taken < kAnswer && !slow.is_closed() && std::chrono::steady_clock::now() - began < 4 * kBound)
    taken += take(slow);
  CHECK(taken > kAnswer);
  CHECK(std::chrono::steady_clock::now() - began > kLimit + kSweeps);  // else it shows nothing
}

TEST(SlowClient, AClientThatTakesNothingIsCutOff) {
  Caller stands(loop, port, kWindow);
  stands.send(request("POST /w/x"));
  loop.run_for(kLimit + 2 * kSweeps);
  std::size_t taken = 0;
  for (std::size_t more = take(stands); more > 0; more = take(stands)) taken += more;
  CHECK(taken < kAnswer);
  CHECK(stands.is_closed());
}

// Guards against a process that is told to end and takes an answer which is being written for done.
TEST(SlowClient, AProxyIsBusyUntilTheLastByteIsWritten) {
  Caller slow(loop, port, kWindow);
  slow.send(request("POST /w/x"));
  std::size_t taken = 0;
  for (int n = 0; n < 10; ++n) taken += take(slow);
  LONGS_EQUAL(1, front->busy());
  while (taken < kAnswer && !slow.is_closed()) taken += take(slow);
  loop.run_for(kStep);
  LONGS_EQUAL(0, front->busy());
}
