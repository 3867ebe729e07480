#include "net/admin.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>

#include "net/percent.h"

// Last: it defines the words of the coroutines as macros.
// clang-format off
#include <boost/asio/yield.hpp>
// clang-format on

namespace woadridge::net {
namespace {

constexpr HttpLimits kCallLimits{4 * 1024, 1024};  // bytes: a call is a line, a few headers and no body
constexpr Micros kWholeCall = 5'000'000;  // a caller that has not finished its call by then is told so
constexpr Micros kLinger = 1'000'000;     // for the caller to take its answer and close
constexpr auto kSweepEvery = std::chrono::milliseconds(250);

struct Route {
  std::string_view method;
  std::string_view path;
};

constexpr Route kStatus{"GET", "/status"};
constexpr Route kFigures{"GET", "/status/metrics"};
constexpr Route kGroup{"GET", "/group"};
constexpr Route kStandby{"POST", "/standby"};
constexpr Route kActive{"POST", "/active"};
constexpr std::string_view kEnter = "/maintenance/enter/";  // POST, and the worker's id behind it
constexpr std::string_view kExit = "/maintenance/exit/";

}  // namespace

AdminConnection::AdminConnection(Admin& admin, Socket socket, Micros now)
    : admin_(admin),
      socket_(std::move(socket)),
      reader_(HttpReader::Side::requests, kCallLimits),
      since_(now) {}

template <typename Step>
void AdminConnection::guarded(Step step) {
  if (closed_) return;
  try {
    step();
  } catch (const std::exception& fault) {
    spdlog::warn("an operator's call given up: {}", fault.what());
    close();
  }
}

void AdminConnection::start() {
  guarded([this] {
    socket_.non_blocking(true);
    run({});
  });
}

void AdminConnection::run(Fault fault) {
  const auto resume = [self = shared_from_this()](Fault f) { self->guarded([&] { self->run(f); }); };
  reenter(this) {
    while (!closed_) {
      yield socket_.async_wait(Socket::wait_read, resume);
      if (!fault) read(fault);
      if (fault && fault != boost::asio::error::would_block) return close();
    }
  }
}

void AdminConnection::read(Fault& fault) {
  if (answered_) {  // behind the call: dropped, so that our close doesn't take the answer with it
    std::array<char, 1024> aside;
    socket_.read_some(boost::asio::buffer(aside), fault);
    return;
  }
  const auto room = reader_.room();
  const std::size_t bytes = socket_.read_some(boost::asio::buffer(room.data(), room.size()), fault);
  if (fault || bytes == 0) return;
  reader_.arrived(bytes);
  if (reader_.state() == HttpReader::State::complete) take_call();
  else if (reader_.state() == HttpReader::State::failed) refuse_call();
}

void AdminConnection::refuse_call() {
  if (reader_.fault() == HttpFault::head_too_large) answer(431, {}, "the head is too long\n");
  else if (reader_.fault() == HttpFault::body_too_large) answer(413, {}, "a call needs no body\n");
  else answer(400, {}, "not a readable HTTP/1.1 call\n");
}

void AdminConnection::take_call() {
  const auto target = reader_.target();
  const auto path = target.substr(0, target.find('?'));
  const auto with = [&](std::string_view method, auto action) {
    if (reader_.method() == method) return action();
    answer(405, fmt::format("Allow: {}\r\n", method), "another method is needed\n");
  };
  auto& operations = admin_.operations_;
  if (path == kStatus.path) return with(kStatus.method, [&] { tell(operations.status()); });
  if (path == kFigures.path) return with(kFigures.method, [&] { tell({true, operations.figures()}); });
  if (path == kGroup.path) return with(kGroup.method, [&] { tell(operations.group()); });
  if (path == kStandby.path) return with(kStandby.method, [&] { tell(operations.standby()); });
  if (path == kActive.path) return with(kActive.method, [&] { tell(operations.active()); });
  for (const bool out : {true, false})
    if (const auto prefix = out ? kEnter : kExit; path.starts_with(prefix))
      return with("POST", [&] { take_maintenance(path.substr(prefix.size()), out); });
  answer(404, {}, "no such call\n");
}

void AdminConnection::take_maintenance(std::string_view text, bool out) {
  const auto id = percent_decoded(text);
  if (!id || id->empty()) return answer(400, {}, "the path does not end in a worker's id\n");
  tell(admin_.operations_.maintain(*id, out));
}

void AdminConnection::tell(const Reply& reply) {
  answer(reply.yes ? 200 : reply.unknown ? 404 : 503, {}, reply.text);
}

void AdminConnection::answer(int status, std::string_view more, std::string_view body) {
  answered_ = true;
  since_ = admin_.clock_.now();
  std::string headers(more);
  write_header(headers, "Content-Type", "text/plain; charset=utf-8");
  write_answer_head(out_, status, headers, body.size(), false);
  out_.append(body);
  boost::asio::async_write(socket_, boost::asio::buffer(out_),
                           [self = shared_from_this()](Fault fault, std::size_t) {
                             self->guarded([&] { fault ? self->close() : self->written(); });
                           });
}

void AdminConnection::written() {
  Fault ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
}

void AdminConnection::close() {
  if (std::exchange(closed_, true)) return;
  const auto self = shared_from_this();
  Fault ignored;
  socket_.close(ignored);
  admin_.callers_.erase(place_);
}

void AdminConnection::drop_if_slow(Micros now) {
  if (answered_ && now - since_ > kLinger) return close();
  if (!answered_ && now - since_ > kWholeCall)
    guarded([this] { answer(408, {}, "the call did not come to its end\n"); });
}

// ---- the listener ----

Admin::Admin(Strand strand, const Clock& clock, Operations& operations)
    : clock_(clock),
      operations_(operations),
      listener_(
          strand, [this] { return make_room(), true; },
          [this](Socket socket) { accepted(std::move(socket)); }),
      sweeper_(strand) {}

std::string Admin::listen(const Address& address) {
  std::string fault = listener_.open(address);
  if (fault.empty()) sweep();
  return fault;
}

void Admin::accepted(Socket socket) {
  const auto caller = std::make_shared<AdminConnection>(*this, std::move(socket), clock_.now());
  caller->place_ = callers_.insert(callers_.end(), caller);
  caller->start();
}

// Guards against callers that hold a connection and say nothing: those that have their answer go first, then
// the one that has been longest without a whole call.
void Admin::make_room() {
  if (callers_.size() < kMostCallers) return;
  const auto order = [](const auto& c) { return std::pair(!c->answered(), c->since()); };
  const auto chosen = *std::min_element(callers_.begin(), callers_.end(),
                                        [&](const auto& a, const auto& b) { return order(a) < order(b); });
  chosen->close();
}

void Admin::sweep() {
  if (stopped_) return;
  const Micros now = clock_.now();
  const std::list<std::shared_ptr<AdminConnection>> all = callers_;
  for (const auto& caller : all) caller->drop_if_slow(now);
  sweeper_.expires_after(kSweepEvery);
  sweeper_.async_wait([this](Fault fault) {
    if (!fault) sweep();
  });
}

void Admin::stop() {
  stopped_ = true;
  listener_.close();
  sweeper_.cancel();
  while (!callers_.empty()) callers_.front()->close();
}

}  // namespace woadridge::net

#include <boost/asio/unyield.hpp>
