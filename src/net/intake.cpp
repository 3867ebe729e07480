#include "net/intake.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>

// Last: it defines the words of the coroutines as macros.
// clang-format off
#include <boost/asio/yield.hpp>
// clang-format on

namespace woadridge::net {
namespace {

constexpr Micros kSlowest = 10'000'000;       // for a whole request, and for a client to take its answer
constexpr Micros kIdleLongest = 300'000'000;  // a client that says nothing for so long has forgotten us
constexpr Micros kLinger = 2'000'000;         // after an early answer: what still comes is read and dropped
constexpr auto kSweepEvery = std::chrono::seconds(1);
constexpr auto kAcceptAgain =
    std::chrono::milliseconds(20);  // after a failed accept: descriptors may be short
constexpr std::int64_t kLongestTimeoutMs = 24 * 3600 * 1000;  // guards sums of times against nonsense

std::optional<std::int64_t> whole(std::string_view text) {
  std::int64_t value = 0;
  const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || fault != std::errc() || stop != text.data() + text.size()) return std::nullopt;
  return value;
}

// The figure of that name in "name=value,name=value".
double info_figure(std::string_view info, std::string_view name, double fallback) {
  for (auto pair : split(info, ',')) {
    while (pair.starts_with(' ')) pair.remove_prefix(1);
    const auto mark = pair.find('=');
    if (mark == std::string_view::npos || pair.substr(0, mark) != name) continue;
    const auto text = pair.substr(mark + 1);
    double value = 0;
    const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault == std::errc() && stop == text.data() + text.size() && std::isfinite(value)) return value;
  }
  return fallback;
}

std::string retry_after(Micros hold_off) {  // in seconds, to the millisecond
  if (hold_off <= 0) return {};
  std::string line;
  write_header(line, "Retry-After", fmt::format("{}.{:03}", hold_off / 1'000'000, hold_off / 1000 % 1000));
  return line;
}

}  // namespace

std::variant<Job, int> job_of(const HttpReader& message, const Engine& engine, Micros on_the_way) {
  const auto path = message.target().substr(0, message.target().find('?'));
  if (path != "/api") return 404;
  if (message.method() != "POST") return 405;
  Job job;
  job.method = message.method();
  job.target = message.target();
  job.request_id = message.header("Request-Id");
  job.idempotency_key = message.header("Idempotency-Key");
  job.class_name = message.header("Request-Class");
  job.tenant = message.header("Tenant");
  job.body = message.body();
  job.held = message.held();
  const auto timeout_ms = whole(message.header("Request-Timeout-Ms"));
  const auto hint = whole(message.header("Work-Hint"));
  if (job.request_id.empty() || !timeout_ms || *timeout_ms <= 0) return 400;
  if (engine.has_open(job.request_id)) return 409;  // another client's: neither may get the other's answer
  const ClassSettings* of = engine.class_named(job.class_name);
  if (of == nullptr || (of->effect == Effect::keyed && job.idempotency_key.empty())) return 400;
  // Its time counts from when the client sent it: some has passed.
  const Micros told = std::min(*timeout_ms, kLongestTimeoutMs) * 1000;
  job.time_left = std::max<Micros>(1000, told - on_the_way);
  if (hint && *hint > 0) job.hint = *hint;
  job.slots = info_figure(message.header("Request-Info"), "slots", 1);
  job.repeated = message.header("Client-Retry") == "1";
  return job;
}

// ---- a connection ----

ClientConnection::ClientConnection(Intake& intake, Socket socket)
    : intake_(intake), socket_(std::move(socket)), reader_(HttpReader::Side::requests) {}

template <typename Step>
void ClientConnection::guarded(Step step) {
  if (stage_ == Stage::closed) return;
  try {
    step();
  } catch (const std::exception& fault) {
    spdlog::warn("client connection given up: {}", fault.what());
    close();
  }
}

void ClientConnection::start() {
  enter(Stage::reading);
  guarded([this] {
    socket_.non_blocking(true);
    run({}, 0);
  });
}

void ClientConnection::enter(Stage stage) {
  stage_ = stage;
  since_ = intake_.engine_.clock().now();
}

