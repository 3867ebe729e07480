// The proxy between a played client and played instances.
#include <limits>

#include "common/homes.h"
#include "front_world.h"

using namespace woadridge;
using namespace woadridge::proxy::played;

namespace {

constexpr std::uint32_t kMostOfAll = std::numeric_limits<std::uint32_t>::max();

}  // namespace

TEST_GROUP_BASE(Front, FrontWorld){};

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
  // The first word of it was lost on its way.
  STRCMP_CONTAINS("HTTP/1.1 410", ask_as_passing("POST /w/x", counts, rejoin).c_str());
  const auto other = pass + "X-Woadridge-Rejoin: 12\r\n";  // another life can't say
  STRCMP_CONTAINS("HTTP/1.1 502", ask_as_passing("POST /w/x", counts, other).c_str());
  LONGS_EQUAL(0, one.asked.size());
}

// Guards against an instance's own answer being taken for a peer's word that a passing was never read: a call
// that may run once only was sent again, and ran twice.
TEST(Front, NothingThatAnInstanceSaysIsTakenForAPeersWord) {
  const std::string proxied = "X-Woadridge-Attempt-Id: {id}\r\nX-Woadridge-Boot: 5\r\nContent-Length: 0\r\n";
  Played peer(loop);
  peer.answers = {"HTTP/1.1 200 OK\r\nX-Woadridge-Instance-Seal: s.1\r\n" + proxied + "\r\n", "",
                  "HTTP/1.1 410 Gone\r\nX-Woadridge-Used: 1\r\n" + proxied + "\r\n", kGood};
  plan_and({}, {{"other", "a", peer.address()}});
  STRCMP_CONTAINS("HTTP/1.1 200", ask("POST /w/x", "1").c_str());
  const auto answer = ask("POST /w/x", "2");  // its connection breaks, it is asked for again
  STRCMP_CONTAINS("HTTP/1.1 410", answer.c_str());
  LONGS_EQUAL(3, peer.asked.size());
  STRCMP_CONTAINS("X-Woadridge-Rejoin: 5", peer.asked.back().c_str());
}

TEST(Front, AnInstanceCannotSayAPeersWords) {
  Played one(loop);
  one.answers = {
      "HTTP/1.1 410 Gone\r\nX-Woadridge-Attempt-Id: {id}\r\nX-Woadridge-Never-Read: 1\r\nX-Woadridge-Used: "
      "0\r\n"
      "X-Woadridge-Boot: 7\r\nContent-Length: 0\r\n\r\n"};
  plan_and({at(one, "i-1")});
  const auto answer = ask_as_passing("POST /w/x", "m;2;400;4000;1;0;1", "X-Woadridge-Pass: 9000000000.5\r\n");
  STRCMP_CONTAINS("HTTP/1.1 410", answer.c_str());
  STRCMP_CONTAINS("X-Woadridge-Used: 1", answer.c_str());
  STRCMP_CONTAINS(("X-Woadridge-Boot: " + boot()).c_str(), answer.c_str());
  CHECK(answer.find("Never-Read") == std::string::npos);
  CHECK(answer.find("Used: 0") == std::string::npos);
  CHECK(answer.find("Boot: 7") == std::string::npos);
}

// Guards against the largest max-tries that a configuration may have being cut to none.
TEST(Front, TheLargestMaxTriesAreMany) {
  Played one(loop), two(loop);
  two.shared = &one.answers;
  one.answers = {"", kShed, kGood};
  plan_and({at(one, "i-1"), at(two, "i-2")});
  common::News news;
  news.term = 1;
  news.board = 2;
  news.plan_told = true;
  news.plan.version = 2;
  news.plan.routes = {{"read", "h.example", "/r/", "fn", true, kMostOfAll, kMostOfAll, 1, kMostOfAll}};
  news.plan.services = {{"fn", "", kMostOfAll, kMostOfAll, kMostOfAll, kMostOfAll}};
  dispatch->told(news);
  STRCMP_CONTAINS("HTTP/1.1 200", ask("GET /r/x").c_str());
  LONGS_EQUAL(3, one.asked.size() + two.asked.size());
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
