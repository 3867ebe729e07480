#include "controller/api_server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "common/frames.h"

namespace woadridge::controller {
namespace {

using std::chrono::milliseconds;
using Code = boost::system::error_code;

constexpr net::HttpLimits kLimits{16 * 1024, 4 * 1024 * 1024};
constexpr milliseconds kIdle{15000};     // between requests
constexpr milliseconds kComing{10000};   // from a request's first byte to its last
constexpr milliseconds kWriting{10000};  // of an answer
constexpr milliseconds kDrain{1000};  // what still comes after a fault is read, or the answer would be lost
constexpr milliseconds kAcceptAgain{20};
constexpr std::size_t kMostConnections = 128;

int status_of(net::HttpFault fault) {
  switch (fault) {
    case net::HttpFault::head_too_large:
      return 431;
    case net::HttpFault::body_too_large:
      return 413;
    case net::HttpFault::no_space:
      return 503;
    default:
      return 400;
  }
}

}  // namespace

Answer answer(int status, std::string json, std::string headers) {
  return {status, std::move(headers), std::make_shared<const std::string>(std::move(json)), 0};
}

class ApiServer::ApiConnection : public std::enable_shared_from_this<ApiConnection> {
 public:
  ApiConnection(ApiServer& api_server, net::Socket socket)
      : api_server_(api_server),
        socket_(std::move(socket)),
        limit_(api_server.strand_),
        reader_(net::HttpReader::Side::requests, kLimits, &api_server.space_) {}

  void start() {
    common::watch_for_silence(socket_, static_cast<std::uint32_t>(kComing.count()));
    Code ignored;
    socket_.non_blocking(true, ignored);
    wait(kIdle);
    look();
  }

  void leave_when_idle() {
    if (!handling_ && !writing_) end();
  }

  void end() {
    if (ended_) return;
    ended_ = true;
    if (handling_) --api_server_.unanswered_;
    limit_.cancel();
    Code ignored;
    socket_.close(ignored);
    api_server_.connections_.erase(shared_from_this());
  }

 private:
  void wait(milliseconds most) {
    limit_.expires_after(most);
    limit_.async_wait([self = shared_from_this()](Code stopped) {
      if (!stopped) self->end();
    });
  }

  void look() {  // at what has come
    if (reader_.state() == net::HttpReader::State::complete) return handle();
    if (reader_.state() == net::HttpReader::State::failed) return refuse();
    const auto room = reader_.room();
    if (room.empty()) return refuse();
    socket_.async_wait(net::Socket::wait_read, [self = shared_from_this()](Code failed) {
      if (self->ended_) return;
      if (failed) return self->end();
      self->read();
    });
  }

  void read() {
    Code fault;
    const auto room = reader_.room();
    const auto bytes = socket_.read_some(boost::asio::buffer(room.data(), room.size()), fault);
    if (fault == boost::asio::error::would_block) return look();
    if (fault) return end();
    if (reader_.untouched()) wait(kComing);
    reader_.arrived(bytes);
    look();
  }

  void handle() {
    limit_.cancel();
    handling_ = true;
    ++api_server_.unanswered_;
    const std::string_view target = reader_.target();
    const Request request{reader_.method(), target.substr(0, target.find('?')), reader_.body()};
    api_server_.on_request_(request, [weak = weak_from_this()](Answer a) {
      if (auto self = weak.lock()) self->reply(std::move(a));
    });
  }

  void refuse() {
    const int status = reader_.state() == net::HttpReader::State::failed ? status_of(reader_.fault()) : 503;
    handling_ = true;
    broken_ = true;
    ++api_server_.unanswered_;
    reply(answer(status, R"({"faults":["the request can't be read"]})"));
  }

  void reply(Answer a) {
    if (ended_ || !handling_) return;
    handling_ = false;
    --api_server_.unanswered_;
    keep_ = !broken_ && reader_.keep_alive() && !api_server_.closed_;
    answer_ = std::move(a);
    head_.clear();
    const std::size_t length = answer_.body ? answer_.body->size() - answer_.skip : 0;
    net::write_answer_head(head_, answer_.status, "Content-Type: application/json\r\n" + answer_.headers,
                           length, keep_);
    std::array<boost::asio::const_buffer, 2> pieces{boost::asio::buffer(head_)};
    if (length > 0) pieces[1] = boost::asio::buffer(answer_.body->data() + answer_.skip, length);
    writing_ = true;
    wait(kWriting);
    boost::asio::async_write(socket_, pieces, [self = shared_from_this()](Code failed, std::size_t) {
      self->writing_ = false;
      if (self->ended_) return;
      if (failed) return self->end();
      self->written();
    });
  }

  void written() {
    answer_ = {};
    if (!keep_) {
      Code ignored;
      socket_.shutdown(net::Socket::shutdown_send, ignored);
      wait(kDrain);
      return drain();
    }
    wait(kIdle);
    reader_.next();
    look();
  }

  void drain() {
    socket_.async_wait(net::Socket::wait_read, [self = shared_from_this()](Code failed) {
      if (self->ended_) return;
      std::array<char, 4096> waste;
      Code fault = failed;
      if (!fault) self->socket_.read_some(boost::asio::buffer(waste), fault);
      if (fault && fault != boost::asio::error::would_block) return self->end();
      self->drain();
    });
  }

  ApiServer& api_server_;
  net::Socket socket_;
  net::Timer limit_;
  net::HttpReader reader_;
  Answer answer_;
  std::string head_;
  bool handling_ = false, writing_ = false, keep_ = true, broken_ = false, ended_ = false;
};

ApiServer::ApiServer(net::Strand strand, std::int64_t memory_mb, OnRequest on_request)
    : strand_(strand),
      acceptor_(strand),
      again_(strand),
      space_(memory_mb),
      on_request_(std::move(on_request)) {}

common::Result<void> ApiServer::open(const common::Endpoint& place) {
  Code fault;
  acceptor_.open(net::Tcp::v4(), fault);
  if (!fault) acceptor_.set_option(net::Acceptor::reuse_address(true), fault);
  if (!fault) acceptor_.bind(common::endpoint_of(place), fault);
  if (!fault) acceptor_.listen(64, fault);
  if (fault) return common::Fault{common::Trouble::unreadable, place.text() + ": " + fault.message()};
  accept();
  return boost::outcome_v2::success();
}

void ApiServer::accept() {
  acceptor_.async_accept([this](Code failed, net::Socket socket) {
    if (failed == boost::asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (failed) {  // no descriptor is free, mostly
      again_.expires_after(kAcceptAgain);
      again_.async_wait([this](Code stopped) {
        if (!stopped && acceptor_.is_open()) accept();
      });
      return;
    }
    if (connections_.size() < kMostConnections) {
      const auto connection = std::make_shared<ApiConnection>(*this, std::move(socket));
      connections_.insert(connection);
      connection->start();
    }
    accept();
  });
}

void ApiServer::close() {
  closed_ = true;
  Code ignored;
  acceptor_.close(ignored);
  again_.cancel();
  const auto all = connections_;
  for (const auto& connection : all) connection->leave_when_idle();
}

}  // namespace woadridge::controller
