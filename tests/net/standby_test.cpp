// A dispatcher that staff empty and take back into use; nothing restarts.
#include "../service_rig.h"

namespace woadridge::net::test {
namespace {

const std::string kHealth = "GET /_health HTTP/1.1\r\n\r\n";

class Standby : public OpsTest {
 protected:
  bool healthy() { return ask(kHealth).starts_with("HTTP/1.1 200 "); }
};

TEST_F(Standby, HealthTurnsAtOnceAndBackAgain) {
  start();
  EXPECT_TRUE(healthy());
  EXPECT_TRUE(is_yes(call("POST", "/standby")));
  EXPECT_FALSE(healthy());
  EXPECT_TRUE(is_yes(call("GET", "/status")));
  EXPECT_TRUE(is_yes(call("POST", "/active")));
  EXPECT_TRUE(healthy());
  serve_through(worker_);
}

TEST_F(Standby, BothCallsMayComeAgainInAnyOrder) {
  start();
  EXPECT_TRUE(is_yes(call("POST", "/active")));
  EXPECT_TRUE(healthy());
  for (int i = 0; i < 2; ++i) EXPECT_TRUE(is_yes(call("POST", "/standby")));
  EXPECT_FALSE(healthy());
  for (int i = 0; i < 2; ++i) EXPECT_TRUE(is_yes(call("POST", "/active")));
  EXPECT_TRUE(healthy());
}

TEST_F(Standby, WhatIsOpenIsServedAndItsConnectionClosed) {
  start();
  Peer busy = client();
  Peer w = at_worker(busy, job("1"));
  call("POST", "/standby");
  w.write(taken() + chunk(line("1", "started")) + chunk(done("1", "r")) + "0\r\n\r\n");
  const std::string answer = busy.read_message();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(busy.sees_close());
}

TEST_F(Standby, AJobOnAConnectionThatWasOpenIsStillServed) {
  start();
  Peer kept = client();
  kept.write(kHealth);
  kept.read_message();
  call("POST", "/standby");
  kept.write(job("1"));
  Peer w = worker_.accept();
  serve_one(w);
  EXPECT_TRUE(kept.read_message().starts_with("HTTP/1.1 200 "));
}

TEST_F(Standby, IdleConnectionsAreClosed) {
  start();
  Peer idle = client();
  idle.write(kHealth);
  idle.read_message();
  Peer silent = client();
  call("POST", "/standby");
  EXPECT_TRUE(idle.sees_close());
  EXPECT_TRUE(silent.sees_close());
}

TEST_F(Standby, ItIsNoEndDiscoveryAndFiguresStayLive) {
  start();
  Peer watch = discovery_.accept();
  watch.read_until("\r\n\r\n");
  call("POST", "/standby");
  watch.write(taken() + chunk("{\"index\":2,\"snapshot\":true,\"endpoints\":[{\"name\":\"w\",\"address\":\"" +
                              worker_.address() + "\",\"zone\":\"a\",\"status\":\"ready\"},{\"name\":\"v\"," +
                              "\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"status\":\"draining\"}]}\n"));
  expect_figure("targets", "2");
  call("POST", "/active");
  serve_through(worker_);
  expect_figure("success.safe", "1");
}

TEST_F(Standby, SoonNothingNewIsTakenInHand) {
  start();
  call("POST", "/standby");
  std::vector<Peer> taken_in_hand;  // at a worker that answers none
  std::string refused;
  for (int i = 0; i < 200 && refused.empty(); ++i) {
    Peer peer = client();
    peer.write(job(std::to_string(i)));
    if (peer.has_news(100)) refused = peer.read_message();
    taken_in_hand.push_back(std::move(peer));
  }
  EXPECT_TRUE(refused.starts_with("HTTP/1.1 503 ")) << refused;
}

TEST_F(Standby, AfterTheEndHasBegunThereIsNoWayBack) {
  start();
  Peer busy = client();
  Peer w = at_worker(busy, job("1"));
  call("POST", "/standby");
  end();
  EXPECT_TRUE(is_no(call("POST", "/active")));
  EXPECT_TRUE(is_yes(call("POST", "/standby")));
  w.write(taken() + chunk(done("1", "r")) + "0\r\n\r\n");
  EXPECT_TRUE(busy.read_message().starts_with("HTTP/1.1 200 "));
  await_end();
}

}  // namespace
}  // namespace woadridge::net::test
