// The proxy between a played client and played instances, on loopback: no time passes but for what is asked
// of the loop, and each run of it is bounded.
#include "proxy/front.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <deque>

#include "common/homes.h"

using namespace woadridge;
using boost::asio::ip::tcp;

namespace {

constexpr auto kBound = std::chrono::seconds(5);

class Played {  // an instance, or a peer: answers each request on its list, or closes where that says so
 public:
  explicit Played(boost::asio::io_context& loop)
      : acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  std::vector<std::string> asked;
  std::deque<std::string> answers;             // {id} stands for the request's own; empty: it closes
  std::deque<std::string>* shared = &answers;  // of several: whoever is asked takes the next

 private:
  struct Line {
    explicit Line(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::string in;
  };
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code failed, tcp::socket socket) {
      if (failed) return;
      read(std::make_shared<Line>(std::move(socket)));
      accept();
    });
  }
  void read(std::shared_ptr<Line> line) {
    boost::asio::async_read_until(line->socket, boost::asio::dynamic_buffer(line->in), "\r\n\r\n",
                                  [this, line](boost::system::error_code failed, std::size_t) {
                                    if (failed) return;
                                    asked.push_back(line->in);
                                    line->in.clear();
                                    answer(line);
                                  });
  }
  void answer(std::shared_ptr<Line> line) {
    if (shared->empty() || shared->front().empty()) {
      if (!shared->empty()) shared->pop_front();
      line->socket.close();
      return;
    }
    std::string text = shared->front();
    shared->pop_front();
    const auto& request = asked.back();
    const auto at = request.find("Attempt-Id: ") + 12;
    const auto id = request.substr(at, request.find("\r\n", at) - at);
    for (auto p = text.find("{id}"); p != std::string::npos; p = text.find("{id}")) text.replace(p, 4, id);
    boost::asio::write(line->socket, boost::asio::buffer(text));
    read(line);
  }
  tcp::acceptor acceptor_;
};

const std::string kGood =
    "HTTP/1.1 200 OK\r\nX-Woadridge-Attempt-Id: {id}\r\nX-Woadridge-Instance-Seal: s.1\r\nContent-Length: "
    "2\r\n\r\nok";
const std::string kShed =
    "HTTP/1.1 503 Service Unavailable\r\nX-Woadridge-Attempt-Id: {id}\r\nX-Woadridge-Not-Executed: "
    "1\r\nContent-Length: 0\r\n\r\n";

common::Settings settings() {
  common::Settings s;
  s.node_name = "me";
  s.zone = "a";
  s.max_fds = 1024;
  return s;
}

}  // namespace

