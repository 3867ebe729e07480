#include "net/client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/write.hpp>

#include "net/admission.h"
#include "net/intake.h"

// Last: it defines the words of the coroutines as macros.
// clang-format off
#include <boost/asio/yield.hpp>
// clang-format on

namespace woadridge::net {
namespace {

// A client that brings a request sends it whole at once. Strangers are owed an error or a close within 3 s of
// connecting: that leaves a second for a busy machine.
constexpr Micros kWholeRequest = 2'000'000;   // from connecting, or from a later request's first byte
constexpr Micros kSlowestTaker = 10'000'000;  // for a client to take its answer
constexpr Micros kIdleLongest = 300'000'000;  // a client that says nothing for so long has forgotten us
// After an early answer what still comes is read and dropped, so that the close doesn't take the answer with
// it. Bounded, as some send tens of megabytes: beyond this it is left in the system's buffers.
constexpr Micros kLinger = 1'000'000;
constexpr Micros kBacklogLongest = 60'000'000;    // guards against a system that tells nonsense
constexpr std::size_t kMostDropped = 256 * 1024;  // bytes

std::string retry_after(Micros hold_off) {  // in seconds, to the millisecond
  if (hold_off <= 0) return {};
  std::string line;
  write_header(line, "Retry-After", fmt::format("{}.{:03}", hold_off / 1'000'000, hold_off / 1000 % 1000));
  return line;
}

}  // namespace

ClientConnection::ClientConnection(Intake& intake, Socket socket)
    : intake_(intake), socket_(std::move(socket)), reader_(HttpReader::Side::requests, {}, &intake.space_) {}

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
    run({});
  });
}

void ClientConnection::enter(Stage stage) {
  stage_ = stage;
  since_ = intake_.engine_.clock().now();
}

void ClientConnection::run(Fault fault) {
  const auto resume = [self = shared_from_this()](Fault f) { self->guarded([&] { self->run(f); }); };
  reenter(this) {
    while (stage_ != Stage::closed) {
      // While an answer is written what comes next stays in the system's buffer; no read is ever left open
      // over our own, which an answer moves.
      yield {
        paused_ = stage_ == Stage::writing || dropped_ > kMostDropped;
        if (!paused_) socket_.async_wait(Socket::wait_read, resume);
      }
      if (!fault) read(fault);
      if (fault && fault != boost::asio::error::would_block) return close();
    }
  }
}

void ClientConnection::read(Fault& fault) {
  if (stage_ == Stage::reading) read_request(fault);
  else if (stage_ != Stage::writing) read_aside(fault);
}

void ClientConnection::read_request(Fault& fault) {
  const auto room = reader_.room();
  if (room.empty()) return take_message();  // no space: it has failed
  const std::size_t bytes = socket_.read_some(boost::asio::buffer(room.data(), room.size()), fault);
  if (fault || bytes == 0) return;
  if (reader_.untouched()) first_byte_ = intake_.engine_.clock().now() - (asked_ ? 0 : stood_unread());
  if (reader_.untouched() && asked_) since_ = first_byte_;
  reader_.arrived(bytes);
  take_message();
  if (stage_ == Stage::reading) go_on_if_asked();
}

// While a job is out the client has nothing to say; after the last answer nothing of it counts.
void ClientConnection::read_aside(Fault& fault) {
  auto& aside = intake_.aside_;
  const std::size_t bytes = socket_.read_some(boost::asio::buffer(aside), fault);
  if (fault) return;
  if (stage_ == Stage::lingering) dropped_ += bytes;
  else if (std::string_view(aside.data(), bytes).find_first_not_of("\r\n") != std::string_view::npos)
    out_of_turn();
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
  if (reader_.fault() == HttpFault::head_too_large) turn_away(431);
  else if (reader_.fault() == HttpFault::body_too_large) turn_away(413);
  else if (reader_.fault() == HttpFault::no_space) turn_away(503);
  else turn_away(400);
}

// Whoever sends what can't be used is answered at once, and nothing behind it on that connection is read as a
// request: it may be the rest of this one.
void ClientConnection::turn_away(int status, std::string_view more, std::string_view class_name) {
  close_after_ = true;
  intake_.engine_.count_turned_away(class_name);
  answer(status, more, {});
}

// A client sends one request at a time. More bytes mean that its length was wrong, or that another request
// hides behind it: what is out is not what the client meant, and nobody gets an answer from it.
void ClientConnection::out_of_turn() {
  if (const RequestId job = std::exchange(job_, 0); job != 0) intake_.engine_.left(job);
  turn_away(400, {}, reader_.header("Request-Class"));
}

void ClientConnection::take_request() {
  if (!reader_.keep_alive()) close_after_ = true;
  if (!reader_.only_line_ends_behind()) return turn_away(400);
  if (reader_.target() != "/_health") return take_job();
  if (reader_.method() != "GET") return turn_away(405, "Allow: GET\r\n");
  asked_ = true;
  answer(intake_.healthy() ? 200 : 503, {}, {});
}

void ClientConnection::take_job() {
  const Micros on_the_way = intake_.engine_.clock().now() - first_byte_;
  const auto job = job_of(reader_, intake_.engine_, on_the_way);
  if (const int* status = std::get_if<int>(&job))
    return turn_away(*status, *status == 405 ? "Allow: POST\r\n" : "", reader_.header("Request-Class"));
  asked_ = served_ = true;
  enter(Stage::waiting);
  // The answer may come before take() is back: it is then written, and the number is of no more use.
  const bool crowded = intake_.crowded();
  close_after_ |= crowded;  // its descriptor is for the next one
  const RequestId id = intake_.engine_.take(std::get<Job>(job), shared_from_this(), crowded);
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
  // Whom an ending dispatcher refuses must not come back to it.
  if (intake_.closing_ || intake_.standby_ || (intake_.ending_ && status == 503)) close_after_ = true;
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
  if (paused_) run({});
}

// The end of our sending, then what still comes is dropped: closing over unread bytes would reset the
// connection and could take the answer with it.
void ClientConnection::linger() {
  enter(Stage::lingering);
  reader_ = HttpReader(HttpReader::Side::requests, {}, &intake_.space_);
  Fault ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  if (paused_) run({});
  intake_.listener_.go_on();
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

// Guards against answers after the client gave up: a first request may have stood in the system's backlog
// while this process was held up, and its time has run since.
Micros ClientConnection::stood_unread() {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  return std::min(kBacklogLongest, static_cast<Micros>(info.tcpi_last_data_recv) * 1000);
}

bool ClientConnection::has_unread() {
  char byte = 0;
  return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Guards against hundreds that connect and say nothing, or never come to an end.
void ClientConnection::drop_if_slow(Micros now) {
  const Micros spent = now - since_;
  const bool asking = stage_ == Stage::reading && (!asked_ || !reader_.untouched());
  if (asking && spent > kWholeRequest) {
    ++intake_.engine_.metrics().put_out;
    if (reader_.untouched()) close();
    else turn_away(408);
  } else if ((stage_ == Stage::reading && spent > kIdleLongest) ||
             (stage_ == Stage::writing && spent > kSlowestTaker) ||
             (stage_ == Stage::lingering && spent > kLinger)) {
    close();
  }
}

Need ClientConnection::need() const {
  if (stage_ == Stage::lingering) return Need::none;
  if (stage_ != Stage::reading) return Need::kept;
  if (!asked_) return Need::newcomer;
  if (!served_) return Need::asked;
  return reader_.untouched() ? Need::served : Need::kept;
}

}  // namespace woadridge::net

#include <boost/asio/unyield.hpp>
