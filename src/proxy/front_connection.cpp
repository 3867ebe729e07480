#include "proxy/front_connection.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <limits>

#include "text.h"

namespace woadridge::proxy {
namespace {

using net::Fault;
using net::HttpReader;

constexpr Micros kPeerLimit = 30'000'000;  // peers drop their own ends long before
constexpr Micros kWayBack = 3'000;         // of an answer to the client, beside what its links take
constexpr Micros kLingers = 300'000;  // after an early answer what still comes is read and dropped, so that
                                      // the close doesn't take the answer with it
constexpr int kSendBuffer =
    128 * 1024;  // bytes: in a larger one a slow client's progress doesn't show for seconds
constexpr std::string_view kAnswerStart = "HTTP/1.1 ";  // of every answer
constexpr Micros kProbeAgain = 25'000;                  // after the first byte of it, doubled with each one
constexpr double kSpaceIn = 0.2;  // seconds: other requests have left the buffers by then
constexpr double kPlanIn = 1.2;   // seconds: a core that has lost power is back with its plan about then
constexpr Micros kPassRemembered = 1'000'000;          // past the deadline of a passing
constexpr int kPassedEnough = 100;                     // the second proxy that a call is sent to keeps it
constexpr std::int64_t kLongestMs = 24 * 3600 * 1000;  // guards sums of times against nonsense

std::int64_t whole(std::string_view text, std::int64_t fallback) {
  std::int64_t value = 0;
  const auto [stop, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool read = !text.empty() && bad == std::errc() && stop == text.data() + text.size() && value >= 0;
  return read ? std::min(value, kLongestMs) : fallback;
}

std::uint64_t unbounded(std::string_view text) {  // 0: not a number
  std::uint64_t value = 0;
  const auto [stop, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
  return bad == std::errc() && stop == text.data() + text.size() ? value : 0;
}

// What either of two configurations allows.
common::Limits wider(const common::Limits& one, const common::Limits& other) {
  return {std::max(one.max_header_bytes, other.max_header_bytes),
          std::max(one.max_body_bytes, other.max_body_bytes),
          std::max(one.header_timeout_ms, other.header_timeout_ms),
          std::max(one.idle_timeout_ms, other.idle_timeout_ms)};
}

Micros in_micros(std::uint32_t milliseconds) {
  return static_cast<Micros>(milliseconds) * 1000;
}

// A peer has judged its client's request already, by a configuration that may be older or newer than the one
// here. What it sends is bounded by the space of all buffers alone.
constexpr net::HttpLimits kFromPeers{std::numeric_limits<std::uint32_t>::max(),
                                     std::numeric_limits<std::uint32_t>::max()};

bool printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

}  // namespace

Front::Connection::Connection(Front& front, Door door, net::Socket socket)
    : front_(front),
      door_(door),
      socket_(std::move(socket)),
      reader_(HttpReader::Side::requests, kFromPeers, &front.dispatch_.space()) {
  go_by(limits_in_force());
}

const common::Limits& Front::Connection::limits_in_force() const {
  return front_.dispatch_.board().plan.limits;
}

void Front::Connection::go_by(const common::Limits& limits) {
  limits_ = limits;
  if (door_ != Door::peers) reader_.change_limits({limits.max_header_bytes, limits.max_body_bytes});
}

void Front::Connection::start() {
  rest_limit_ = in_micros(limits_.idle_timeout_ms);
  since_ = front_.dispatch_.now();
  Fault ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(net::Tcp::no_delay(true), ignored);
  socket_.set_option(boost::asio::socket_base::send_buffer_size(kSendBuffer), ignored);
  read();
}

void Front::Connection::reply(Reply reply) {
  if (closed_ || !waiting_) return;
  waiting_ = false;
  pass_ = nullptr;
  write(std::move(reply));
}

void Front::Connection::close() {
  if (std::exchange(closed_, true)) return;
  waiting_ = false;
  count_idle();
  Fault ignored;
  socket_.close(ignored);
  const auto self = shared_from_this();
  front_.connections_.erase(place);
}

// The process ends: what may run elsewhere gets an answer all the same.
void Front::Connection::give_up() {
  if (waiting_) reply(own_reply(502));
}

// A request that is there is taken, not cut off.
void Front::Connection::close_if_idle() {
  if (waiting_ || writing_ || lingering_ || !reader_.untouched()) return;
  char byte;
  Fault fault;
  socket_.receive(boost::asio::buffer(&byte, 1), net::Socket::message_peek, fault);
  if (fault) close();
}

void Front::Connection::check_times(Micros now) {
  if (waiting_) return;
  const auto limits = wider(limits_, limits_in_force());
  const bool is_peer = door_ == Door::peers;
  const Micros head_limit = is_peer ? kPeerLimit : in_micros(limits.header_timeout_ms);
  const Micros body_limit = is_peer ? kPeerLimit : in_micros(limits.idle_timeout_ms);
  const Micros rest_limit =
      is_peer ? kPeerLimit : std::max(rest_limit_, in_micros(limits_in_force().idle_timeout_ms));
  const Micros stood = now - since_;
  if (lingering_) {
    if (stood > kLingers) close();
  } else if (writing_) {
    if (stood > front_.times_.slow_taker) close();
  } else if (reader_.untouched()) {
    if (stood > rest_limit) close_if_idle();
  } else if (reader_.state() == HttpReader::State::head) {
    if (stood > head_limit) turn_away(408);
  } else if (stood > body_limit) {
    turn_away(408);
  }
}

void Front::Connection::read() {
  if (std::exchange(reading_, true)) return;
  auto self = shared_from_this();
  socket_.async_wait(net::Socket::wait_read, [self](Fault failed) {
    self->reading_ = false;
    if (self->closed_) return;
    if (failed) return self->lost();
    self->arrived();
  });
}

// While a request waits for its answer, or has it in part: what comes is the next one, or the client's end.
void Front::Connection::watch() {
  const auto room = reader_.room();
  if (room.empty()) return probe();
  Fault fault;
  const auto bytes = socket_.read_some(boost::asio::buffer(room.data(), room.size()), fault);
  if (fault == boost::asio::error::would_block) return read();
  if (fault == boost::asio::error::eof && door_ == Door::clients) return probe();
  if (fault) return lost();
  reader_.arrived(bytes);
  read();
}

// Nothing more can be read, which doesn't tell a client that has closed its connection from one that has only
// shut its sending side and waits for its answer. Bytes tell: who has closed resets the connection on getting
// them. So the start that all answers share is sent ahead, byte by byte.
void Front::Connection::probe() {
  if (!waiting_ || probed_ == kAnswerStart.size()) return;
  Fault fault;
  socket_.write_some(boost::asio::buffer(kAnswerStart.substr(probed_, 1)), fault);
  if (fault && fault != boost::asio::error::would_block) return lost();
  const Micros again = kProbeAgain << probed_;
  if (!fault) ++probed_;
  front_.dispatch_.alarms().at(front_.dispatch_.now() + again,
                               [weak = weak_from_this(), request = requests_] {
                                 const auto self = weak.lock();
                                 if (self && !self->closed_ && self->requests_ == request) self->probe();
                               });
}

// Nobody reads an answer from here any more.
void Front::Connection::lost() {
  const bool waited = waiting_;
  const auto pass = pass_;
  close();
  if (!waited) return;
  if (pass) return front_.abandon_if_alone(pass);
  if (const auto call = call_.lock()) front_.dispatch_.abandon(call);
}

void Front::Connection::arrived() {
  if (lingering_) {
    char aside[4096];
    Fault fault;
    socket_.read_some(boost::asio::buffer(aside), fault);
    if (fault && fault != boost::asio::error::would_block) return close();
    return read();
  }
  if (waiting_ || writing_) return watch();
  if (reader_.state() == HttpReader::State::complete) return;  // it is about to be taken
  const auto room = reader_.room();
  if (room.empty()) return take();
  Fault fault;
  const auto bytes = socket_.read_some(boost::asio::buffer(room.data(), room.size()), fault);
  if (fault == boost::asio::error::would_block) return read();
  if (fault) return close();
  if (reader_.untouched()) {
    since_ = front_.dispatch_.now();
    go_by(limits_in_force());
  } else {
    go_by(wider(limits_, limits_in_force()));
  }
  reader_.arrived(bytes);
  take();
}

void Front::Connection::take() {
  using State = HttpReader::State;
  if (reader_.state() == State::complete) return take_request();
  if (reader_.state() != State::failed) {
    if (reader_.state() == State::body && !told_on_ &&
        net::same_name(reader_.header("Expect"), "100-continue")) {
      told_on_ = true;
      Fault ignored;
      socket_.write_some(boost::asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
    }
    return read();
  }
  switch (reader_.fault()) {
    case net::HttpFault::head_too_large:
      return turn_away(431);
    case net::HttpFault::body_too_large:
      return turn_away(413);
    case net::HttpFault::no_space:
      return turn_away(503);
    default:
      return turn_away(400);
  }
}

// Nothing behind what can't be used is read as a request: it may be the rest of this one.
void Front::Connection::turn_away(int status) {
  close_after_ = true;
  write(own_reply(status, status == 503 ? kSpaceIn : 0));
}

void Front::Connection::take_request() {
  told_on_ = false;
  if (!reader_.keep_alive() || front_.leaving_) close_after_ = true;
  if (door_ == Door::readiness) return take_readiness();
  auto call = std::make_shared<Call>();
  const int fault = door_ == Door::peers ? fill_from_peer(*call) : fill(*call);
  if (fault != 0) {
    return write(own_reply(fault, fault == 503 ? kPlanIn : 0));
  }
  if (door_ == Door::peers) return take_passed(std::move(call));
  wait();
  call_ = call;
  call->asker = weak_from_this();
  front_.dispatch_.take(std::move(call));
}

void Front::Connection::count_busy() {
  if (!std::exchange(counted_busy_, true)) ++front_.busy_;
}

void Front::Connection::count_idle() {
  if (std::exchange(counted_busy_, false)) --front_.busy_;
}

void Front::Connection::wait() {
  waiting_ = true;
  ++requests_;
  count_busy();
  read();
}

// From a peer: each passing is taken up once, and found again by its number.
void Front::Connection::take_passed(CallRef call) {
  granted_ = call->tries.granted();
  const auto number = pass_number();
  const Micros until = call->deadline + kPassRemembered;
  const Micros now = front_.dispatch_.now();
  if (!reader_.header(kRejoin).empty()) return rejoin(number, until, now);
  wait();
  if (number.sender == 0) {  // of an earlier release
    call_ = call;
    call->asker = weak_from_this();
    return front_.dispatch_.take(std::move(call));
  }
  pass_ = front_.peer_calls_.read(number, until, now);
  if (!pass_) return reply(may_run_elsewhere());
  pass_->wait(weak_from_this());
  pass_->call = call;
  call->asker = pass_;
  front_.dispatch_.take(std::move(call));
}

void Front::Connection::rejoin(PassNumber number, Micros until, Micros now) {
  wait();
  const bool same = unbounded(reader_.header(kRejoin)) == static_cast<std::uint64_t>(front_.dispatch_.boot());
  if (!same || number.sender == 0) return reply(may_run_elsewhere());
  auto search = front_.peer_calls_.find(number, until, now);
  if (search.found == PeerCalls::Found::never_read) return reply(never_read());
  if (search.found == PeerCalls::Found::unknown) return reply(may_run_elsewhere());
  pass_ = search.call;
  if (!pass_->answered()) return pass_->wait(weak_from_this());
  reply(pass_->kept() ? *pass_->kept() : may_run_elsewhere());
}

Reply Front::Connection::may_run_elsewhere() const {
  Reply reply;
  reply.used = granted_;
  return reply;
}

Reply Front::Connection::never_read() {
  Reply reply;
  reply.status = kNeverReadStatus;
  reply.never_read = true;
  return reply;
}

PassNumber Front::Connection::pass_number() const {
  const auto parts = split(reader_.header(kPass), '.');
  if (parts.size() != 2) return {};
  return {unbounded(parts[0]), unbounded(parts[1])};
}

void Front::Connection::take_readiness() {
  Reply reply;
  const bool asks = reader_.method() == "GET" && reader_.target().substr(0, 14) == "/api/readiness";
  reply.status = !asks ? 404 : front_.dispatch_.ready() ? 200 : 503;
  write(std::move(reply));
}

void Front::Connection::fill_common(Call& call) {
  call.method = reader_.method();
  call.target = reader_.target();
  call.body = reader_.body();
  call.held = reader_.held();
  call.id = reader_.header(kAttemptId);
  reader_.each_header([&](auto name, auto value) {
    if (goes_along(name)) net::write_header(call.head, name, value);
  });
  call.came = since_;
}

int Front::Connection::fill(Call& call) {
  const auto& dispatch = front_.dispatch_;
  if (dispatch.board().plan.version == 0) return 503;  // not told yet what is in force
  for (const auto name : {kAttemptId, kDeadline, std::string_view("Host")})
    if (reader_.repeats(name)) return 400;
  if (!reader_.target().starts_with('/') || !printable(reader_.target())) return 400;
  const auto* route = dispatch.router().route(reader_.header("Host"), reader_.target());
  if (route == nullptr) return 404;
  fill_common(call);
  if (call.id.empty() || !printable(call.id)) return 400;
  call.route = route->name;
  call.service = route->service;
  call.tries = Tries(route->repeatable, route->max_tries);
  call.aim = static_cast<Micros>(route->target_ms) * 1000;
  call.longest = static_cast<Micros>(route->deadline_ms) * 1000;
  const Micros told = whole(reader_.header(kDeadline), route->deadline_ms) * 1000;
  call.deadline = call.came + std::min(told, call.longest) - kWayBack;
  return 0;
}

int Front::Connection::fill_from_peer(Call& call) {
  const auto via = split(reader_.header(kVia), ';');
  constexpr std::size_t kFields = 9, kFieldsBefore = 7;  // an earlier release gives no count of its tries
  if ((via.size() != kFields && via.size() != kFieldsBefore) || !reader_.target().starts_with('/'))
    return 400;
  fill_common(call);
  call.from_peer = true;
  call.service = via[0];
  call.route = via[1];
  const auto most = static_cast<std::uint32_t>(whole(via[3], 1));
  const bool counted = via.size() == kFields;
  const auto used = counted ? static_cast<std::uint32_t>(whole(via[7], most)) : 0;
  const auto granted = counted ? static_cast<std::uint32_t>(whole(via[8], 1)) : most;
  call.tries = Tries(via[2] == "r", most, used, granted);
  call.aim = whole(via[4], 1000) * 1000;
  call.longest = whole(via[5], 1000) * 1000;
  call.hops = static_cast<int>(whole(via[6], 1));
  call.passed_on = call.hops > 1 ? kPassedEnough : 0;
  call.deadline = call.came + whole(reader_.header(kDeadline), 1000) * 1000;
  return 0;
}

void Front::Connection::write(Reply reply) {
  if (door_ == Door::peers) {
    if (reply.used) net::write_header(reply.head, kUsed, std::to_string(*reply.used));
    if (reply.never_read) net::write_header(reply.head, kNeverRead, "1");
    net::write_header(reply.head, kBoot, std::to_string(front_.dispatch_.boot()));
  }
  if (reply.own && has_id()) net::write_header(reply.head, kAttemptId, reader_.header(kAttemptId));
  if (reply.retry_after_s > 0) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", reply.retry_after_s);
    net::write_header(reply.head, "Retry-After", seconds);
  }
  if (front_.leaving_) close_after_ = true;
  rest_limit_ = in_micros(limits_in_force().idle_timeout_ms);
  if (!close_after_ && door_ == Door::clients) {
    const auto idle_s = limits_in_force().idle_timeout_ms / 1000;
    if (idle_s > 1) net::write_header(reply.head, "Keep-Alive", "timeout=" + std::to_string(idle_s - 1));
  }
  out_.clear();
  net::write_answer_head(out_, reply.status, reply.head, reply.body.size(), !close_after_);
  if (reader_.state() != HttpReader::State::complete || reader_.method() != "HEAD") out_ += reply.body;
  sent_ = std::exchange(probed_, 0);
  writing_ = true;
  count_busy();
  since_ = front_.dispatch_.now();
  flush();
}

// A peer matches answers by it, also those to what can't be used.
bool Front::Connection::has_id() const {
  if (reader_.header(kAttemptId).empty()) return false;
  return reader_.state() == HttpReader::State::complete || door_ == Door::peers;
}

void Front::Connection::flush() {
  while (sent_ < out_.size()) {
    Fault fault;
    const auto bytes =
        socket_.write_some(boost::asio::buffer(out_.data() + sent_, out_.size() - sent_), fault);
    if (fault == boost::asio::error::would_block) {
      auto self = shared_from_this();
      socket_.async_wait(net::Socket::wait_write, [self](Fault failed) {
        if (self->closed_) return;
        if (failed) return self->close();
        self->flush();
      });
      return;
    }
    if (fault) return close();
    sent_ += bytes;
    since_ = front_.dispatch_.now();  // the limit is one of standing still, not of the whole
  }
  written();
}

void Front::Connection::written() {
  writing_ = false;
  count_idle();
  since_ = front_.dispatch_.now();
  if (out_.capacity() > 64 * 1024) std::string().swap(out_);
  if (close_after_) {
    Fault ignored;
    socket_.shutdown(net::Socket::shutdown_send, ignored);
    lingering_ = true;
    return read();
  }
  const bool next_has_begun = !reader_.nothing_behind();
  go_by(next_has_begun ? wider(limits_, limits_in_force()) : limits_in_force());
  reader_.next();
  // What came behind is the next request; not from inside this one's answer.
  if (reader_.untouched()) return read();
  auto self = shared_from_this();
  boost::asio::post(socket_.get_executor(), [self] {
    if (!self->closed_ && !self->waiting_ && !self->writing_) self->take();
  });
}

}  // namespace woadridge::proxy
