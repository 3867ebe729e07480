// The operators' address: each call has its answer, whatever other callers do.
#include "../service_rig.h"

namespace woadridge::net::test {
namespace {

class AdminCalls : public OpsTest {};

TEST_F(AdminCalls, StatusIsYesOnceWorkersAreKnown) {
  config_.known.entries.clear();
  start();
  EXPECT_TRUE(is_no(call("GET", "/status")));
  Peer watch = discovery_.accept();
  watch.read_until("\r\n\r\n");
  watch.write(taken() + chunk("{\"index\":2,\"snapshot\":true,\"endpoints\":[{\"name\":\"w\",\"address\":\"" +
                              worker_.address() + "\",\"zone\":\"a\",\"status\":\"ready\"}]}\n"));
  expect_figure("targets", "1");
  EXPECT_TRUE(is_yes(call("GET", "/status")));
}

TEST_F(AdminCalls, WhatIsNoCallIsTold) {
  start();
  EXPECT_TRUE(call("GET", "/nothing").starts_with("HTTP/1.1 404 "));
  EXPECT_TRUE(call("POST", "/status").starts_with("HTTP/1.1 405 "));
  EXPECT_NE(call("POST", "/status").find("Allow: GET"), std::string::npos);
  EXPECT_TRUE(call("GET", "/" + std::string(8'000, 'x')).starts_with("HTTP/1.1 431 "));
  Peer nonsense = Peer::connect(ops_);
  nonsense.write("what\r\n\r\n");
  EXPECT_TRUE(nonsense.read_message().starts_with("HTTP/1.1 400 "));
  Peer large = Peer::connect(ops_);
  large.write("POST /status HTTP/1.1\r\nContent-Length: 5000\r\n\r\n");
  EXPECT_TRUE(large.read_message().starts_with("HTTP/1.1 413 "));
}

TEST_F(AdminCalls, ACallMayComeInPiecesAndWhatFollowsItIsDropped) {
  start();
  Peer peer = Peer::connect(ops_);
  peer.write_bytewise("GET /status HTTP/1.1\r\nHost: ops\r\n\r\nGET /status HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(is_yes(peer.read_message()));
  EXPECT_TRUE(peer.sees_close());
}

TEST_F(AdminCalls, JobsAndHealthAreNotServedThereNorCallsToClients) {
  start();
  EXPECT_TRUE(call("GET", "/_health").starts_with("HTTP/1.1 404 "));
  Peer peer = Peer::connect(ops_);
  peer.write(job("1"));
  EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 404 "));
  EXPECT_TRUE(ask("GET /status HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 404 "));
  EXPECT_TRUE(ask("GET /status/metrics HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 404 "));
}

TEST_F(AdminCalls, CallersThatHoldAConnectionMakeRoom) {
  start();
  std::vector<Peer> silent;
  for (std::size_t i = 0; i < 3 * Admin::kMostCallers; ++i) {
    silent.push_back(Peer::connect(ops_));
    if (i % 2 == 0) silent.back().write("GET /status HT");
  }
  EXPECT_TRUE(is_yes(call("GET", "/status")));
  EXPECT_TRUE(silent.front().sees_close());  // the one that has held it longest
}

TEST_F(AdminCalls, ClientsThatUseUpTheirDescriptorsLeaveItAnswering) {
  config_.sockets = 90;
  start();
  std::vector<Peer> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(client());
    crowd.back().write(job(std::to_string(i)));
  }
  EXPECT_TRUE(is_yes(call("GET", "/status")));
  EXPECT_NE(figure("concurrent"), "");
}

TEST_F(AdminCalls, WithoutTheAddressNothingIsOpened) {
  config_.ops.reset();
  start();
  EXPECT_EQ(ops_, 0);
  EXPECT_TRUE(ask("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

TEST_F(AdminCalls, AnAddressThatIsTakenNamesItsSetting) {
  config_.ops = Address{"127.0.0.1", worker_.port()};
  service_.emplace(config_, source_);
  EXPECT_TRUE(service_->open().starts_with("ops 127.0.0.1:"));
}

}  // namespace
}  // namespace woadridge::net::test
