#include "net/http.h"

#include <gtest/gtest.h>

#include <cstring>
#include <random>

namespace woadridge::net {
namespace {

using State = HttpReader::State;
using Side = HttpReader::Side;

// Gives the text in pieces of at most `step` bytes, as far as the reader has room.
void feed(HttpReader& reader, std::string_view text, std::size_t step = 1 << 20) {
  while (!text.empty()) {
    const auto room = reader.room();
    if (room.empty()) return;
    const std::size_t bytes = std::min({step, room.size(), text.size()});
    std::memcpy(room.data(), text.data(), bytes);
    reader.arrived(bytes);
    text.remove_prefix(bytes);
  }
}

const std::string kLength =
    "POST /api?x=1 HTTP/1.1\r\nHost: h\r\nRequest-Id:  abc \r\nContent-Length: 5\r\n\r\nhello";
const std::string kChunked =
    "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\nRequest-Id: abc\r\n\r\n"
    "3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nT: 1\r\n\r\n";

TEST(HttpReader, MessagesAreTheSameHoweverTheyAreSplit) {
  for (const auto& text : {kLength, kChunked}) {
    for (std::size_t step = 1; step <= text.size(); ++step) {
      HttpReader reader(Side::requests);
      feed(reader, text, step);
      ASSERT_EQ(reader.state(), State::complete) << step;
      EXPECT_EQ(reader.method(), "POST");
      EXPECT_EQ(reader.header("request-ID"), "abc");
      EXPECT_EQ(reader.body(), "hello");
      EXPECT_TRUE(reader.keep_alive());
      EXPECT_TRUE(reader.nothing_behind());
    }
    for (std::size_t cut = 0; cut < text.size(); ++cut) {
      HttpReader reader(Side::requests);
      feed(reader, text.substr(0, cut));
      EXPECT_TRUE(reader.state() == State::head || reader.state() == State::body) << cut;
    }
  }
}

TEST(HttpReader, JoinedMessagesComeOneByOne) {
  HttpReader reader(Side::requests);
  feed(reader, kChunked + kLength + kChunked);
  for (int i = 0; i < 3; ++i) {
    ASSERT_EQ(reader.state(), State::complete);
    EXPECT_EQ(reader.body(), "hello");
    EXPECT_EQ(reader.target(), i == 1 ? "/api?x=1" : "/api");
    reader.next();
  }
  EXPECT_EQ(reader.state(), State::head);
  EXPECT_TRUE(reader.untouched());
}

TEST(HttpReader, HeldSlicesOutliveTheNextMessage) {
  HttpReader reader(Side::requests);
  feed(reader, kLength);
  const auto held = reader.held();
  const auto body = reader.body();
  reader.next();
  feed(reader, "POST /b HTTP/1.1\r\nContent-Length: 200\r\n\r\n" + std::string(200, 'z'));
  EXPECT_EQ(body, "hello");
  EXPECT_EQ(reader.body(), std::string(200, 'z'));
}

TEST(HttpReader, WhatComesBehindAWaitingMessageIsKeptUpToABound) {
  HttpReader reader(Side::requests);
  feed(reader, kLength);
  const auto held = reader.held();
  std::size_t behind = 0;
  for (; !reader.room().empty(); ++behind) feed(reader, "x");
  EXPECT_LT(behind, 8192u);
  EXPECT_EQ(reader.body(), "hello");
}

TEST(HttpReader, AllBuffersTogetherKeepToTheirSpace) {
  BufferSpace space(3);  // a third of three megabytes
  std::vector<std::unique_ptr<HttpReader>> readers;
  int refused = 0;
  for (int i = 0; i < 40; ++i) {
    readers.push_back(std::make_unique<HttpReader>(Side::requests, HttpLimits{}, &space));
    feed(*readers.back(), "POST / HTTP/1.1\r\nContent-Length: 65000\r\n\r\n" + std::string(60'000, 'x'));
    refused += readers.back()->fault() == HttpFault::no_space ? 1 : 0;
    EXPECT_TRUE(refused > 0 || readers.back()->state() == State::body);
  }
  EXPECT_GT(refused, 20);
  EXPECT_LT(refused, 40);
  EXPECT_LE(space.taken(), space.most() + 40 * 4096);
  readers.clear();
  EXPECT_EQ(space.taken(), 0u);
}

struct Refused {
  std::string text;
  HttpFault fault;
};

TEST(HttpReader, FaultsOfRequests) {
  const std::string post = "POST / HTTP/1.1\r\n";
  const Refused refused[] = {
      {"POST /\r\n\r\n", HttpFault::bad_message},
      {"POST  / HTTP/1.1\r\n\r\n", HttpFault::bad_message},
      {"POST / HTTP/2.0\r\n\r\n", HttpFault::bad_message},
      {"P(ST / HTTP/1.1\r\n\r\n", HttpFault::bad_message},
      {post + "no colon\r\n\r\n", HttpFault::bad_message},
      {post + "a : b\r\n\r\n", HttpFault::bad_message},
      {post + "a: b\r\n folded\r\n\r\n", HttpFault::bad_message},
      {post + "a: b\x01\r\n\r\n", HttpFault::bad_message},
      {post + "a: b\nContent-Length: 3\r\n\r\n", HttpFault::bad_message},
      {post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", HttpFault::bad_message},
      {post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", HttpFault::bad_message},
      {post + "Content-Length: 3, 3\r\n\r\n", HttpFault::bad_message},
      {post + "Content-Length: -1\r\n\r\n", HttpFault::bad_message},
      {post + "Content-Length: +1\r\n\r\n", HttpFault::bad_message},
      {post + "Content-Length:\r\n\r\n", HttpFault::bad_message},
      {post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", HttpFault::bad_message},
      {post + "Content-Length: 0x3\r\n\r\n", HttpFault::bad_message},
      {post + "Content-Length : 3\r\n\r\n", HttpFault::bad_message},
      {post + "Transfer-Encoding: identity\r\n\r\n", HttpFault::bad_message},
      {post + "Transfer-Encoding: gzip, chunked\r\n\r\n", HttpFault::bad_message},
      {post + "Transfer-Encoding: chunked, chunked\r\n\r\n", HttpFault::bad_message},
      {post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", HttpFault::bad_message},
      {post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", HttpFault::bad_message},
      {post + "a: b\rc: d\r\n\r\n", HttpFault::bad_message},
      {post + "Content-Length: 99999999999999999999999\r\n\r\n", HttpFault::body_too_large},
      {post + "Transfer-Encoding: gzip\r\n\r\n", HttpFault::bad_message},
      {post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", HttpFault::bad_message},
      {post + "Transfer-Encoding: chunked\r\n\r\n\r\n", HttpFault::bad_message},
      {post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", HttpFault::bad_message},
      {post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc", HttpFault::bad_message},
      {post + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffffff\r\n", HttpFault::body_too_large},
      {post + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(300, 'x'), HttpFault::bad_message},
      {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + std::string(5000, 'x'), HttpFault::bad_message},
  };
  for (const auto& r : refused) {
    HttpReader reader(Side::requests);
    feed(reader, r.text);
    EXPECT_EQ(reader.state(), State::failed) << r.text;
    EXPECT_EQ(reader.fault(), r.fault) << r.text;
  }
}

std::string head_of(std::size_t bytes) {  // a whole head of that size
  const std::string begin = "GET / HTTP/1.1\r\na: ";
  return begin + std::string(bytes - begin.size() - 4, 'x') + "\r\n\r\n";
}

TEST(HttpReader, LimitsHoldToTheByte) {
  const HttpLimits limits{512, 100};
  for (const std::size_t step : {std::size_t{1}, std::size_t{4096}}) {
    HttpReader fits(Side::requests, limits);
    feed(fits, head_of(512), step);
    EXPECT_EQ(fits.state(), State::complete);
    HttpReader over(Side::requests, limits);
    feed(over, head_of(513), step);
    EXPECT_EQ(over.fault(), HttpFault::head_too_large);
    for (const std::size_t size : {std::size_t{100}, std::size_t{101}}) {
      const std::string body(size, 'b');
      HttpReader by_length(Side::requests, limits);
      feed(by_length, "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + body, step);
      HttpReader chunked(Side::requests, limits);
      feed(chunked,
           "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n" + body.substr(0, 64) + "\r\n" +
               (size == 100 ? "24" : "25") + "\r\n" + body.substr(64) + "\r\n0\r\n\r\n",
           step);
      for (const auto* reader : {&by_length, &chunked}) {
        EXPECT_EQ(reader->state(), size == 100 ? State::complete : State::failed);
        EXPECT_EQ(reader->fault(), size == 100 ? HttpFault::none : HttpFault::body_too_large);
      }
    }
  }
}

TEST(HttpReader, TheLargestBodyInTheSmallestChunks) {
  const std::size_t size = 64 * 1024;
  std::string text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t i = 0; i < size; ++i) text += "1\r\nq\r\n";
  HttpReader reader(Side::requests);
  feed(reader, text + "0\r\n\r\n", 1000);
  ASSERT_EQ(reader.state(), State::complete);
  EXPECT_EQ(reader.body(), std::string(size, 'q'));
}

TEST(HttpReader, AnswersOfEachFraming) {
  HttpReader empty(Side::answers);
  feed(empty, "HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_EQ(empty.state(), State::complete);
  HttpReader until_end(Side::answers);
  feed(until_end, "HTTP/1.1 200\r\n\r\nabc");
  EXPECT_EQ(until_end.state(), State::body);
  EXPECT_EQ(until_end.body(), "abc");
  EXPECT_FALSE(until_end.keep_alive());
  until_end.ended();
  EXPECT_EQ(until_end.state(), State::complete);
  HttpReader closing(Side::answers);
  feed(closing, "HTTP/1.1 503 X Y\r\nNot-Started: 1\r\nConnection: foo, Close\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(closing.state(), State::complete);
  EXPECT_EQ(closing.status(), 503);
  EXPECT_EQ(closing.header("not-started"), "1");
  EXPECT_FALSE(closing.keep_alive());
  for (const std::string bad : {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n",
                                "HTTP/1.1 2000\r\n\r\n", "HTTP/1.1\r\n\r\n", "ICY 200 OK\r\n\r\n"}) {
    HttpReader reader(Side::answers);
    feed(reader, bad);
    EXPECT_EQ(reader.state(), State::failed) << bad;
  }
}

TEST(HttpReader, AStreamOfAnyLengthStaysInABoundedBuffer) {
  HttpReader reader(Side::answers, {1024, 1000});
  feed(reader, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  std::size_t most = 0;
  for (int i = 0; i < 5000; ++i) {
    feed(reader, "a\r\nline " + std::to_string(1000 + i % 9000) + "\n\r\n", 7);
    ASSERT_EQ(reader.body().size(), 10u);
    ASSERT_EQ(reader.body().substr(0, 5), "line ");
    reader.drop_body(10);
    most = std::max(most, reader.room().size());
  }
  EXPECT_LE(most, 8192u);
  feed(reader, "0\r\n\r\n");
  EXPECT_EQ(reader.state(), State::complete);
}

// Whatever comes, the reader ends in one of its states, and its slices lie in its buffer (the sanitizers
// look).
TEST(HttpReader, RandomMutationsDoNoHarm) {
  std::mt19937 random(20261201);
  const std::string seeds[] = {kLength + kChunked, kChunked + kLength};
  int complete = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string text = seeds[i % 2];
    for (unsigned n = random() % 4; n-- > 0;) {
      const std::size_t at = random() % text.size();
      if (random() % 3 == 0) text.erase(at, 1 + random() % 5);
      else if (random() % 2 == 0) text[at] = static_cast<char>(random());
      else text.insert(at, text.substr(random() % text.size(), random() % 8));
      if (text.empty()) break;
    }
    HttpReader reader(i % 3 == 0 ? Side::answers : Side::requests, {256, 64});
    feed(reader, text, 1 + random() % 40);
    for (int messages = 0; messages < 8 && reader.state() == State::complete; ++messages) {
      ++complete;
      std::size_t sum = reader.body().size() + reader.method().size() + reader.header("Host").size();
      for (char c : reader.body()) sum += static_cast<unsigned char>(c);
      EXPECT_GE(sum, reader.body().size());
      reader.next();
    }
  }
  EXPECT_GT(complete, 5000);
}

TEST(HttpWriter, AnAnswersHead) {
  std::string out;
  write_answer_head(out, 503, "Retry-After: 1.250\r\n", 0, false);
  EXPECT_EQ(out,
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n"
            "Retry-After: 1.250\r\n\r\n");
}

}  // namespace
}  // namespace woadridge::net
