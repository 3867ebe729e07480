// The figures' text, and each figure of a whole dispatcher against what its peers saw.
#include "net/metrics.h"

#include "../service_rig.h"

namespace woadridge::net::test {
namespace {

TEST(Metrics, ALineAFigure) {
  Metrics m;
  m.of_class("render").success = 812;
  m.of_class("render").overload = 3;
  m.dispatches = 900;
  m.reload_failure = 2;
  EXPECT_EQ(m.text({14, 9, 1}),
            "edge_edge.success.render:812|c\nedge_edge.overload.render:3|c\nedge_edge.error.render:0|c\n"
            "edge_edge.dispatches:900|c\nedge_edge.reload_success:0|c\nedge_edge.reload_failure:2|c\n"
            "edge_edge.concurrent:14|g\nedge_edge.targets:9|g\nedge_edge.targets_disabled:1|g\n");
}

TEST(Metrics, ANameCannotPassForAnotherFigure) {
  Metrics m;
  m.of_class("a:9|c\nedge_edge.concurrent").success = 1;
  EXPECT_TRUE(m.text({}).starts_with("edge_edge.success.a_9_c_edge_edge.concurrent:1|c\n"));
}

class Figures : public OpsTest {};

TEST_F(Figures, EachClassIsThereFromTheStart) {
  start();
  for (const char* name : {"success.safe", "overload.keyed", "error.unsafe", "dispatches", "concurrent",
                           "targets_disabled", "reload_success", "reload_failure"})
    EXPECT_EQ(figure(name), "0") << name;
  EXPECT_EQ(figure("targets"), "1");
}

TEST_F(Figures, AJobServedCountsOnceAndIsOpenUntilThen) {
  start();
  Peer peer = client();
  Peer w = at_worker(peer, job("1"));
  expect_figure("concurrent", "1");
  expect_figure("dispatches", "1");
  EXPECT_EQ(figure("success.safe"), "0");
  w.write(taken() + chunk(done("1", "r")) + "0\r\n\r\n");
  peer.read_message();
  expect_figure("success.safe", "1");
  EXPECT_EQ(figure("concurrent"), "0");
  EXPECT_EQ(figure("error.safe"), "0");
  EXPECT_EQ(figure("overload.safe"), "0");
}

TEST_F(Figures, AnAttemptThatIsSentAgainCountsTwiceAndItsJobOnce) {
  start();
  Peer peer = client();
  Peer w = at_worker(peer, job("1"));
  w.write(taken() + chunk(line("1", "returned")) + "0\r\n\r\n");
  serve_one(w);
  peer.read_message();
  expect_figure("success.safe", "1");
  expect_figure("dispatches", "2");
}

TEST_F(Figures, ATimeOutIsARefusalWhereARetryIsHarmlessAndAnErrorElsewhere) {
  start();
  Peer first = client();
  Peer w = at_worker(first, job("1", "safe", 60));
  EXPECT_TRUE(first.read_message().starts_with("HTTP/1.1 503 "));
  expect_figure("overload.safe", "1");
  Peer second = client();
  second.write(job("2", "unsafe", 60));
  EXPECT_TRUE(second.read_message().starts_with("HTTP/1.1 50"));
  expect_figure("concurrent", "0");
  EXPECT_EQ(std::stoi(figure("overload.unsafe")) + std::stoi(figure("error.unsafe")), 1);
}

TEST_F(Figures, WhatAWorkerRejectsIsAnError) {
  start();
  Peer peer = client();
  Peer w = at_worker(peer, job("1", "unsafe"));
  w.write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 500 "));
  expect_figure("error.unsafe", "1");
}

TEST_F(Figures, AJobWhoseClientLeavesIsNoLongerOpen) {
  start();
  Peer peer = client();
  Peer w = at_worker(peer, job("1"));
  expect_figure("concurrent", "1");
  peer.close();
  expect_figure("concurrent", "0");
}

TEST_F(Figures, AJobTurnedAwayIsAnErrorOfItsClassIfThereIsOne) {
  start();
  EXPECT_TRUE(ask(job("1", "safe", -5)).starts_with("HTTP/1.1 400 "));
  EXPECT_TRUE(ask(job("2", "nobody")).starts_with("HTTP/1.1 400 "));
  EXPECT_TRUE(ask("nonsense\r\n\r\n").starts_with("HTTP/1.1 400 "));
  EXPECT_EQ(figure("error.safe"), "1");
  EXPECT_EQ(figure("error.nobody"), "");
  EXPECT_EQ(figure("concurrent"), "0");
}

TEST_F(Figures, AJobWhoseClientSpeaksOutOfTurnIsAnError) {
  start();
  Peer peer = client();
  Peer w = at_worker(peer, job("1"));
  peer.write("more");
  EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 400 "));
  EXPECT_EQ(figure("error.safe"), "1");
  EXPECT_EQ(figure("concurrent"), "0");
}

TEST_F(Figures, AJudgedWorkerIsDisabledAndStaysATarget) {
  worker_.close();  // nobody there: the attempt is refused, and again
  start();
  EXPECT_TRUE(ask(job("1", "safe", 300)).starts_with("HTTP/1.1 503 "));
  EXPECT_EQ(figure("targets"), "1");
  expect_figure("targets_disabled", "1");
  EXPECT_EQ(figure("dispatches"), "0");  // nothing was written to anybody
}

}  // namespace
}  // namespace woadridge::net::test
