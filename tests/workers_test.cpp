#include "net/workers.h"

#include <gtest/gtest.h>

#include <optional>

#include "net_rig.h"

namespace woadridge::net::test {
namespace {

// A pool with its loop, and what it reported. Peers run in threads of their own.
class Workers : public ::testing::Test, protected WorkerEvents {
 protected:
  Workers() : pool_(boost::asio::make_strand(io_), clock_, space_, *this) {
    pool_.configure(10'000'000, 10'000'000, 8);
  }
  ~Workers() override { pool_.close_all(); }

  struct Ended {
    AttemptKey key;
    AttemptEnd end;
  };

  void job_taken(AttemptKey key) override { taken_.push_back(key); }
  void job_started(AttemptKey key) override { started_.push_back(key); }
  void job_progress(AttemptKey, double done) override { progress_.push_back(done); }
  void job_written(AttemptKey) override { ++written_; }
  void attempt_ended(AttemptKey key, AttemptEnd end) override {
    ended_.push_back({key, std::move(end)});
    if (on_end_) on_end_();
  }
  void probe_ended(const WorkerId&, Micros, bool ok) override { probed_.push_back(ok); }

  void run_until(const std::function<bool()>& done) {
    io_.restart();
    const auto limit = std::chrono::steady_clock::now() + std::chrono::milliseconds(kPatienceMs);
    while (!done() && std::chrono::steady_clock::now() < limit) io_.run_one_for(std::chrono::seconds(1));
  }

  void send(AttemptKey key, std::string_view body = "work") {
    WorkerRequest request;
    request.method = "POST";
    request.target = "/api?x=1";
    request.request_id = id_;
    request.idempotency_key = "key";
    request.body = body;
    request.timeout_ms = 900;
    pool_.send(key, "w", request);
  }

  Ended send_to_end(AttemptKey key = {1, 0}, std::string_view body = "work") {
    const std::size_t before = ended_.size();
    send(key, body);
    run_until([&] { return ended_.size() > before; });
    return ended_.size() > before ? ended_.back() : Ended{};
  }

  // The end of one attempt at a worker that does what the script says once it has the request.
  Ended against(const std::function<void(Peer&)>& script) {
    Listener worker;
    pool_.locate("w", {"127.0.0.1", worker.port()});
    std::thread thread([&] {
      Peer peer = worker.accept();
      peer.read_message();
      script(peer);
    });
    const Ended end = send_to_end();
    thread.join();
    pool_.forget("w");
    return end;
  }

  Ended answered_with(const std::string& text) {
    return against([&](Peer& peer) { peer.write(text); });
  }

  void answer(Peer& peer, std::string_view result = "r") {
    peer.read_message();
    peer.write(taken() + chunk(done(id_, result)) + "0\r\n\r\n");
  }

  // A worker that answers one job, and stays until its connection is closed.
  std::thread serving_one(Listener& worker) {
    return std::thread([this, &worker] {
      Peer peer = worker.accept();
      answer(peer);
      peer.sees_close();
    });
  }

  static Result result(const Ended& e) { return result_of(e.end); }

