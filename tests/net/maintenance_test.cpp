// Workers that staff take out: the file of bans, and whole dispatchers that keep to it.
#include "net/maintenance.h"

#include <sys/stat.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "../service_rig.h"
#include "net/percent.h"

namespace woadridge::net::test {
namespace {

TEST(Percent, IdsComeBackAsTheyWere) {
  for (const std::string id : {"s-5be2a07c", "a/b c%", "caf\xc3\xa9\n"})
    EXPECT_EQ(percent_decoded(percent_encoded(id)), id);
  EXPECT_EQ(percent_encoded("a/b"), "a%2Fb");
  for (const char* bad : {"%", "%4", "%zz", "a%g0"}) EXPECT_EQ(percent_decoded(bad), std::nullopt) << bad;
}

class BansTest : public ::testing::Test {
 protected:
  std::string text() const {
    std::ifstream file(path_);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  void write(const std::string& text) const { std::ofstream(path_, std::ios::trunc) << text; }

  Scratch scratch_;
  std::string path_ = scratch_.path() + "/n0.bans";
};

TEST_F(BansTest, AreThereForTheNextProcess) {
  Bans before(path_);
  EXPECT_EQ(before.put("w", true), "");
  EXPECT_EQ(before.put("v/1", true), "");
  EXPECT_EQ(before.put("w", true), "");
  Bans after(path_);
  const auto news = after.read();
  ASSERT_EQ(news.size(), 2u);
  EXPECT_TRUE(after.has("w") && after.has("v/1"));
  EXPECT_EQ(after.put("w", false), "");
  Bans third(path_);
  third.read();
  EXPECT_FALSE(third.has("w"));
}

TEST_F(BansTest, WhatTwoProcessesWriteIsKeptAndHeardByBoth) {
  Bans one(path_), other(path_);
  EXPECT_EQ(one.put("v", true), "");
  EXPECT_EQ(other.put("w", true), "");  // which had not read the first
  const auto news = one.read();
  ASSERT_EQ(news.size(), 1u);
  EXPECT_EQ(news[0].worker, "w");
  EXPECT_TRUE(news[0].out);
  other.read();
  EXPECT_TRUE(other.has("v"));
  EXPECT_EQ(other.put("v", false), "");
  const auto back = one.read();
  ASSERT_EQ(back.size(), 1u);
  EXPECT_EQ(back[0].worker, "v");
  EXPECT_FALSE(back[0].out);
  EXPECT_TRUE(one.read().empty());
}

TEST_F(BansTest, ATornOrForeignFileChangesNothingAndTheNextCallMendsIt) {
  Bans bans(path_);
  EXPECT_EQ(bans.put("w", true), "");
  const std::string whole = text();
  for (const std::string& spoilt :
       {std::string("{}"), whole.substr(0, whole.size() - 1), whole.substr(0, whole.find("end")),
        std::string(), std::string("woadridge bans 1\nend 1\n"), std::string("woadridge bans 9\nend 0\n")}) {
    write(spoilt);
    EXPECT_TRUE(bans.read().empty()) << spoilt;
    EXPECT_TRUE(bans.has("w"));
  }
  EXPECT_EQ(bans.put("v", true), "");
  Bans next(path_);
  next.read();
  EXPECT_TRUE(next.has("v") && next.has("w"));
}

TEST_F(BansTest, WhereNothingCanBeWrittenABanHoldsAndSaysSo) {
  Bans bans(scratch_.path() + "/nowhere/n0.bans");
  EXPECT_NE(bans.put("w", true), "");
  EXPECT_TRUE(bans.has("w"));
  EXPECT_NE(bans.put("w", false), "");
  EXPECT_TRUE(bans.has("w"));
}

class Maintenance : public OpsTest {
 protected:
  Maintenance() { know("v", other_.port()); }

  bool enter(const std::string& id) { return is_yes(call("POST", "/maintenance/enter/" + id)); }
  bool exit(const std::string& id) { return is_yes(call("POST", "/maintenance/exit/" + id)); }

