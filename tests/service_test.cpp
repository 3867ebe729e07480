// Whole dispatchers on loopback, between clients, workers and a discovery that the tests play.
#include <csignal>
#include <cstdio>
#include <fstream>

#include "service_rig.h"

namespace woadridge::net::test {
namespace {

TEST_F(ServiceTest, AJobGoesToAWorkerAndItsResultComesBack) {
  start();
  Peer peer = client();
  for (int i = 1; i <= 2; ++i) {
    peer.write(job(std::to_string(i)));
    if (i == 1) {
      Peer w = worker_.accept();
      serve_one(w, "caf\\u00e9");
      EXPECT_EQ(peer.read_message(), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncaf\xc3\xa9");
      peer.write(job("7"));
      serve_one(w, "again");
      EXPECT_TRUE(peer.read_message().ends_with("again"));
    }
  }
}

TEST_F(ServiceTest, HealthTurnsAtTheEndAndWorkGoesOn) {
  start();
  EXPECT_TRUE(ask("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 "));
  Peer idle = client();
  idle.write("GET /_health HTTP/1.1\r\n\r\n");
  idle.read_message();
  Peer kept = client();
  kept.write(job("0"));
  Peer v = worker_.accept();
  serve_one(v);
  kept.read_message();
  Peer half = client();
  half.write("GET /_health HTTP/1.1\r\n");
  Peer peer = client();
  peer.write(job("1"));
  v.read_message();
  v.write(taken() + chunk(line("1", "started")));
  end();
  half.write("\r\n");
  const std::string health = half.read_message();
  EXPECT_TRUE(health.starts_with("HTTP/1.1 503 ")) << health;
  // Whoever has a connection is served on it for a while, and keeps it.
  kept.write(job("2"));
  Peer w = worker_.accept();
  serve_one(w);
  EXPECT_EQ(kept.read_message(), "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nr");
  EXPECT_TRUE(kept.sees_close());
  EXPECT_TRUE(idle.sees_close());
  v.write(chunk(done("1", "late")) + "0\r\n\r\n");
  const std::string answer = peer.read_message();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 "));
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  half.close();
  peer.close();
  await_end();
}

TEST_F(ServiceTest, WithoutAListItIsNotHealthyUntilDiscoveryNamesAWorker) {
  config_.known.entries.clear();
  start();
  EXPECT_TRUE(ask("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503 "));
  Peer watch = discovery_.accept();
  watch.read_until("\r\n\r\n");
  watch.write(taken() + chunk("{\"index\":2,\"snapshot\":true,\"endpoints\":[{\"name\":\"w\",\"address\":\"" +
                              worker_.address() + "\",\"zone\":\"a\",\"status\":\"ready\"}]}\n"));
  Peer peer = client();
  peer.write(job("1"));
  Peer w = worker_.accept();
  serve_one(w);
  EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(ask("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

TEST_F(ServiceTest, WhatIsNoRequestForAJobIsAnsweredPlainly) {
  start();
  EXPECT_TRUE(ask("GET / HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 404 "));
  EXPECT_TRUE(ask("GET /api HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 405 "));
  EXPECT_TRUE(ask("POST /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 405 "));
  EXPECT_TRUE(ask(job("1", "no-such-class")).starts_with("HTTP/1.1 400 "));
  EXPECT_TRUE(ask(job("1", "safe", 0)).starts_with("HTTP/1.1 400 "));
  EXPECT_TRUE(ask("POST /api HTTP/1.1\r\nRequest-Class: safe\r\n\r\n").starts_with("HTTP/1.1 400 "));
  const std::string good = job("1", "safe");
  const auto with = [&](const std::string& more) {
    return "POST /api HTTP/1.1\r\n" + more + good.substr(20);
  };
  for (const std::string more :
       {"Request-Id: 2\r\n", "Tenant: a\r\nTenant: b\r\n", "Request-Timeout-Ms: 9\r\n", "Work-Hint: 9\r\n",
        "Request-Info: slots=1e99\r\n", "Request-Info: slots=-1\r\n", "Request-Info: slots=x\r\n",
        "Idempotency-Key: a b\r\n", "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n"})
    EXPECT_TRUE(ask(with(more)).starts_with("HTTP/1.1 400 ")) << more;
  const auto swapped = [&](const std::string& from, const std::string& to) {
    std::string text = good;
    return text.replace(text.find(from), from.size(), to);
  };
  for (const std::string timeout : {"-5", "+5", "5.5", "five", "99999999999999999999", ""})
    EXPECT_TRUE(ask(swapped("Ms: 15000", "Ms: " + timeout)).starts_with("HTTP/1.1 400 ")) << timeout;
  for (const std::string hint : {"-1", "nan", "inf", "1e999", "much"})
    EXPECT_TRUE(ask(swapped("Hint: 1000", "Hint: " + hint)).starts_with("HTTP/1.1 400 ")) << hint;
  for (const std::string id : {"a\tb", "a b", "caf\xc3\xa9", ""})
    EXPECT_TRUE(ask(swapped("Id: 1", "Id: " + id)).starts_with("HTTP/1.1 400 ")) << id;
  EXPECT_TRUE(ask(swapped("Id: 1", "Id: " + std::string(300, '1'))).starts_with("HTTP/1.1 400 "));
  EXPECT_TRUE(ask(swapped("/api", "/api?\xc3\xa9")).starts_with("HTTP/1.1 400 "));
  const std::string keyed = job("1", "keyed");
  const std::string without =
      keyed.substr(0, keyed.find("Idempotency")) + keyed.substr(keyed.find("Work-Hint"));
  EXPECT_TRUE(ask(without).starts_with("HTTP/1.1 400 "));
  for (const auto& [text, status] : std::initializer_list<std::pair<std::string, std::string>>{
           {"nonsense\r\n\r\n", "400"},
           {"POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", "413"},
           {"GET /" + std::string(20'000, 'x'), "431"}}) {
    Peer peer = client();
    peer.write(text);
    const std::string answer = peer.read_message();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + status)) << answer;
    EXPECT_TRUE(peer.sees_close());
  }
  EXPECT_FALSE(worker_.has_caller());
}

TEST_F(ServiceTest, WhereTheSettingsNameTenantsOthersAreTurnedAway) {
  config_.settings.tenants.push_back({"acme", 1, 10});
  start();
  EXPECT_TRUE(ask(job("1")).starts_with("HTTP/1.1 400 "));
  Peer peer = client();
  std::string text = job("2");
  peer.write(text.insert(text.find("Work-Hint"), "Tenant: acme\r\n"));
  Peer w = worker_.accept();
  serve_one(w);
  EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 200 "));
}

TEST_F(ServiceTest, WhoSendsTooMuchHearsSoBeforeItHasSentAll) {
  start();
  Peer peer = client();
  peer.write("POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
  EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 413 "));
  peer.write(std::string(100'000, 'x'));
  EXPECT_TRUE(peer.sees_close());
  Peer negative = client();
  negative.write("POST /api HTTP/1.1\r\nContent-Length: -1\r\n\r\n" + job("2"));
  EXPECT_TRUE(negative.read_message().starts_with("HTTP/1.1 400 "));
  EXPECT_TRUE(negative.sees_close());
  EXPECT_FALSE(worker_.has_caller());
}

TEST_F(ServiceTest, WhoSendsMoreBeforeTheAnswerIsTurnedAwayAndItsJobCalledOff) {
  start();
  Peer early = client();  // in one piece: no worker hears of either
  early.write(job("1") + job("2"));
  EXPECT_TRUE(early.read_message().starts_with("HTTP/1.1 400 "));
  EXPECT_TRUE(early.sees_close());
  Peer peer = client();
  peer.write(job("3"));
  Peer w = worker_.accept();
  EXPECT_NE(w.read_message().find("Request-Id: 3\r\n"), std::string::npos);
  peer.write("\r\n");  // line ends are no request
  peer.write(job("4"));
  const std::string answer = peer.read_message();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(peer.sees_close());
  EXPECT_TRUE(w.sees_close());
  EXPECT_FALSE(worker_.has_caller());
}

TEST_F(ServiceTest, LineEndsBehindABodyBeginNoRequest) {
  start();
  Peer peer = client();
  Peer w;
  for (const std::string id : {"1", "2"}) {
    peer.write(job(id) + "\r\n");
    if (!w.open()) w = worker_.accept();
    serve_one(w, id);
    EXPECT_TRUE(peer.read_message().ends_with(id));
  }
}

TEST_F(ServiceTest, AClientThatAsksFirstIsToldToGoOnOnceForEachRequest) {
  start();
  Peer peer = client();
  Peer w;
  for (const std::string id : {"1", "2"}) {
    const std::string text = job(id, "safe", 15'000, "body");
    const auto head = text.find("\r\n\r\n") + 2;
    peer.write(text.substr(0, head) + "Expect: 100-Continue\r\n\r\n");
    EXPECT_EQ(peer.read_until("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    peer.write_bytewise("body");
    if (!w.open()) w = worker_.accept();
    serve_one(w, id);
    EXPECT_EQ(peer.read_message(), "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + id);
  }
}

TEST_F(ServiceTest, AClientThatLeavesTakesItsJobBack) {
  start();
  Peer peer = client();
  peer.write(job("1"));
  Peer w = worker_.accept();
  w.read_message();
  peer.close();
  EXPECT_TRUE(w.sees_close());
}

TEST_F(ServiceTest, TheIdOfAnOpenRequestIsTurnedAwayAndHarmsNeither) {
  start();
  Peer peer = client();
  peer.write(job("1"));
  Peer w = worker_.accept();
  w.read_message();
  EXPECT_TRUE(ask(job("1")).starts_with("HTTP/1.1 409 "));
  w.write(taken() + chunk(done("1", "one")) + "0\r\n\r\n");
  EXPECT_TRUE(peer.read_message().ends_with("one"));
  peer.write(job("1"));  // it is over: the name is free again
  serve_one(w, "two");
  EXPECT_TRUE(peer.read_message().ends_with("two"));
}

TEST_F(ServiceTest, WhatAWorkerRejectsIsAnsweredAtOnceAndNotTriedElsewhere) {
  start();
  Peer peer = client();
  peer.write(job("1"));
  Peer w = worker_.accept();
  w.read_message();
  w.write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 500 "));
  peer.write(job("2"));  // and the worker is not at fault
  serve_one(w, "two");
  EXPECT_TRUE(peer.read_message().ends_with("two"));
}

TEST_F(ServiceTest, AJobThatNeverRanIsSentAgainAndOneThatMayHaveIsNot) {
  config_.settings.may_copy = false;
  start();
  Peer peer = client();
  peer.write(job("1", "unsafe"));
  Peer w = worker_.accept();
  w.read_message();
  w.write(taken() + chunk(line("1", "returned")) + "0\r\n\r\n");
  serve_one(w, "second");
  EXPECT_TRUE(peer.read_message().ends_with("second"));
  peer.write(job("2", "unsafe"));
  w.read_message();
  w.close();
  EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 500 "));
}

TEST_F(ServiceTest, ARefusalSaysWhenToComeBack) {
  config_.known.entries.clear();
  start();
  Peer peer = client();
  peer.write(job("1", "safe", 60));
  const std::string answer = peer.read_message();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_NE(answer.find("\r\nRetry-After: 1.250\r\n"), std::string::npos) << answer;
}

class TheEnd : public ServiceTest,
               public ::testing::WithParamInterface<std::pair<const char*, const char*>> {};

TEST_P(TheEnd, AnswersAJobThatIsStillOut) {
  const auto& [of_class, status] = GetParam();
  config_.network.longest_deadline = 400'000;  // the end's patience rests on it
  start();
  Peer peer = client();
  peer.write(job("1", of_class));
  Peer w = worker_.accept();
  w.read_message();
  end();
  const std::string answer = peer.read_message();
  EXPECT_TRUE(answer.starts_with(status)) << answer;
  EXPECT_TRUE(peer.sees_close());
  EXPECT_TRUE(w.sees_close());
  await_end();
}

INSTANTIATE_TEST_SUITE_P(EachEffect, TheEnd,
                         ::testing::Values(std::pair("safe", "HTTP/1.1 503 "),
                                           std::pair("keyed", "HTTP/1.1 500 "),
                                           std::pair("unsafe", "HTTP/1.1 500 ")));

TEST_F(ServiceTest, ANewClientIsStillServedWhileTheEndBegins) {
  start();
  Peer busy = client();
  busy.write(job("1"));
  Peer w = worker_.accept();
  w.read_message();
  end();
  Peer late = client();
  late.write(job("2"));
  w.write(taken() + chunk(done("1", "r")) + "0\r\n\r\n");
  EXPECT_TRUE(busy.read_message().starts_with("HTTP/1.1 200 "));
  busy.close();
  serve_one(w, "new");
  EXPECT_TRUE(late.read_message().ends_with("new"));
  late.close();
  await_end();
}

TEST_F(ServiceTest, TheSameAddressIsBoundAgainAtOnce) {
  start();
  Peer peer = client();
  peer.write("GET /_health HTTP/1.1\r\n\r\n");
  peer.read_message();
  stop();
  config_.listen.port = port_;
  start();
  EXPECT_TRUE(ask("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

TEST_F(ServiceTest, AnAddressInUseIsSaid) {
  Listener taken_port;
  config_.listen.port = taken_port.port();
  Service service(config_);
  const std::string fault = service.open();
  EXPECT_TRUE(fault.starts_with("127.0.0.1:" + std::to_string(taken_port.port()) + ": ")) << fault;
}

TEST_F(ServiceTest, AWatchGoesOnFromTheVersionThatIsHeld) {
  config_.known.version = 41;
  start();
  Peer watch = discovery_.accept();
  EXPECT_TRUE(
      watch.read_until("\r\n\r\n").starts_with("GET /catalog/members?follow=1&since=41 HTTP/1.1\r\n"));
  watch.write(taken() + chunk("{\"index\":43,\"snapshot\":false,\"endpoints\":[]}\n") + chunk("\n"));
  watch.close();
  Peer again = discovery_.accept();
  EXPECT_NE(again.read_until("\r\n\r\n").find("since=43 "), std::string::npos);
  again.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  Peer third = discovery_.accept();
  EXPECT_NE(third.read_until("\r\n\r\n").find("since=43 "), std::string::npos);
  third.write(taken() + chunk("no list\n"));
  Peer fourth = discovery_.accept();
  EXPECT_TRUE(fourth.open());
}

TEST_F(ServiceTest, AWatchThatFallsSilentIsTakenUpAnew) {
  start();
  Peer silent = discovery_.accept();
  silent.read_until("\r\n\r\n");
  silent.write(taken() + chunk("\n"));
  Peer again = discovery_.accept();
  EXPECT_TRUE(again.open());
  EXPECT_TRUE(silent.sees_close());
}

// ---- a new configuration ----

class Reload : public OpsTest {
 protected:
  static constexpr const char* kObligations =
      R"("obligations":{"drain-grace":1000000,"cold-from":1.0,"warm-after":0,"overload-factor":0,)"
      R"("overload-for":0})";

  Reload() : path_(::testing::TempDir() + "woadridge-reload-" + std::to_string(::getpid()) + ".json") {
    source_ = path_;
  }
  ~Reload() override {
    stop();  // it may still be reading
    std::remove(path_.c_str());
  }

  void write(const std::string& text) { std::ofstream(path_, std::ios::trunc) << text; }

  void write_config(std::uint16_t discovery) {
    write(R"({"name":"n0","listen":"127.0.0.1:9","seed":"7","discovery":"127.0.0.1:)" +
          std::to_string(discovery) +
          R"(","limits":{},"settings":{"tick":2000,"fleet-size":1,"grades":[{"name":"safe",)"
          R"("effect":"repeatable","target":9000000,"hard-limit":9000000}],"limits":{"dial-timeout":250000,)"
          R"("max-attempts":1},)" +
          std::string(kObligations) + "}}");
  }

  // The first that this dispatcher hears of any worker: one drains. Healthy tells that the line was read.
  Peer told_to_drain() {
    Peer watch = discovery_.accept();
    watch.read_until("\r\n\r\n");
    watch.write(taken() + chunk(list(41, "true", "draining")));
    while (!ask("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 ")) {
    }
    return watch;
  }

  std::string list(int version, const std::string& whole, const std::string& status) const {
    return "{\"index\":" + std::to_string(version) + ",\"snapshot\":" + whole +
           ",\"endpoints\":[{\"name\":\"w\",\"address\":\"" + worker_.address() +
           "\",\"zone\":\"a\",\"status\":\"" + status + "\"}]}\n";
  }

  std::string path_;
};

TEST_F(Reload, TheWatchMovesAndAsksTheNewDiscoveryForAll) {
  Listener next;
  config_.known.entries.clear();
  start();
  Peer watch = told_to_drain();
  write_config(next.port());
  service_->reload();
  EXPECT_TRUE(watch.sees_close());
  Peer fresh = next.accept();
  EXPECT_NE(fresh.read_until("\r\n\r\n").find("since=0 "), std::string::npos);
  // What was told stays in force until the new one has answered; its own count of versions does not matter.
  EXPECT_TRUE(ask(job("2", "safe", 300)).starts_with("HTTP/1.1 503 "));
  EXPECT_FALSE(worker_.has_caller());
  fresh.write(taken() + chunk(list(7, "true", "ready")));
  Peer peer = client();
  peer.write(job("3"));
  Peer w = worker_.accept();
  serve_one(w);
  EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 200 "));
  EXPECT_FALSE(discovery_.has_caller());
}

TEST_F(Reload, AFileThatCannotBeUsedChangesNothing) {
  start();
  Peer watch = discovery_.accept();
  watch.read_until("\r\n\r\n");
  std::remove(path_.c_str());
  service_->reload();
  for (const char* text : {"", "{", "[]", "{\"discovery\":\"nonsense\"}"}) {
    write(text);
    service_->reload();
    EXPECT_TRUE(ask("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 "));
  }
  EXPECT_EQ(figure("reload_failure"), "5");
  EXPECT_EQ(figure("reload_success"), "0");
  write_config(discovery_.port());  // the same address: the watch stays
  service_->reload();
  expect_figure("reload_success", "1");
  watch.write(taken() + chunk(list(2, "true", "ready")));
  serve_through(worker_);
  EXPECT_FALSE(discovery_.has_caller());
}

TEST_F(Reload, AJobThatIsOpenKeepsItsAttemptsAndALaterOneHasFewer) {
  start();
  const auto turned_back = [](Peer& w) {
    const std::string id = number_after(w.read_message(), "Request-Id: ");
    w.write(taken() + chunk(line(id, "returned")) + "0\r\n\r\n");
  };
  Peer open = client();
  open.write(job("1"));
  Peer w = worker_.accept();
  const std::string first = w.read_message();
  write_config(discovery_.port());
  service_->reload();
  expect_figure("reload_success", "1");
  w.write(taken() + chunk(line("1", "returned")) + "0\r\n\r\n");
  serve_one(w);
  EXPECT_TRUE(open.read_message().starts_with("HTTP/1.1 200 "));
  Peer later = client();
  later.write(job("2"));
  turned_back(w);
  EXPECT_TRUE(later.read_message().starts_with("HTTP/1.1 503 "));
  EXPECT_EQ(figure("dispatches"), "3");
}

TEST_F(Reload, CountsOfAClassThatGoesStayAndAFreshOneBeginsAtNone) {
  start();
  EXPECT_TRUE(ask(job("1", "unsafe", -1)).starts_with("HTTP/1.1 400 "));
  EXPECT_EQ(figure("error.unsafe"), "1");
  write_config(discovery_.port());
  service_->reload();
  expect_figure("reload_success", "1");
  EXPECT_TRUE(ask(job("2", "unsafe")).starts_with("HTTP/1.1 400 "));
  EXPECT_EQ(figure("error.unsafe"), "1");
  EXPECT_EQ(figure("success.safe"), "0");
}

TEST_F(Reload, ManyInARowAndANewAddressWhereNobodyAnswers) {
  Listener next;
  const Vacant nobody;
  start();
  for (int i = 0; i < 5; ++i) {
    write_config(nobody.port());
    service_->reload();
    EXPECT_TRUE(ask("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 "));
  }
  write_config(next.port());
  service_->reload();
  service_->reload();
  Peer fresh = next.accept();
  EXPECT_TRUE(fresh.read_until("\r\n\r\n").starts_with("GET /catalog/members"));
  fresh.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  Peer again = next.accept();
  EXPECT_NE(again.read_until("\r\n\r\n").find("since=0 "), std::string::npos);
  end();
  service_->reload();
  await_end();
}

TEST_F(Reload, HangUpIsASignalToReadAgainNotToEnd) {
  Listener next;
  start();
  write_config(next.port());
  ::kill(::getpid(), SIGHUP);
  EXPECT_TRUE(next.accept().open());
  EXPECT_TRUE(ask("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

// ---- other settings while it serves ----

class Switch : public Reload {
 protected:
  // The shape of a deployment: more classes, what the list's weights mean, what may be done.
  void write_settings(const std::string& grades, const std::string& more, const std::string& limits) {
    write(R"({"name":"n0","listen":"127.0.0.1:9","seed":"7","discovery":"127.0.0.1:)" +
          std::to_string(discovery_.port()) +
          R"(","limits":{},"settings":{"tick":2000,"fleet-size":1,"az":"a",)" + kObligations +
          R"(,"grades":[)" + grades + "]," + more +
          R"("domain":{"tells-start":true},"limits":{"dial-timeout":5000000,"max-attempts":3,)" + limits +
          R"("cancelling":true}}})");
  }
  static std::string grade(const std::string& name, const std::string& effect) {
    return R"({"name":")" + name + R"(","effect":")" + effect +
           R"(","key-scope":"zone","memory-span":3000000,"target":9000000,"hard-limit":20000000})";
  }
  void first_shape() {
    write_settings(
        grade("safe", "repeatable") + "," + grade("keyed", "by_key") + "," + grade("unsafe", "once"),
        R"("membership-mode":"push",)", R"("retry-after":true,"max-retry-after":1250000,)");
  }
  void shape_with_live_weights() {
    write_settings(grade("quick", "repeatable") + "," + grade("safe", "repeatable"),
                   R"("membership-mode":"push","weight-source":"live",)", "");
  }
  void shape_with_messages() {
    write_settings(grade("keyed", "by_key") + "," + grade("sheet", "repeatable"),
                   R"("membership-mode":"push","weight-source":"rough",)",
                   R"("peers":true,"second-copies":true,)");
  }
  // Taken when it is back: what was asked before is answered in order behind it.
  void reload_and_wait(const std::string& known_class, bool knows) {
    service_->reload();
    Peer peer = client();
    const std::string start = knows ? "HTTP/1.1 200 " : "HTTP/1.1 400 ";
    peer.write(job("probe-" + known_class + std::to_string(++probes_), known_class));
    if (knows) {
      Peer w = worker_.accept();
      serve_one(w);
    }
    EXPECT_TRUE(peer.read_message().starts_with(start)) << known_class;
  }
  int probes_ = 0;
};

TEST_F(Switch, GoesToAnotherShapeAndOnAndBackWithJobsOutAtEachStep) {
  start();
  struct Out {
    Peer client, worker;
    std::string id;
  };
  std::vector<Out> outs;
  const auto send_out = [&](const std::string& of_class) {
    const std::string id = std::to_string(100 + outs.size());
    Out out{client(), Peer(), id};
    out.client.write(job(id, of_class));
    out.worker = worker_.accept();
    const std::string message = out.worker.read_message();
    EXPECT_EQ(number_after(message, "Request-Id: "), id);
    out.worker.write(taken() + chunk(line(id, "started")));
    outs.push_back(std::move(out));
  };
  send_out("unsafe");  // its class is gone in the shapes that follow
  shape_with_live_weights();
  reload_and_wait("unsafe", false);
  send_out("quick");
  shape_with_messages();
  reload_and_wait("quick", false);
  send_out("keyed");
  first_shape();
  reload_and_wait("sheet", false);
  send_out("safe");
  for (auto& out : outs) {  // each ends with the one attempt that it was given
    out.worker.write(chunk(done(out.id, "r" + out.id)) + "0\r\n\r\n");
    const std::string answer = out.client.read_message();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    EXPECT_TRUE(answer.ends_with("r" + out.id));
  }
  EXPECT_FALSE(worker_.has_caller());
}

TEST_F(Switch, AnUnsafeJobWhoseClassIsGoneIsNotSentAgain) {
  start();
  Peer peer = client();
  peer.write(job("5", "unsafe"));
  Peer w = worker_.accept();
  w.read_message();
  w.write(taken() + chunk(line("5", "started")));
  shape_with_live_weights();
  reload_and_wait("unsafe", false);
  w.close();  // it may have run
  EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 500 "));
  EXPECT_FALSE(worker_.has_caller());
}

TEST_F(Switch, AFaultInTheSettingsChangesNothing) {
  start();
  const std::string safe = grade("safe", "repeatable");
  Peer w;
  for (const std::string more :
       {R"("weight-source":"heavy",)", R"("fleet-size":0,)", R"("over-share-worth":7,)",
        R"("accounts":[{"name":"t","quota-per-s":"many"}],)"}) {
    write_settings(safe, more, "");
    service_->reload();
    Peer peer = client();
    peer.write(job("9", "unsafe"));  // the file does not know it
    if (!w.open()) w = worker_.accept();
    serve_one(w);
    EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 200 ")) << more;
  }
}

TEST_F(Switch, TwiceAtOnceAndWithTheEndBehindIt) {
  start();
  Peer peer = client();
  peer.write(job("5"));
  Peer w = worker_.accept();
  w.read_message();
  w.write(taken() + chunk(line("5", "started")));
  shape_with_live_weights();
  service_->reload();
  service_->reload();
  service_->end();
  service_->reload();
  w.write(chunk(done("5", "r")) + "0\r\n\r\n");
  EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 200 "));
  await_end();
}

TEST_F(Switch, WhileDiscoveryIsDarkTheListAndItsDrainsStay) {
  config_.known.entries.clear();
  start();
  Peer watch = told_to_drain();
  discovery_.close();
  watch.close();
  shape_with_live_weights();
  service_->reload();
  EXPECT_TRUE(ask(job("2", "quick", 300)).starts_with("HTTP/1.1 503 "));
  EXPECT_FALSE(worker_.has_caller());
}

TEST_F(ServiceTest, AnUnreadableEntryDoesNotEmptyTheList) {
  start();
  Peer watch = discovery_.accept();
  watch.read_until("\r\n\r\n");
  watch.write(taken() + chunk("{\"index\":43,\"snapshot\":true,\"endpoints\":[{\"name\":5}]}\n"));
  watch.write("0\r\n\r\n");
  EXPECT_TRUE(discovery_.accept().open());  // by then the line before was read
  EXPECT_TRUE(ask("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

TEST_F(ServiceTest, AWorkerThatMovesIsFoundAtItsNewAddress) {
  start();
  Listener moved;
  Peer watch = discovery_.accept();
  watch.read_until("\r\n\r\n");
  watch.write(taken() +
              chunk("{\"index\":43,\"snapshot\":false,\"endpoints\":[{\"name\":\"w\",\"address\":\"" +
                    moved.address() + "\",\"zone\":\"a\",\"status\":\"ready\"}]}\n") +
              "0\r\n\r\n");
  EXPECT_TRUE(discovery_.accept().open());
  Peer peer = client();
  peer.write(job("1"));
  Peer w = moved.accept();
  serve_one(w, "moved");
  EXPECT_TRUE(peer.read_message().ends_with("moved"));
  EXPECT_FALSE(worker_.has_caller());
}

TEST_F(ServiceTest, AtTheLimitOfDescriptorsAnIdleClientMakesRoom) {
  config_.sockets = 32 + 8;  // shares: four clients, four workers
  start();
  std::vector<Peer> peers;
  for (int i = 0; i < 4; ++i) {
    peers.push_back(client());
    peers.back().write("GET /_health HTTP/1.1\r\n\r\n");
    peers.back().read_message();
  }
  Peer fifth = client();
  fifth.write("GET /_health HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(fifth.read_message().starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(peers[0].sees_close());
  peers[1].write("GET /_health HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(peers[1].read_message().starts_with("HTTP/1.1 200 "));
}

TEST_F(ServiceTest, StrangersGoBeforeUsualClients) {
  config_.sockets = 32 + 8;  // shares: four clients, four workers
  start();
  Peer usual = client();
  usual.write(job("1"));
  Peer w = worker_.accept();
  serve_one(w);
  usual.read_message();
  std::vector<Peer> strangers;
  for (int i = 0; i < 3; ++i) {  // they come later than the usual client, and each is answered
    strangers.push_back(client());
    strangers.back().write("GET /_health HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(strangers.back().read_message().starts_with("HTTP/1.1 200 "));
  }
  for (int i = 0; i < 9; ++i) {
    strangers.push_back(client());
    strangers.back().write("GET /");  // never a whole request
  }
  Peer other = client();
  other.write(job("2"));
  serve_one(w);
  EXPECT_TRUE(other.read_message().starts_with("HTTP/1.1 200 "));
  usual.write(job("3"));
  serve_one(w, "kept");
  EXPECT_TRUE(usual.read_message().ends_with("kept"));
}

// Guards against requests that wait unseen in the backlog until their clients give up: all descriptors are
// held by open requests, and each further one is refused at once and may come back.
TEST_F(ServiceTest, BeyondTheDescriptorsNewRequestsAreRefusedAtOnceAndTheRestGoOn) {
  config_.sockets = 32 + 8;  // four clients' descriptors, one of them for refusing; four workers'
  start();
  std::vector<Peer> held;
  std::vector<Peer> at_worker;
  for (int i = 0; i < 3; ++i) {
    held.push_back(client());
    held.back().write(job(std::to_string(i)));
    at_worker.push_back(worker_.accept());
    const std::string id = number_after(at_worker.back().read_message(), "Request-Id: ");
    at_worker.back().write(taken() + chunk(line(id, "started")));
  }
  for (int i = 10; i < 40; ++i) {
    const std::string refused = ask(job(std::to_string(i), i % 2 ? "unsafe" : "keyed"));
    EXPECT_TRUE(refused.starts_with("HTTP/1.1 503 ")) << i << " " << refused;
    EXPECT_NE(refused.find("Retry-After: "), std::string::npos);
    EXPECT_NE(refused.find("Connection: close"), std::string::npos);
  }
  for (int i = 0; i < 3; ++i) {
    at_worker[static_cast<std::size_t>(i)].write(chunk(done(std::to_string(i), "r")) + "0\r\n\r\n");
    EXPECT_TRUE(held[static_cast<std::size_t>(i)].read_message().starts_with("HTTP/1.1 200 "));
  }
}

TEST_F(ServiceTest, WhereBuffersHaveNoSpaceNewRequestsAreRefusedAndTheRestGoOn) {
  config_.memory_mb = 3;  // one for buffers
  start();
  const std::string whole = job("1", "safe", 15'000, std::string(65'000, 'x'));
  std::vector<Peer> halves;
  std::string refused;
  for (int i = 0; i < 40 && refused.empty(); ++i) {
    halves.push_back(client());
    halves.back().write(whole.substr(0, 60'000));
    if (i > 10) refused = halves.back().has_news(100) ? halves.back().read_message() : "";
  }
  EXPECT_TRUE(refused.starts_with("HTTP/1.1 503 ")) << refused;
  Peer peer = client();
  peer.write(job("2"));
  Peer w = worker_.accept();
  serve_one(w);
  EXPECT_TRUE(peer.read_message().starts_with("HTTP/1.1 200 "));
}

TEST_F(ServiceTest, ARequestThatIsNeverFinishedIsAnsweredAndSilenceEnded) {
  start();
  Peer head = client(), body = client(), silent = client();
  head.write("POST /api HTTP/1.1\r\nRequest-Id: 1\r\n");
  body.write("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
  for (Peer* peer : {&head, &body}) {
    EXPECT_TRUE(peer->read_message().starts_with("HTTP/1.1 408 "));
    EXPECT_TRUE(peer->sees_close());
  }
  EXPECT_TRUE(silent.sees_close());
}

TEST_F(ServiceTest, RandomBytesFromClientsDoNoHarm) {
  start();
  std::uint64_t state = 20261201;
  for (int i = 0; i < 200; ++i) {
    std::string text = job(std::to_string(i), "safe", 50);
    for (int n = 0; n < 3; ++n) {
      state = state * 6364136223846793005ULL + 1442695040888963407ULL;
      text[(state >> 33) % text.size()] = static_cast<char>(state >> 56);
    }
    Peer peer = client();
    peer.write(text.substr(0, (state >> 40) % (2 * text.size())));
  }
  EXPECT_TRUE(ask("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

}  // namespace
}  // namespace woadridge::net::test