  boost::asio::io_context io_;
  Clock clock_;
  BufferSpace space_{0};
  WorkerPool pool_;
  std::string id_ = "9b1f";
  int written_ = 0;
  std::vector<AttemptKey> taken_, started_;
  std::vector<double> progress_;
  std::vector<Ended> ended_;
  std::vector<bool> probed_;
  std::function<void()> on_end_;
};

std::string with_length(const std::string& status, const std::string& more = "") {
  return "HTTP/1.1 " + status + "\r\n" + more + "Content-Length: 0\r\n\r\n";
}

TEST_F(Workers, TheRequestGoesOnUnchanged) {
  std::string seen;
  Listener worker;
  pool_.locate("w", {"127.0.0.1", worker.port()});
  std::thread thread([&] {
    Peer peer = worker.accept();
    seen = peer.read_message();
    peer.write(taken() + chunk(done(id_, "r")) + "0\r\n\r\n");
    peer.sees_close();
  });
  EXPECT_EQ(result(send_to_end()), Result::ok);
  pool_.close_all();
  thread.join();
  EXPECT_TRUE(seen.starts_with("POST /api?x=1 HTTP/1.1\r\n")) << seen;
  EXPECT_NE(seen.find("\r\nRequest-Id: 9b1f\r\n"), std::string::npos);
  EXPECT_NE(seen.find("\r\nIdempotency-Key: key\r\n"), std::string::npos);
  EXPECT_NE(seen.find("\r\nRequest-Timeout-Ms: 900\r\n"), std::string::npos);
  EXPECT_TRUE(seen.ends_with("\r\n\r\nwork"));
}

TEST_F(Workers, NothingThatListensIsNoConnection) {
  Listener closed;
  const auto port = closed.port();
  closed.close();
  pool_.locate("w", {"127.0.0.1", port});
  const Ended e = send_to_end();
  EXPECT_EQ(e.end.reached, Reached::no_connection);
  EXPECT_EQ(result(e), Result::no_connection);
}

TEST_F(Workers, AWorkerThatNoListNamesIsNoConnection) {
  EXPECT_EQ(result(send_to_end()), Result::no_connection);
}

TEST_F(Workers, AConnectionThatNeverComesUpIsNoConnection) {
  Listener full(0);  // its queue is full after one: further attempts to connect are not answered
  std::vector<Peer> fillers;
  fillers.push_back(Peer::connect(full.port()));
  pool_.configure(50'000, 10'000'000, 8);
  pool_.locate("w", {"127.0.0.1", full.port()});
  send({1, 0});
  send({2, 0});
  run_until([&] { return !ended_.empty(); });
  ASSERT_FALSE(ended_.empty());
  EXPECT_EQ(result(ended_[0]), Result::no_connection);
}

TEST_F(Workers, ABreakBeforeTheLastByteNeverRan) {
  Listener worker;
  pool_.locate("w", {"127.0.0.1", worker.port()});
  std::thread thread([&] {
    Peer peer = worker.accept();
    peer.read_until("\r\n\r\n");
    peer.reset();
  });
  const std::string body(64 << 20, 'b');  // more than the system's buffers take
  const Ended e = send_to_end({1, 0}, body);
  thread.join();
  EXPECT_EQ(e.end.reached, Reached::connected);
  EXPECT_EQ(result(e), Result::no_connection);
}

TEST_F(Workers, BreaksFromTheLastByteOnMayHaveRun) {
  const Ended silent = against([](Peer& peer) { peer.close(); });
  EXPECT_EQ(silent.end.reached, Reached::all_written);
  EXPECT_EQ(result(silent), Result::broken);
  const Ended reset = against([](Peer& peer) { peer.reset(); });
  EXPECT_EQ(result(reset), Result::broken);
  const Ended took = answered_with(taken());
  EXPECT_EQ(took.end.reached, Reached::taken);
  EXPECT_EQ(result(took), Result::broken);
  const Ended began = answered_with(taken() + chunk(line(id_, "started")));
  EXPECT_EQ(began.end.reached, Reached::started);
  EXPECT_EQ(result(began), Result::broken);
  EXPECT_EQ(started_.size(), 1u);
  EXPECT_EQ(taken_.size(), 2u);
  const Ended ended_early = answered_with(taken() + chunk(line(id_, "started")) + "0\r\n\r\n");
  EXPECT_EQ(result(ended_early), Result::broken);
}

TEST_F(Workers, LastLines) {
  const Ended ok =
      answered_with(taken() + chunk(line(id_, "started")) + chunk(line(id_, "running", ",\"share\":0.4")) +
                    chunk(done(id_, "a\\u0041\\n")) + "0\r\n\r\n");
  EXPECT_EQ(result(ok), Result::ok);
  EXPECT_EQ(ok.end.result, "aA\n");
  ASSERT_EQ(progress_.size(), 1u);
  EXPECT_EQ(progress_[0], 0.4);
  EXPECT_EQ(result(answered_with(taken() + chunk(line(id_, "failed")) + "0\r\n\r\n")), Result::error);
  EXPECT_EQ(result(answered_with(taken() + chunk(line(id_, "returned")) + "0\r\n\r\n")), Result::full);
  EXPECT_EQ(result(answered_with(taken() + chunk(line(id_, "lost")) + "0\r\n\r\n")), Result::broken);
}

TEST_F(Workers, Statuses) {
  EXPECT_EQ(result(answered_with(with_length("500 Error"))), Result::error);
  EXPECT_EQ(result(answered_with(with_length("500 Error", "Not-Started: 1\r\n"))), Result::error);
  EXPECT_EQ(result(answered_with(with_length("503 Busy"))), Result::error);
  EXPECT_EQ(result(answered_with(with_length("503 Busy", "Not-Started: 1\r\n"))), Result::full);
  EXPECT_EQ(result(answered_with(with_length("504 Late"))), Result::error);
  EXPECT_EQ(result(answered_with(with_length("504 Late", "Not-Started: 1\r\n"))), Result::full);
  EXPECT_EQ(result(answered_with(with_length("503 Busy", "Not-Started: 0\r\n"))), Result::error);
  EXPECT_EQ(result(answered_with(with_length("404 Unknown"))), Result::rejected);
  EXPECT_EQ(result(answered_with(with_length("400 Bad"))), Result::rejected);
  EXPECT_EQ(result(answered_with(with_length("408 Late"))), Result::error);
  EXPECT_EQ(result(answered_with(with_length("429 Busy"))), Result::error);
}

TEST_F(Workers, LinesThatCannotBeBelievedEndTheConnection) {
  const std::string bad[] = {done("other", "r"),
                             "not json\n",
                             "{\"state\":\"done\",\"result\":\"r\"}\n",
                             "{\"id\":\"9b1f\",\"result\":\"r\"}\n",
                             line(id_, "done"),
                             line(id_, "done", ",\"result\":7"),
                             "[" + std::string(500'000, ' ') + "]\n"};
  for (const auto& text : bad) {
    const Ended e = answered_with(taken() + chunk(text) + "0\r\n\r\n");
    EXPECT_EQ(result(e), Result::broken) << text.substr(0, 60);
  }
  EXPECT_EQ(result(answered_with("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")),
            Result::broken);
  EXPECT_EQ(result(answered_with("nonsense\r\n\r\n")), Result::broken);
  EXPECT_EQ(pool_.open_connections(), 0u);
}

TEST_F(Workers, LinesSplitAnywhereAndJoinedAreTheSame) {
  const std::string lines = line(id_, "started") + line(id_, "news-of-later") + done(id_, "r");
  const Ended joined = answered_with(taken() + chunk(lines) + "0\r\n\r\n");
  EXPECT_EQ(joined.end.result, "r");
  std::string split = taken();
  for (char c : lines) split += chunk({&c, 1});
  const Ended apart = against([&](Peer& peer) { peer.write_bytewise(split + "0\r\n\r\n"); });
  EXPECT_EQ(apart.end.result, "r");
  EXPECT_EQ(started_.size(), 2u);
}

TEST_F(Workers, AConnectionCarriesOneJobAfterTheOther) {
  Listener worker;
  pool_.locate("w", {"127.0.0.1", worker.port()});
  std::thread thread([&] {
    Peer peer = worker.accept();
    for (int i = 0; i < 3; ++i) answer(peer, std::to_string(i));
    peer.sees_close();
  });
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(send_to_end({static_cast<RequestId>(i), 0}).end.result, std::to_string(i));
    EXPECT_EQ(pool_.open_connections(), 1u);
  }
  EXPECT_EQ(pool_.opened(), 1u);
  pool_.close_all();
  thread.join();
}

// What the module sends on an outcome finds the connection of that outcome free.
TEST_F(Workers, AConnectionIsFreeOnceItsEndIsTold) {
  Listener worker;
  pool_.locate("w", {"127.0.0.1", worker.port()});
  std::thread thread([&] {
    Peer peer = worker.accept();
    for (int i = 0; i < 2; ++i) answer(peer, std::to_string(i));
    peer.sees_close();
  });
  on_end_ = [this] {
    if (ended_.size() == 1) send({2, 0});
  };
  send({1, 0});
  run_until([&] { return ended_.size() == 2; });
  EXPECT_EQ(pool_.opened(), 1u);
  pool_.close_all();
  thread.join();
}

// The end of the message may come after the last line: until then the connection is not free.
TEST_F(Workers, AConnectionIsFreeWhenItsMessageHasEnded) {
  Listener worker;
  pool_.locate("w", {"127.0.0.1", worker.port()});
  std::thread thread([&] {
    Peer first = worker.accept();
    first.read_message();
    first.write(taken() + chunk(done(id_, "1")));
    Peer second = worker.accept();
    answer(second, "2");
    second.sees_close();
  });
  EXPECT_EQ(send_to_end({1, 0}).end.result, "1");
  EXPECT_EQ(send_to_end({2, 0}).end.result, "2");
  EXPECT_EQ(pool_.opened(), 2u);
  pool_.close_all();
  thread.join();
}

TEST_F(Workers, AStaleConnectionIsNotUsed) {
  Listener worker;
  pool_.locate("w", {"127.0.0.1", worker.port()});
  std::atomic<int> closed{0};
  std::thread thread([&] {
    for (const char* result : {"0", "1"}) {
      Peer peer = worker.accept();
      answer(peer, result);
      peer.close();
      ++closed;
    }
  });
  EXPECT_EQ(send_to_end({1, 0}).end.result, "0");
  while (closed == 0) std::this_thread::yield();
  EXPECT_EQ(send_to_end({2, 0}).end.result,
            "1");  // the loop may not have seen the close: the system is asked
  thread.join();
  EXPECT_EQ(pool_.opened(), 2u);
}

TEST_F(Workers, WhatNobodyAskedForEndsAnIdleConnection) {
  Listener worker;
  pool_.locate("w", {"127.0.0.1", worker.port()});
  std::thread thread([&] {
    Peer peer = worker.accept();
    answer(peer, "1");
    peer.write(taken() + chunk(done(id_, "2")) + "0\r\n\r\n");
    peer.sees_close();
  });
  EXPECT_EQ(send_to_end({1, 0}).end.result, "1");
  run_until([&] { return pool_.open_connections() == 0; });
  EXPECT_EQ(pool_.open_connections(), 0u);
  EXPECT_EQ(ended_.size(), 1u);
  thread.join();
}

TEST_F(Workers, ACancelClosesTheConnectionAndReportsNothing) {
  Listener worker;
  pool_.locate("w", {"127.0.0.1", worker.port()});
  std::atomic<bool> got{false}, closed{false};
  std::thread thread([&] {
    Peer peer = worker.accept();
    peer.read_message();
    peer.write(taken() + chunk(line(id_, "started")));
    got = true;
    closed = peer.sees_close();
  });
  send({1, 0});
  run_until([&] { return !started_.empty(); });
  pool_.call_off({1, 0});
  thread.join();
  EXPECT_TRUE(closed);
  EXPECT_TRUE(ended_.empty());
  EXPECT_EQ(pool_.open_connections(), 0u);
}

TEST_F(Workers, AnotherAddressOrARestartLosesIdleConnections) {
  Listener worker;
  pool_.locate("w", {"127.0.0.1", worker.port()});
  std::thread thread([&] {
    for (int i = 0; i < 2; ++i) {
      Peer peer = worker.accept();
      answer(peer);
      peer.sees_close();
    }
  });
  send_to_end({1, 0});
  run_until([&] { return pool_.open_connections() == 1; });
  pool_.drop_idle("w");
  EXPECT_EQ(pool_.open_connections(), 0u);
  send_to_end({2, 0});
  pool_.locate("w", {"127.0.0.1", worker.port()});
  EXPECT_EQ(pool_.open_connections(), 1u);
  pool_.locate("w", {"127.0.0.2", worker.port()});
  EXPECT_EQ(pool_.open_connections(), 0u);
  thread.join();
}

TEST_F(Workers, IdleConnectionsAreDroppedBeforeTheWorkerDoes) {
  pool_.configure(10'000'000, 1, 8);
  Listener worker;
  pool_.locate("w", {"127.0.0.1", worker.port()});
  std::thread thread = serving_one(worker);
  send_to_end({1, 0});
  EXPECT_EQ(pool_.open_connections(), 1u);
  pool_.configure(10'000'000, 2, 8);
  pool_.sweep();
  EXPECT_EQ(pool_.open_connections(), 0u);
  thread.join();
}

TEST_F(Workers, AtTheLimitTheLongestIdleGoesAndThenNothingIsSent) {
  pool_.configure(10'000'000, 10'000'000, 2);
  Listener one, two;
  pool_.locate("v", {"127.0.0.1", one.port()});
  pool_.locate("w", {"127.0.0.1", two.port()});
  std::vector<std::thread> threads;
  threads.push_back(serving_one(one));
  threads.push_back(serving_one(two));
  WorkerRequest request;
  request.method = "POST", request.target = "/api", request.request_id = id_;
  pool_.send({1, 0}, "v", request);
  run_until([&] { return ended_.size() == 1; });
  EXPECT_EQ(send_to_end({2, 0}).end.result, "r");
  EXPECT_EQ(pool_.open_connections(), 2u);
  Listener silent;
  pool_.locate("x", {"127.0.0.1", silent.port()});
  pool_.send({3, 0}, "x", request);  // the idle one to v makes room
  pool_.send({4, 0}, "x", request);  // the one to w
  EXPECT_EQ(pool_.open_connections(), 2u);
  pool_.send({5, 0}, "x", request);
  ASSERT_EQ(ended_.size(), 3u);
  EXPECT_EQ(ended_[2].key.id, 5u);
  EXPECT_EQ(result(ended_[2]), Result::no_connection);
  for (auto& thread : threads) thread.join();
}

TEST_F(Workers, AProbeTellsWhetherTheWorkerAnswers) {
  for (const bool good : {true, false}) {
    Listener worker;
    pool_.locate("w", {"127.0.0.1", worker.port()});
    std::string seen;
    std::thread thread([&] {
      Peer peer = worker.accept();
      seen = peer.read_message();
      peer.write(with_length(good ? "200 OK" : "503 Busy"));
      peer.sees_close();
    });
    probed_.clear();
    pool_.probe("w", {});
    run_until([&] { return !probed_.empty(); });
    pool_.forget("w");
    thread.join();
    EXPECT_EQ(probed_, std::vector<bool>{good});
    EXPECT_TRUE(seen.starts_with("GET /ping HTTP/1.1\r\n"));
  }
}

}  // namespace
}  // namespace woadridge::net::test