  // So many jobs, each served by whoever got it; how many came to the worker that listens there.
  int served_by(Listener& listener, int jobs) {
    std::atomic<int> mine = 0, others = 0;
    const Server one(listener, [&](Peer& peer) { return serve_counted(peer, mine); });
    const Server two(&listener == &worker_ ? other_ : worker_,
                     [&](Peer& peer) { return serve_counted(peer, others); });
    for (int i = 0; i < jobs; ++i)
      EXPECT_TRUE(ask(job(std::to_string(++last_))).starts_with("HTTP/1.1 200 ")) << i;
    return mine;
  }

  Listener other_;
  int last_ = 100;
};

TEST_F(Maintenance, AnIdThatWasNeverListedIsANo) {
  start();
  EXPECT_FALSE(enter("nobody"));
  EXPECT_FALSE(exit("nobody"));
  EXPECT_TRUE(call("POST", "/maintenance/enter/nobody").starts_with("HTTP/1.1 404 "));
  EXPECT_TRUE(call("POST", "/maintenance/enter/").starts_with("HTTP/1.1 400 "));
  EXPECT_TRUE(call("POST", "/maintenance/enter/%zz").starts_with("HTTP/1.1 400 "));
  EXPECT_TRUE(call("GET", "/maintenance/enter/w").starts_with("HTTP/1.1 405 "));
  EXPECT_TRUE(exit("w"));  // known, and not out
}

TEST_F(Maintenance, AnIdleWorkerTakenOutGetsNothingUntilItIsPutBack) {
  start();
  EXPECT_GT(served_by(worker_, 20), 0);
  EXPECT_TRUE(enter("w"));
  EXPECT_TRUE(enter("w"));
  EXPECT_EQ(figure("targets_disabled"), "1");
  EXPECT_EQ(figure("targets"), "2");
  EXPECT_EQ(served_by(worker_, 20), 0);
  EXPECT_FALSE(worker_.has_caller());
  EXPECT_TRUE(exit("w"));
  EXPECT_EQ(figure("targets_disabled"), "0");
  EXPECT_GT(served_by(worker_, 40), 0);
}

TEST_F(Maintenance, WhatIsOpenThereIsServedAndItsConnectionNotUsedAgain) {
  config_.known.entries.erase(config_.known.entries.begin() + 1);
  start();
  Peer peer = client();
  Peer w = at_worker(peer, job("1"));
  EXPECT_TRUE(enter("w"));
  w.write(taken() + chunk(line("1", "started")) + chunk(done("1", "r")) + "0\r\n\r\n");
  EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(ask(job("2", "safe", 200)).starts_with("HTTP/1.1 503 "));
  EXPECT_FALSE(worker_.has_caller());
}

TEST_F(Maintenance, ABanOutlivesTheListAndTheProcess) {
  start();
  EXPECT_TRUE(enter("w"));
  Peer watch = discovery_.accept();
  watch.read_until("\r\n\r\n");
  const auto list = [&](int version, const std::string& whole, const std::string& status) {
    return chunk("{\"index\":" + std::to_string(version) + ",\"snapshot\":" + whole +
                 ",\"endpoints\":[{\"name\":\"w\",\"address\":\"" + worker_.address() +
                 "\",\"zone\":\"a\",\"type\":\"box\",\"status\":\"" + status + "\"}]}\n");
  };
  watch.write(taken() + list(2, "false", "gone"));
  expect_figure("targets", "1");
  EXPECT_TRUE(enter("w"));  // it is gone, and was listed
  watch.write(list(3, "false", "ready"));
  expect_figure("targets", "2");
  EXPECT_EQ(figure("targets_disabled"), "1");
  EXPECT_EQ(served_by(worker_, 10), 0);
  stop();
  start();
  EXPECT_EQ(figure("targets_disabled"), "1");
  EXPECT_EQ(served_by(worker_, 10), 0);
  EXPECT_TRUE(exit("w"));
  EXPECT_EQ(figure("targets_disabled"), "0");
}

TEST_F(Maintenance, ABanThatCannotBeKeptIsInForceAndAnsweredNo) {
  config_.scratch += "/nowhere";
  start();
  const std::string answer = call("POST", "/maintenance/enter/w");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_EQ(figure("targets_disabled"), "1");
  EXPECT_EQ(served_by(worker_, 10), 0);
}

}  // namespace
}  // namespace woadridge::net::test