void ClientConnection::run(Fault fault, std::size_t bytes) {
  const auto resume = [self = shared_from_this()](Fault f, std::size_t n = 0) {
    self->guarded([&] { self->run(f, n); });
  };
  reenter(this) {
    while (stage_ != Stage::closed) {
      // No read is left open over the buffer: the answer that comes meanwhile moves what the buffer holds.
      yield {
        paused_ = reader_.room().empty();  // goes on after the answer
        if (!paused_) socket_.async_wait(Socket::wait_read, resume);
      }
      if (!fault) bytes = read_some(fault);
      if (fault == boost::asio::error::would_block) continue;
      if (fault) return close();
      if (bytes == 0) continue;
      if (stage_ == Stage::lingering) {
        reader_ = HttpReader(HttpReader::Side::requests);
        continue;
      }
      if (idle()) {
        since_ = first_byte_ = intake_.engine_.clock().now();
      }
      reader_.arrived(bytes);
      if (stage_ == Stage::reading) take_message();
      if (stage_ == Stage::reading) go_on_if_asked();
    }
  }
}

std::size_t ClientConnection::read_some(Fault& fault) {
  const auto room = reader_.room();
  return room.empty() ? 0 : socket_.read_some(boost::asio::buffer(room.data(), room.size()), fault);
}

void ClientConnection::take_message() {
  if (reader_.state() == HttpReader::State::complete) take_request();
  else if (reader_.state() == HttpReader::State::failed) refuse_message();
}

