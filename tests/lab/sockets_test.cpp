// The model behind real sockets: what a dispatcher sees of workers and of the list, and short days with real
// dispatcher processes. Only the rules are judged, with the lab's own lag as a reason to give no verdict.
#include "lab/sockets.h"

#include <filesystem>
#include <thread>

#include "lab/client_driver.h"
#include "lab/fleet_server.h"
#include "tests/lab/rig.h"
#include "tests/net_rig.h"

namespace woadridge::lab::test {
namespace {

using net::test::Peer;

class Served : public ::testing::Test {
 protected:
  void serve(const std::string& text, std::vector<Trouble> troubles = {}) {
    scenario = scenario_from("[list]\nlag_low = \"1ms\"\nlag_high = \"1ms\"\nnotice = \"0s\"\n" + text);
    scenario.troubles = std::move(troubles);
    server = std::make_unique<FleetServer>(
        strand, clock, scenario, clock.now(),
        [](std::string_view id, std::string_view) -> std::optional<JobFacts> {
          const auto request = request_of(id);
          if (!request) return std::nullopt;
          return JobFacts{*request, 0, 0, 0, 20'000};
        },
        1);
    server->run();
    runner = std::jthread([this] { io.run(); });
  }
  void TearDown() override {
    boost::asio::post(strand, [this] { server->stop(); });
    work.reset();
    runner = {};
  }
  Peer worker(WorkerIndex w) { return Peer::connect(server->worker_address(w).port); }
  static std::string request(const std::string& id) {
    return "POST /api HTTP/1.1\r\nHost: w\r\nRequest-Id: " + id + "\r\nContent-Length: 2\r\n\r\nhi";
  }

  boost::asio::io_context io{1};
  net::Strand strand{io.get_executor()};
  net::Clock clock;
  Scenario scenario;
  std::unique_ptr<FleetServer> server;
  std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> work{
      io.get_executor()};
  std::jthread runner;
};

TEST_F(Served, AWorkerTellsOfStartAndEndAndKeepsItsConnection) {
  serve("[fleet]\nworkers = 1\n");
  Peer peer = worker(0);
  for (const std::string id : {"0000000000000a01", "0000000000000a02"}) {
    peer.write(request(id));
    const std::string text = peer.read_until("0\r\n\r\n");
    EXPECT_NE(text.find("HTTP/1.1 200"), std::string::npos);
    EXPECT_LT(text.find("\"state\":\"started\""),
              text.find("\"state\":\"done\",\"result\":\"" + id + " ran at w-0000\""));
  }
}

TEST_F(Served, AnIdThatNoClientSentIsTurnedAwayAndCounted) {
  serve("[fleet]\nworkers = 1\n");
  Peer peer = worker(0);
  peer.write(request("nonsense"));
  EXPECT_NE(peer.read_message().find("HTTP/1.1 400"), std::string::npos);
  EXPECT_EQ(server->strangers(), 1u);
}

TEST_F(Served, AFullWorkerProvesThatItNeverBegan) {
  serve("[fleet]\nworkers = 1\nqueue = 0\nkinds = [{ slots = 1 }]\n");
  Peer first = worker(0);
  first.write(request("0000000000000a01"));
  first.read_until("started");
  Peer second = worker(0);
  second.write(request("0000000000000a02"));
  const std::string text = second.read_message();
  EXPECT_NE(text.find("HTTP/1.1 503"), std::string::npos);
  EXPECT_NE(text.find("Not-Started: 1"), std::string::npos);
}

TEST_F(Served, AWorkerThatDiesResetsItsConnectionsAndComesBackAtItsAddress) {
  Trouble die;
  die.worker = "w-0000";
  die.at = 300 * kMs;
  die.span = 300 * kMs;
  serve("[fleet]\nworkers = 1\n", {die});
  Peer peer = worker(0);
  EXPECT_TRUE(peer.sees_close());
  while (!worker(0).open()) std::this_thread::sleep_for(std::chrono::milliseconds(10));
  Peer again = worker(0);
  again.write(request("0000000000000a03"));
  EXPECT_NE(again.read_until("0\r\n\r\n").find("done"), std::string::npos);
}

TEST_F(Served, AWatchGetsTheWholeListThenChanges) {
  Trouble drain;
  drain.kind = TroubleKind::drain;
  drain.worker = "w-0001";
  drain.at = 300 * kMs;
  serve("[fleet]\nworkers = 2\n", {drain});
  Peer peer = Peer::connect(server->list_address(0, 0).port);
  peer.write("GET /catalog/members?follow=1&since=0 HTTP/1.1\r\nHost: l\r\n\r\n");
  EXPECT_NE(peer.read_until("\n\r\n").find("HTTP/1.1 200"), std::string::npos);
  const std::string whole = peer.read_until("]}\n");
  EXPECT_NE(whole.find("\"snapshot\":true"), std::string::npos);
  EXPECT_NE(whole.find("w-0000"), std::string::npos);
  const std::string change = peer.read_until("]}\n");
  EXPECT_NE(change.find("\"snapshot\":false"), std::string::npos);
  EXPECT_NE(change.find("draining"), std::string::npos);
  EXPECT_EQ(change.find("w-0000"), std::string::npos);
}

SocketsResult day(const Scenario& scenario, const std::string& dispatcher) {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("lab-test-" + std::to_string(::getpid()) + "-" + std::to_string(scenario.seed));
  std::filesystem::create_directories(folder);
  SocketsOptions options;
  options.dispatcher = dispatcher;
  options.folder = folder.string();
  SocketsResult result = run_sockets(scenario, options);
  std::filesystem::remove_all(folder);
  return result;
}

TEST(SocketsDay, RealDispatchersKeepTheRulesThroughDeathsAndRestarts) {
  Scenario s = shipped("restarts", {{"length", "8s"}, {"dispatchers", "3"}, {"list.lag_high", "500ms"}});
  s.troubles[0].at = 2 * kSecond;
  s.troubles[1].at = 4 * kSecond;
  s.troubles[2].at = 6 * kSecond;
  Trouble die;
  die.share = 0.2;
  die.at = 3 * kSecond;
  die.span = kSecond;
  s.troubles.push_back(die);
  const SocketsResult r = day(s, WOADRIDGE_PROGRAM);
  if (!r.no_verdict.empty()) GTEST_SKIP() << r.no_verdict;
  EXPECT_GT(r.played.result.records.asks.size(), 200u);
  for (const auto& b : r.played.verdict.breaches) ADD_FAILURE() << "rule " << b.rule << ": " << b.what;
  EXPECT_FALSE(r.played.processes.empty());
}

TEST(SocketsDay, ADispatcherThatMakesAnswersUpOrGivesNoneIsFoundOut) {
  const Scenario s = shipped("calm", {{"length", "2s"},
                                      {"dispatchers", "1"},
                                      {"list.lag_high", "300ms"},
                                      {"classes.0.deadline", "1s"},
                                      {"classes.1.deadline", "1s"},
                                      {"classes.2.deadline", "1s"},
                                      {"clients.retries", "0"}});
  const SocketsResult r = day(s, WOADRIDGE_BAD_DISPATCHER);
  EXPECT_GT(r.played.verdict.counts[1], 0u);
  EXPECT_GT(r.played.verdict.lost, 0u);
}

TEST(SocketsDay, ADispatcherThatDoesNotServeGivesNoVerdict) {
  const Scenario s = shipped("calm", {{"length", "2s"}, {"dispatchers", "1"}});
  EXPECT_NE(day(s, "/bin/false").no_verdict.find("did not serve"), std::string::npos);
}

}  // namespace
}  // namespace woadridge::lab::test