TEST_GROUP(Front) {
  boost::asio::io_context loop;
  net::Strand strand{boost::asio::make_strand(loop)};
  std::unique_ptr<proxy::Dispatch> dispatch;
  std::unique_ptr<proxy::Front> front;
  std::uint16_t port = 0, peers_port = 0;

  void setup() override {
    dispatch = std::make_unique<proxy::Dispatch>(strand, settings());
    front = std::make_unique<proxy::Front>(strand, *dispatch);
    port = opened(proxy::Door::clients);
    peers_port = opened(proxy::Door::peers);
  }
  std::uint16_t opened(proxy::Door door) {
    tcp::acceptor probe(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const auto free = probe.local_endpoint().port();
    probe.close();
    CHECK(front->open(door, {"127.0.0.1", free}).has_value());
    return free;
  }
  void teardown() override {
    front->stop();
    dispatch->stop();
    while (loop.poll() > 0) continue;
    front.reset();
    dispatch.reset();
  }
  void plan_and(std::vector<common::Instance> instances,
                std::vector<common::Peer> peers = {{"me", "a", ""}}) {
    common::News news;
    news.term = news.board = 1;
    news.whole = news.peers_told = news.plan_told = true;
    news.plan.version = 1;
    news.plan.routes = {{"read", "h.example", "/r/", "fn", true, 4000, 400, 1, 2},
                        {"write", "h.example", "/w/", "fn", false, 4000, 400, 1, 2}};
    news.plan.services = {{"fn", "", 100, 128, 900, 1}};
    for (auto& instance : instances)
      if (instance.home.empty()) instance.home = peers.front().name;
    news.peers = std::move(peers);
    news.changed = std::move(instances);
    dispatch->told(news);
  }
  common::Instance at(const Played& played, const char* id) {
    return {id, "fn", played.address(), "a", "m1", 1, common::Condition::ready, 0, ""};
  }
  std::string ask(const std::string& what, const std::string& id = "77") {
    return said(port, what, id, "");
  }
  std::string ask_as_peer(const std::string& what, int hops) {
    return said(peers_port, what, "77",
                "X-Woadridge-Via: fn;read;r;2;400;4000;" + std::to_string(hops) + "\r\n");
  }
  std::string ask_as_passing(const std::string& what, const std::string& counts, const std::string& more) {
    return said(peers_port, what, "77", "X-Woadridge-Via: fn;write;" + counts + "\r\n" + more);
  }
  std::string boot() const {
    return std::to_string(dispatch->boot());
  }
  std::string said(std::uint16_t to, const std::string& what, const std::string& id,
                   const std::string& more) {
    const std::string text = what + " HTTP/1.1\r\nHost: h.example\r\nX-Woadridge-Attempt-Id: " + id +
                             "\r\nX-Woadridge-Deadline-Ms: 2000\r\nX-Own: kept\r\n" + more + "\r\n";
    tcp::socket client(loop);
    client.connect({boost::asio::ip::make_address("127.0.0.1"), to});
    boost::asio::write(client, boost::asio::buffer(text));
    std::string answer;
    bool done = false;
    boost::asio::async_read_until(client, boost::asio::dynamic_buffer(answer), "\r\n\r\n",
                                  [&](boost::system::error_code, std::size_t) { done = true; });
    const auto until = std::chrono::steady_clock::now() + kBound;
    while (!done && std::chrono::steady_clock::now() < until) loop.run_one_for(kBound);
    CHECK(done);
    return answer;
  }
};

TEST(Front, ARequestGoesThroughUnchangedAndComesBackWithItsSeal) {
  Played one(loop);
  one.answers = {kGood};
  plan_and({at(one, "i-1")});
  const auto answer = ask("GET /r/x?q=1");
  STRCMP_CONTAINS("HTTP/1.1 200", answer.c_str());
  STRCMP_CONTAINS("X-Woadridge-Instance-Seal: s.1", answer.c_str());
  LONGS_EQUAL(1, one.asked.size());
  STRCMP_CONTAINS("GET /r/x?q=1 HTTP/1.1", one.asked[0].c_str());
  STRCMP_CONTAINS("X-Woadridge-Target-Instance: i-1", one.asked[0].c_str());
  STRCMP_CONTAINS("X-Own: kept", one.asked[0].c_str());
  STRCMP_CONTAINS("X-Woadridge-Attempt-Id: 77", one.asked[0].c_str());
}

// Its agent has heard of a higher version: what it holds may be long over.
TEST(Front, IsNotReadyBelowAConfigurationThatItsAgentHasHeardOf) {
  const auto told = [this](common::Version plan, common::Version newest) {
    common::News news;
    news.term = news.board = 1;
    news.whole = news.plan_told = true;
    news.plan.version = plan;
    news.newest_plan = newest;
    dispatch->told(news);
  };
  CHECK_FALSE(dispatch->ready());
  told(3, 4);
  CHECK_FALSE(dispatch->ready());
  told(4, 4);
  CHECK(dispatch->ready());
  told(4, 5);  // it serves on with what it has
  CHECK(dispatch->ready());
}

TEST(Front, WithoutARouteItIs404AndBeforeAnyPlanAPromise) {
  STRCMP_CONTAINS("HTTP/1.1 503", ask("GET /r/x").c_str());
  Played one(loop);
  plan_and({at(one, "i-1")});
  STRCMP_CONTAINS("HTTP/1.1 404", ask("GET /q/x").c_str());
  LONGS_EQUAL(0, one.asked.size());
}

// Guards against one answer too many that comes in the next one's place.
TEST(Front, ALateAnswerOfAnotherIdIsReadAway) {
  Played one(loop);
  const std::string late =
      "HTTP/1.1 200 OK\r\nX-Woadridge-Attempt-Id: 11\r\nX-Woadridge-Instance-Seal: s.0\r\nContent-Length: "
      "3\r\n\r\nold";
  one.answers = {late + kGood};
  plan_and({at(one, "i-1")});
  const auto answer = ask("GET /r/x");
  STRCMP_CONTAINS("X-Woadridge-Instance-Seal: s.1", answer.c_str());
  CHECK(answer.find("old") == std::string::npos);
}

TEST(Front, ASuccessWithoutSealIsNoneAndMayHaveRun) {
  Played one(loop);
  const std::string bare = "HTTP/1.1 200 OK\r\nX-Woadridge-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\nok";
  one.answers = {bare, bare};
  plan_and({at(one, "i-1")});
  STRCMP_CONTAINS("HTTP/1.1 502", ask("POST /w/x").c_str());
  LONGS_EQUAL(1, one.asked.size());
}

TEST(Front, APromiseThatAnInstanceDidNotMakeIsNotPassedOn) {
  Played one(loop);
  one.answers = {"HTTP/1.1 503 Busy\r\nX-Woadridge-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"};
  plan_and({at(one, "i-1")});
  STRCMP_CONTAINS("HTTP/1.1 502", ask("POST /w/x").c_str());
}

TEST(Front, WhatWasTurnedAwayGoesToAnotherInstanceThoughItMayNotRunTwice) {
  Played one(loop), two(loop);
  two.shared = &one.answers;
  one.answers = {kShed, kGood};
  plan_and({at(one, "i-1"), at(two, "i-2")});
  STRCMP_CONTAINS("HTTP/1.1 200", ask("POST /w/x").c_str());
  LONGS_EQUAL(2, one.asked.size() + two.asked.size());
}

TEST(Front, WhatBrokeAfterItWasSentIsSentAgainOnlyIfItMayBeRepeated) {
  Played one(loop), two(loop);
  two.shared = &one.answers;
  one.answers = {""};
  plan_and({at(one, "i-1"), at(two, "i-2")});
  STRCMP_CONTAINS("HTTP/1.1 502", ask("POST /w/x").c_str());
  LONGS_EQUAL(1, one.asked.size() + two.asked.size());
  one.asked.clear();
  two.asked.clear();
  one.answers = {"", kGood};
  STRCMP_CONTAINS("HTTP/1.1 200", ask("GET /r/x", "78").c_str());
  LONGS_EQUAL(2, one.asked.size() + two.asked.size());
  one.answers = {"", ""};
  STRCMP_CONTAINS("HTTP/1.1 502", ask("GET /r/x", "79").c_str());
}

TEST(Front, AFunctionWhoseHomeIsElsewhereIsPassedOnWithTheRouteAsSeenHere) {
  Played peer(loop);
  peer.answers = {kGood};
  plan_and({}, {{"other", "a", peer.address()}});
  STRCMP_CONTAINS("X-Woadridge-Instance-Seal: s.1", ask("GET /r/x").c_str());
  STRCMP_CONTAINS("X-Woadridge-Via: fn;read;r;2;400;4000;1", peer.asked[0].c_str());
}

// Guards against calls that wait for instances which another sends to by now: they were lost with the
// process.
TEST(Front, ACallHeldAtAHomeThatLeavesGoesToTheNextHome) {
  Played other(loop);
  other.answers = {kGood};
  std::string name = "other";  // one that draws lower than this proxy
  while (common::homes("fn", {{"me", "a", ""}, {name, "a", ""}}).front() != 0) name += "x";
  plan_and({}, {{"me", "a", ""}, {name, "a", other.address()}});
  boost::asio::post(strand, [this] {
    dispatch->alarms().at(dispatch->now() + 20'000, [this] { dispatch->leave(dispatch->now() + 5'000'000); });
  });
  STRCMP_CONTAINS("HTTP/1.1 200", ask("POST /w/x").c_str());
  LONGS_EQUAL(1, other.asked.size());
}

TEST(Front, AHomeThatRefusesConnectionsIsPassedOver) {
  Played one(loop);
  one.answers = {kGood};
  tcp::acceptor closed(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const auto gone = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
  closed.close();
  plan_and({at(one, "i-1")}, {{"other", "a", gone}});
  STRCMP_CONTAINS("HTTP/1.1 200", ask("POST /w/x").c_str());
}

// Guards against two senders: a peer that is only busy goes on sending to its instances.
TEST(Front, AHomeThatDoesNotTakeAConnectionInTimeKeepsItsInstances) {
  Played one(loop);
  one.answers = {kGood, kGood, kGood};
  tcp::acceptor busy(loop);
  busy.open(tcp::v4());
  busy.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
  busy.listen(0);
  std::vector<tcp::socket> waiting;  // the queue of new connections is full
  for (int n = 0; n < 4; ++n) {
    waiting.emplace_back(loop).async_connect(busy.local_endpoint(), [](boost::system::error_code) {});
  }
  const auto place = "127.0.0.1:" + std::to_string(busy.local_endpoint().port());
  auto instance = at(one, "i-1");
  instance.home = "other";
  plan_and({instance}, {{"me", "a", ""}, {"other", "a", place}});
  const auto answer = ask("POST /w/x");
  STRCMP_CONTAINS("HTTP/1.1 503", answer.c_str());
  STRCMP_CONTAINS("Retry-After: 0.", answer.c_str());
  LONGS_EQUAL(0, one.asked.size());
}

TEST(Front, AHomeThatBreaksOffAConnectionKeepsItsInstances) {
  Played one(loop), other(loop);
  one.answers = {kGood};
  other.answers = {"", kGood};
  auto instance = at(one, "i-1");
  instance.home = "other";
  plan_and({instance}, {{"me", "a", ""}, {"other", "a", other.address()}});
  STRCMP_CONTAINS("HTTP/1.1 200", ask("GET /r/x").c_str());
  LONGS_EQUAL(0, one.asked.size());
  LONGS_EQUAL(2, other.asked.size());
}

// Guards against calls that wait until their deadline at a proxy that no instance is given to.
TEST(Front, ACallThatMayGoNoFurtherIsRefusedAtOnceWhereItIsNotAtHome) {
  Played other(loop);
  plan_and({}, {{"other", "a", other.address()}});
  const auto began = std::chrono::steady_clock::now();
  const auto answer = ask_as_peer("GET /r/x", 2);
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(500));
  STRCMP_CONTAINS("HTTP/1.1 503", answer.c_str());
  STRCMP_CONTAINS("Retry-After: 0.0", answer.c_str());
  LONGS_EQUAL(0, other.asked.size());
}

TEST(Front, ACallThatMayGoNoFurtherIsServedAtItsHome) {
  Played one(loop);
  one.answers = {kGood};
  plan_and({at(one, "i-1")});
  STRCMP_CONTAINS("HTTP/1.1 200", ask_as_peer("GET /r/x", 2).c_str());
}

TEST(Front, ACallThatHasMetThreePeersWhichAreGoneIsRefusedAtOnce) {
  std::vector<common::Peer> gone;
  for (const char* name : {"p", "q", "r", "s", "t"}) {
    tcp::acceptor closed(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    gone.push_back({name, "a", "127.0.0.1:" + std::to_string(closed.local_endpoint().port())});
  }
  plan_and({}, gone);
  const auto began = std::chrono::steady_clock::now();
  const auto answer = ask("POST /w/x");
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(500));
  STRCMP_CONTAINS("HTTP/1.1 503", answer.c_str());
  STRCMP_CONTAINS("Retry-After: 0.0", answer.c_str());
}

// A repeatable one may be sent again, but what it has begun elsewhere may still run.
TEST(Front, WhatMayHaveRunGetsNoPromiseWhereItIsNotAtHome) {
  Played other(loop);
  other.answers = {""};
  plan_and({}, {{"other", "a", other.address()}, {"other2", "a", other.address()}});
  STRCMP_CONTAINS("HTTP/1.1 502", ask_as_peer("GET /r/x", 1).c_str());
  LONGS_EQUAL(1, other.asked.size());
}

// Guards against the same where no peer has come or gone: only the instances have other homes now.
TEST(Front, ACallHeldAtAProxyWhoseLastInstanceHasGoneGoesToTheNewHome) {
  Played other(loop);
  other.answers = {kGood};
  tcp::acceptor mine(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const std::vector<common::Peer> peers = {{"me", "a", ""}, {"other", "a", other.address()}};
  const auto mine_at = "127.0.0.1:" + std::to_string(mine.local_endpoint().port());
  mine.close();
  plan_and({{"i-1", "fn", mine_at, "a", "m1", 1, common::Condition::starting, 9000, "me"}}, peers);
  boost::asio::post(strand, [this] {
    dispatch->alarms().at(dispatch->now() + 20'000, [this] {
      common::News news;
      news.term = 1;
      news.board = 2;
      news.gone = {"i-1"};
      news.changed = {{"i-2", "fn", "127.0.0.1:9", "a", "m1", 1, common::Condition::ready, 0, "other"}};
      dispatch->told(news);
    });
  });
  const auto began = std::chrono::steady_clock::now();
  STRCMP_CONTAINS("HTTP/1.1 200", ask("POST /w/x").c_str());
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(500));
  LONGS_EQUAL(1, other.asked.size());
}

// Guards against two senders: a home that was told to end is off the board at once, its calls end later.
TEST(Front, AnInstanceSettlesWhereItsLastHomeHasLeftTheBoard) {
  Played one(loop);
  one.answers = {kGood, kGood};
  std::string third = "third";  // one that draws lower than this proxy
  while (common::homes("fn", {{"me", "a", ""}, {third, "a", ""}}).front() != 0) third += "x";
  auto instance = at(one, "i-1");
  instance.home = "me";
  plan_and({instance}, {{"me", "a", ""}, {third, "a", ""}, {"leaves", "a", ""}});
  STRCMP_CONTAINS("HTTP/1.1 200", ask("POST /w/x").c_str());
  common::News news;
  news.term = 1;
  news.board = 2;
  instance.home = "leaves";
  news.changed = {instance};
  dispatch->told(news);
  news.board = 3;
  news.changed = {};
  news.peers_told = true;
  news.peers = {{"me", "a", ""}, {third, "a", ""}};
  dispatch->told(news);
  const auto began = std::chrono::steady_clock::now();
  STRCMP_CONTAINS("HTTP/1.1 200", ask("POST /w/x", "78").c_str());
  CHECK(std::chrono::steady_clock::now() - began > std::chrono::milliseconds(200));
}

// Guards against numbers that are cut: the passings of two senders were taken for one's repeats.
TEST(Front, PassingsOfTwoSendersAreTwo) {
  Played one(loop);
  one.answers = {kGood, kGood};
  plan_and({at(one, "i-1")});
  for (const char* sender : {"4000000000000000001", "4000000000000000002"}) {
    const auto pass = std::string("X-Woadridge-Pass: ") + sender + ".5\r\n";
    STRCMP_CONTAINS("HTTP/1.1 200", ask_as_passing("POST /w/x", "m;2;400;4000;1;0;1", pass).c_str());
  }
}

TEST(Front, APassingThatIsReadTwiceRunsOnceAndIsFoundAgainByItsSender) {
  Played one(loop);
  one.answers = {kGood, kGood};
  plan_and({at(one, "i-1")});
  const std::string pass = "X-Woadridge-Pass: 9000000000.5\r\n", counts = "m;2;400;4000;1;0;1";
  STRCMP_CONTAINS("X-Woadridge-Used: 1", ask_as_passing("POST /w/x", counts, pass).c_str());
  STRCMP_CONTAINS("HTTP/1.1 502", ask_as_passing("POST /w/x", counts, pass).c_str());
  const auto again = ask_as_passing("POST /w/x", counts, pass + "X-Woadridge-Rejoin: " + boot() + "\r\n");
  STRCMP_CONTAINS("X-Woadridge-Instance-Seal: s.1", again.c_str());
  LONGS_EQUAL(1, one.asked.size());
}

TEST(Front, APassingThatWasNeverReadNeverRunsOnceItWasAskedFor) {
  Played one(loop);
  one.answers = {kGood};
  plan_and({at(one, "i-1")});
  const std::string pass = "X-Woadridge-Pass: 9000000000.6\r\n", counts = "m;2;400;4000;1;0;1";
  const auto rejoin = pass + "X-Woadridge-Rejoin: " + boot() + "\r\n";
  STRCMP_CONTAINS("HTTP/1.1 410", ask_as_passing("POST /w/x", counts, rejoin).c_str());
  STRCMP_CONTAINS("HTTP/1.1 502", ask_as_passing("POST /w/x", counts, pass).c_str());
  const auto other = pass + "X-Woadridge-Rejoin: 12\r\n";  // another life can't say
  STRCMP_CONTAINS("HTTP/1.1 502", ask_as_passing("POST /w/x", counts, other).c_str());
  LONGS_EQUAL(0, one.asked.size());
}

// Guards against more runs than max-tries allows, where each proxy counted its own.
TEST(Front, AHomeUsesNoMoreTriesThanItWasGranted) {
  Played one(loop);
  one.answers = {"", kGood};
  plan_and({at(one, "i-1")});
  const auto answer = ask_as_passing("GET /r/x", "r;2;400;4000;1;0;1", "");
  STRCMP_CONTAINS("HTTP/1.1 502", answer.c_str());
  STRCMP_CONTAINS("X-Woadridge-Used: 1", answer.c_str());
  LONGS_EQUAL(1, one.asked.size());
}
