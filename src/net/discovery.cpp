#include "net/discovery.h"

#include <spdlog/spdlog.h>

#include <boost/asio/write.hpp>

#include "net/json.h"

// Last: it defines the words of the coroutines as macros.
// clang-format off
#include <boost/asio/yield.hpp>
// clang-format on

namespace woadridge::net {
namespace {

// Discovery sends an empty line every 2 s; two that are missed, and half a second for the way. A connection
// to a machine that has vanished says nothing else.
constexpr Micros kLongestSilence = 4'500'000;
// For the connection and the answer's first byte: guards against an address where nobody is, which says
// nothing at all. Discovery itself ends calls that waited a second.
constexpr Micros kFirstAnswer = 2'000'000;
constexpr std::size_t kLongestList = 4 << 20;  // bytes of one line: some ten thousand workers

}  // namespace

Watch::Watch(Strand strand, const Clock& clock, const Address& discovery, std::int64_t since,
             DiscoveryEvents& events)
    : socket_(std::move(strand)),
      clock_(clock),
      peer_(endpoint_of(discovery)),
      events_(events),
      reader_(HttpReader::Side::answers, {16 * 1024, kLongestList}),
      heard_(clock.now()) {
  head_ = "GET /catalog/members?follow=1&since=" + std::to_string(since) + " HTTP/1.1\r\n";
  write_header(head_, "Host", discovery.host + ":" + std::to_string(discovery.port));
  head_.append("\r\n");
}

template <typename Step>
void Watch::guarded(Step step) {
  if (ended_) return;
  try {
    step();
  } catch (const std::exception& fault) {
    fail(fault.what());
  }
}

void Watch::start() {
  guarded([this] { run({}, 0); });
}

void Watch::run(Fault fault, std::size_t bytes) {
  const auto resume = [self = shared_from_this()](Fault f, std::size_t n = 0) {
    self->guarded([&] { self->run(f, n); });
  };
  reenter(this) {
    socket_.open(peer_.protocol());
    yield socket_.async_connect(peer_, resume);
    if (fault) return fail("no connection", true);
    socket_.set_option(Tcp::no_delay(true));
    yield boost::asio::async_write(socket_, boost::asio::buffer(head_), resume);
    if (fault) return fail("connection broken");
    while (!ended_) {
      yield {
        const auto room = reader_.room();
        if (room.empty()) return fail("a line too long");
        socket_.async_read_some(boost::asio::buffer(room.data(), room.size()), resume);
      }
      if (fault) return fail("connection ended");
      heard_ = clock_.now();
      answered_ = true;
      reader_.arrived(bytes);
      digest();
    }
  }
}

void Watch::digest() {
  if (reader_.state() == HttpReader::State::head) return;
  if (reader_.state() == HttpReader::State::failed) return fail("answer malformed");
  if (reader_.status() != 200) return fail("call turned away");
  digest_lines();
  if (!ended_ && reader_.state() == HttpReader::State::complete) fail("watch ended");
}

void Watch::digest_lines() {
  while (!ended_) {
    const auto body = reader_.body();
    const auto line_end = body.find('\n');
    if (line_end == std::string_view::npos) return;
    const auto line = body.substr(0, line_end);
    if (line.size() > 1 || (line.size() == 1 && line != "\r")) {
      const auto tree = parse_json(line);
      auto members = tree ? read_members(*tree) : std::nullopt;
      if (!members) return fail("a line that is no list");
      events_.listed(std::move(*members));
    }
    if (!ended_) reader_.drop_body(line_end + 1);
  }
}

void Watch::fail(const char* why, bool unreachable) {
  if (ended_) return;
  const auto self = shared_from_this();
  spdlog::info("watch on discovery failed: {}", why);
  stop();
  events_.watch_failed(unreachable);
}

bool Watch::rests() const {
  return !ended_ && reader_.state() == HttpReader::State::body && reader_.body().empty();
}

void Watch::stop() {
  if (std::exchange(ended_, true)) return;
  Fault ignored;
  socket_.close(ignored);
}

void Watch::check_silence() {
  guarded([this] {
    const Micros longest = answered_ ? kLongestSilence : kFirstAnswer;
    if (clock_.now() - heard_ > longest) fail("silent for too long", !answered_);
  });
}

Discovery::Discovery(Strand strand, const Clock& clock, Address address, DiscoveryEvents& events)
    : strand_(std::move(strand)), clock_(clock), address_(std::move(address)), events_(events) {}

void Discovery::watch(std::int64_t since) {
  stop();
  watch_ = std::make_shared<Watch>(strand_, clock_, address_, since, events_);
  watch_->start();
}

void Discovery::move(Address address) {
  stop();
  address_ = std::move(address);
}

bool Discovery::has_nothing_newer(Micros rest) const {
  return watch_ != nullptr && watch_->rests() && clock_.now() - watch_->heard() >= rest;
}

void Discovery::sweep() {
  if (const auto watch = watch_; watch != nullptr) watch->check_silence();
}

void Discovery::stop() {
  if (const auto watch = std::exchange(watch_, nullptr); watch != nullptr) watch->stop();
}

}  // namespace woadridge::net

#include <boost/asio/unyield.hpp>
