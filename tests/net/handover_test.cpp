// Two processes of one dispatcher, played by two services on one inherited listener.
#include "net/handover.h"

#include <fcntl.h>

#include "../service_rig.h"

namespace woadridge::net::test {
namespace {

TEST(CheckListening, OnlyAListeningSocketWillDo) {
  Listener listener;
  EXPECT_EQ(check_listening(listener.descriptor()), "");
  const int plain = ::socket(AF_INET, SOCK_STREAM, 0);
  EXPECT_NE(check_listening(plain), "");
  ::close(plain);
  EXPECT_NE(check_listening(plain), "");
  const int file = ::open("/dev/null", O_RDONLY);
  EXPECT_NE(check_listening(file), "");
  ::close(file);
}

TEST(PresenceTest, EachSeesTheOtherAndItsEnd) {
  const Scratch scratch;
  const std::string path = scratch.path() + "/n0.serving";
  Presence one;
  EXPECT_EQ(one.open(path), "");
  EXPECT_FALSE(one.another_is_there());
  {
    Presence other;
    EXPECT_EQ(other.open(path), "");
    EXPECT_TRUE(one.another_is_there());
    EXPECT_TRUE(other.another_is_there());
    EXPECT_FALSE(one.another_serves());
    EXPECT_EQ(other.serve(), "");
    EXPECT_TRUE(one.another_serves());
    EXPECT_FALSE(other.another_serves());
    other.leave();  // lets go of the clients, and is still there
    EXPECT_FALSE(one.another_serves());
    EXPECT_TRUE(one.another_is_there());
  }
  EXPECT_FALSE(one.another_is_there());
  EXPECT_FALSE(one.another_serves());
}

TEST(PresenceTest, WithoutAFileThereIsNobodyElse) {
  Presence none;
  EXPECT_FALSE(none.another_is_there());
  EXPECT_EQ(none.serve(), "");
  EXPECT_NE(none.open("/nowhere/n0.serving"), "");
}

class Upgrade : public OpsTest {
 protected:
  Upgrade() { config_.inherited = ::dup(clients_.descriptor()); }
  ~Upgrade() override { stop_next(); }

  void start_next(bool with_list = true) {
    Config config = config_;
    config.inherited = ::dup(clients_.descriptor());
    next_.emplace(config, source_);
    ASSERT_EQ(next_->open(), "");
    next_ops_ = next_->ops_port();
    next_thread_ = std::thread([this] { next_->run(); });
    if (with_list) tell_next();
  }
  void tell_next() {  // the second watch: it goes on from what it knows
    Peer watch = discovery_.accept();
    watch.read_until("\r\n\r\n");
    watch.write(taken() + chunk("{\"index\":1,\"snapshot\":false,\"endpoints\":[]}\n"));
    watches_.push_back(std::move(watch));
  }
  void start_first() {
    start();
    tell_next();
  }
  void stop_next() {
    if (!next_thread_.joinable()) return;
    next_->end();
    next_thread_.join();
  }
  std::string call_next(const std::string& method, const std::string& path) {
    std::swap(ops_, next_ops_);
    const std::string answer = call(method, path);
    std::swap(ops_, next_ops_);
    return answer;
  }
  void await_yes() {
    const auto latest = std::chrono::steady_clock::now() + std::chrono::milliseconds(kPatienceMs);
    while (!is_yes(call_next("GET", "/status")) && std::chrono::steady_clock::now() < latest)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    EXPECT_TRUE(is_yes(call_next("GET", "/status")));
  }
  void await_disabled(const std::string& value) {  // at the process that started later
    const auto latest = std::chrono::steady_clock::now() + std::chrono::milliseconds(kPatienceMs);
    const auto stands = [&] {
      return call_next("GET", "/status/metrics").find("edge_edge.targets_disabled:" + value + "|") !=
             std::string::npos;
    };
    while (!stands() && std::chrono::steady_clock::now() < latest)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    EXPECT_TRUE(stands());
  }

  Listener clients_;
  std::optional<Service> next_;
  std::thread next_thread_;
  std::uint16_t next_ops_ = 0;
  std::vector<Peer> watches_;
};

TEST_F(Upgrade, ADescriptorThatDoesNotListenIsAFault) {
  ::close(*config_.inherited);
  config_.inherited = ::open("/dev/null", O_RDONLY);
  service_.emplace(config_, source_);
  EXPECT_TRUE(service_->open().starts_with("EDGE_INHERITED_FD "));
  ::close(*config_.inherited);
}

TEST_F(Upgrade, AProcessAloneServesAtOnceOnWhatItInherits) {
  start_first();
  EXPECT_EQ(port_, clients_.port());
  EXPECT_TRUE(is_yes(call("GET", "/status")));
  serve_through(worker_);
}

TEST_F(Upgrade, TheNewOneSaysYesOnceItHasTheListAndTheOldOneGoesOnUntilThen) {
  start_first();
  start_next(false);
  EXPECT_TRUE(is_no(call_next("GET", "/status")));
  serve_through(worker_);
  tell_next();
  await_yes();
}

TEST_F(Upgrade, ANewOneThatGoesAwayLeavesTheOldOneServing) {
  start_first();
  start_next(false);
  EXPECT_TRUE(is_no(call_next("GET", "/status")));
  stop_next();
  serve_through(worker_);
  EXPECT_TRUE(is_yes(call("GET", "/status")));
}

TEST_F(Upgrade, TheOldOneAnswersWhatItHasAndNothingThatWaitsIsLost) {
  start_first();
  Peer busy = client();
  Peer w = at_worker(busy, job("1"));
  Peer idle = client();
  idle.write("GET /_health HTTP/1.1\r\n\r\n");
  idle.read_message();
  start_next();
  await_yes();
  end();
  EXPECT_TRUE(idle.sees_close());
  // From here on the old one takes nobody in: this comes to the new one, whenever it came to the backlog.
  Peer late = client();
  late.write(job("2"));
  Peer v = worker_.accept();
  serve_one(v, "new");
  EXPECT_TRUE(late.read_message().ends_with("new"));
  w.write(taken() + chunk(done("1", "old")) + "0\r\n\r\n");
  EXPECT_TRUE(busy.read_message().ends_with("old"));
  EXPECT_TRUE(busy.sees_close());
  await_end();  // at once, as nothing is open
  thread_ = {};
  Peer after = client();
  after.write("GET /_health HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(after.read_message().starts_with("HTTP/1.1 200 "));
}

TEST_F(Upgrade, BansHoldAtBothAndAreEndedAtEither) {
  start_first();
  EXPECT_TRUE(is_yes(call("POST", "/maintenance/enter/w")));
  start_next();
  await_yes();
  await_disabled("1");  // set before
  EXPECT_TRUE(is_yes(call_next("POST", "/maintenance/exit/w")));
  expect_figure("targets_disabled", "0");
  EXPECT_TRUE(is_yes(call("POST", "/maintenance/enter/w")));  // during
  await_disabled("1");
  end();
  await_end();
  thread_ = {};
  EXPECT_TRUE(is_yes(call_next("POST", "/maintenance/exit/w")));  // and after
  await_disabled("0");
}

}  // namespace
}  // namespace woadridge::net::test