// A client that asks first whether its body is wanted (curl does with large ones) would wait for a second.
void ClientConnection::go_on_if_asked() {
  if (told_to_go_on_ || reader_.state() != HttpReader::State::body) return;
  if (!same_name(reader_.header("Expect"), "100-continue")) return;
  told_to_go_on_ = true;
  Fault ignored;
  socket_.write_some(boost::asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
}

void ClientConnection::refuse_message() {
  close_after_ = true;
  if (reader_.fault() == HttpFault::head_too_large) answer(431, {}, {});
  else if (reader_.fault() == HttpFault::body_too_large) answer(413, {}, {});
  else answer(400, {}, {});
}

void ClientConnection::take_request() {
  if (!reader_.keep_alive()) close_after_ = true;
  if (reader_.target() != "/_health") return take_job();
  if (reader_.method() != "GET") return answer(405, "Allow: GET\r\n", {});
  answer(intake_.healthy() ? 200 : 503, {}, {});
}

void ClientConnection::take_job() {
  const Micros on_the_way = intake_.engine_.clock().now() - first_byte_;
  const auto job = job_of(reader_, intake_.engine_, on_the_way);
  if (const int* status = std::get_if<int>(&job))
    return answer(*status, *status == 405 ? "Allow: POST\r\n" : "", {});
  enter(Stage::waiting);
  // The answer may come before take() is back: it is then written, and the number is of no more use.
  const RequestId id = intake_.engine_.take(std::get<Job>(job), shared_from_this());
  if (stage_ == Stage::waiting) job_ = id;
}

void ClientConnection::answered(Answer answer_of_job) {
  job_ = 0;
  guarded([&] {
    if (answer_of_job.kind == Answer::Kind::served) answer(200, {}, answer_of_job.body);
    else if (answer_of_job.kind == Answer::Kind::failed) answer(500, {}, {});
    else answer(503, retry_after(answer_of_job.hold_off), {});
  });
}

void ClientConnection::answer(int status, std::string_view more, std::string_view body) {
  enter(Stage::writing);
  if (intake_.closing_) close_after_ = true;
  out_.clear();
  write_answer_head(out_, status, more, body.size(), !close_after_);
  out_.append(body);
  boost::asio::async_write(socket_, boost::asio::buffer(out_),
                           [self = shared_from_this()](Fault fault, std::size_t) {
                             self->guarded([&] { fault ? self->close() : self->written(); });
                           });
}

void ClientConnection::written() {
  if (close_after_) return linger();
  enter(Stage::reading);
  first_byte_ = since_;
  told_to_go_on_ = false;
  reader_.next();
  if (reader_.state() != HttpReader::State::head) take_message();
  if (paused_ && stage_ != Stage::closed) run({}, 0);
}

// The end of our sending, then what still comes is dropped: closing over unread bytes would reset the
// connection and could take the answer with it.
void ClientConnection::linger() {
  enter(Stage::lingering);
  reader_ = HttpReader(HttpReader::Side::requests);
  Fault ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  if (paused_) run({}, 0);
}

void ClientConnection::close() {
  if (stage_ == Stage::closed) return;
  const auto self = shared_from_this();
  enter(Stage::closed);
  Fault ignored;
  socket_.close(ignored);
  if (const RequestId job = std::exchange(job_, 0); job != 0) intake_.engine_.left(job);
  intake_.closed(*this);
}

bool ClientConnection::has_unread() {
  char byte = 0;
  return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void ClientConnection::drop_if_slow(Micros now) {
  const Micros spent = now - since_;
  if (stage_ == Stage::reading && spent > (reader_.untouched() ? kIdleLongest : kSlowest)) close();
  else if (stage_ == Stage::writing && spent > kSlowest) close();
  else if (stage_ == Stage::lingering && spent > kLinger) close();
}

// ---- the listener ----

Intake::Intake(Strand strand, Engine& engine, int most_connections)
    : strand_(strand),
      engine_(engine),
      acceptor_(strand),
      again_(strand),
      sweeper_(strand),
      most_(static_cast<std::size_t>(most_connections)) {}

std::string Intake::listen(const Address& address) {
  const auto where = endpoint_of(address);
  Fault fault;
  acceptor_.open(where.protocol(), fault);
  if (!fault) acceptor_.set_option(Acceptor::reuse_address(true), fault);  // a restart binds at once
  if (!fault) acceptor_.bind(where, fault);
  if (!fault) acceptor_.listen(Acceptor::max_listen_connections, fault);
  if (!fault) acceptor_.non_blocking(true, fault);
  if (fault) {
    acceptor_.close();
    return address.host + ":" + std::to_string(address.port) + ": " + fault.message();
  }
  accept();
  sweep();
  return {};
}

std::uint16_t Intake::port() const {
  Fault ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void Intake::accept() {
  if (!acceptor_.is_open()) return;
  acceptor_.async_wait(Acceptor::wait_read, [this](Fault fault) {
    if (!fault) take_in();
  });
}

// Room is made only once someone is there.
void Intake::take_in() {
  if (!acceptor_.is_open()) return;
  paused_ = !make_room();
  if (paused_) return;
  Fault fault;
  Socket socket(strand_);
  acceptor_.accept(socket, fault);
  if (!fault) accepted(std::move(socket));
  if (!fault || fault == boost::asio::error::would_block) return accept();
  spdlog::warn("no connection accepted: {}", fault.message());
  again_.expires_after(kAcceptAgain);
  again_.async_wait([this](Fault cancelled) {
    if (!cancelled) accept();
  });
}

void Intake::accepted(Socket socket) {
  Fault ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const auto connection = std::make_shared<ClientConnection>(*this, std::move(socket));
  connection->place_ = connections_.insert(connections_.end(), connection);
  connection->start();
}

// At the clients' share of the descriptors the connection that is idle longest goes; without one, accepting
// pauses until one closes.
bool Intake::make_room() {
  if (connections_.size() < most_) return true;
  const auto older = [](const auto& a, const auto& b) {
    return std::pair(!a->idle(), a->since()) < std::pair(!b->idle(), b->since());
  };
  const auto oldest = *std::min_element(connections_.begin(), connections_.end(), older);
  if (!oldest->idle()) return false;
  oldest->close();
  return true;
}

void Intake::closed(ClientConnection& connection) {
  connections_.erase(connection.place_);
  if (paused_ && !stopped_) {
    paused_ = false;
    accept();
  }
}

void Intake::sweep() {
  if (stopped_) return;
  const Micros now = engine_.clock().now();
  const std::list<std::shared_ptr<ClientConnection>> all = connections_;
  for (const auto& connection : all) connection->drop_if_slow(now);
  if (std::exchange(paused_, false)) accept();  // one of them may be idle by now
  sweeper_.expires_after(kSweepEvery);
  sweeper_.async_wait([this](Fault fault) {
    if (!fault) sweep();
  });
}

void Intake::close_idle(Micros at_least) {
  const Micros latest = engine_.clock().now() - at_least;
  const std::list<std::shared_ptr<ClientConnection>> all = connections_;
  for (const auto& connection : all)
    if (connection->idle() && connection->since() <= latest && !connection->has_unread()) connection->close();
}

// What the system has accepted counts as ours: it is taken in before the listener closes.
void Intake::stop_listening() {
  if (!acceptor_.is_open()) return;
  Fault fault;
  while (!fault) {
    Socket socket(strand_);
    acceptor_.accept(socket, fault);
    if (!fault) accepted(std::move(socket));
  }
  acceptor_.close(fault);
}

void Intake::stop() {
  stopped_ = true;
  Fault ignored;
  acceptor_.close(ignored);
  again_.cancel();
  sweeper_.cancel();
  while (!connections_.empty()) connections_.front()->close();
}

}  // namespace woadridge::net

#include <boost/asio/unyield.hpp>
