#include "lab/platform/door.h"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <charconv>
#include <stdexcept>

namespace woadridge::lab::platform {
namespace {

constexpr net::HttpLimits kLimits{16 * 1024, 4 * 1024 * 1024};

void close_hard(net::Socket& socket) {  // the other end sees the connection break, not end
  const linger hard{1, 0};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  net::Fault ignored;
  socket.close(ignored);
}

}  // namespace

std::string text_of(const Endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

Endpoint endpoint_at(const std::string& address) {
  const auto colon = address.rfind(':');
  net::Fault fault;
  const auto ip = boost::asio::ip::make_address_v4(address.substr(0, colon), fault);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const char* from = colon == std::string::npos ? end : address.data() + colon + 1;
  const auto [stop, bad] = std::from_chars(from, end, port);
  if (fault || bad != std::errc() || stop != end)
    throw std::runtime_error("'" + address + "' is no address with a port");
  return {ip, port};
}

Door::Door(net::Strand strand, Endpoint endpoint, Policy options, OnRequest on_request)
    : strand_(strand),
      endpoint_(std::move(endpoint)),
      options_(options),
      on_request_(std::move(on_request)),
      acceptor_(strand) {}

Door::~Door() {
  drop();
}

void Door::open() {
  net::Fault fault;
  acceptor_.open(endpoint_.protocol(), fault);
  if (!fault) acceptor_.set_option(net::Acceptor::reuse_address(true), fault);
  if (!fault) acceptor_.bind(endpoint_, fault);
  if (!fault) acceptor_.listen(boost::asio::socket_base::max_listen_connections, fault);
  if (fault) throw std::runtime_error(text_of(endpoint_) + ": " + fault.message());
  accept();
}

void Door::accept() {
  acceptor_.async_accept([this](net::Fault fault, net::Socket socket) {
    if (fault == boost::asio::error::operation_aborted) return;  // this object may be gone
    if (!fault && visits_.size() >= options_.most_visits) {
      close_hard(socket);
    } else if (!fault) {
      const auto visit = std::make_shared<Visit>(*this, std::move(socket));
      visits_.insert(visit);
      visit->start();
    }
    if (acceptor_.is_open()) accept();
  });
}

void Door::leave() {
  leaving_ = true;
  net::Fault ignored;
  acceptor_.close(ignored);
  const auto all = visits_;
  for (const auto& visit : all)
    if (!visit->busy_ && visit->reader_.untouched()) visit->close();
}

void Door::drop() {
  net::Fault ignored;
  acceptor_.close(ignored);
  const auto all = visits_;
  for (const auto& visit : all) {
    visit->gone_ = nullptr;
    visit->close();
    visit->door_ = nullptr;
  }
}

void Door::reset() {
  const auto all = visits_;
  for (const auto& visit : all) visit->reset();
}

void Door::hold_back(std::chrono::microseconds span) {
  held_until_ = std::max(held_until_, std::chrono::steady_clock::now() + span);
}

Door::Visit::Visit(Door& door, net::Socket socket)
    : door_(&door),
      socket_(std::move(socket)),
      limit_(door.strand_),
      reader_(net::HttpReader::Side::requests, kLimits) {}

void Door::Visit::start() {
  net::Fault ignored;
  socket_.set_option(net::Tcp::no_delay(true), ignored);
  idle();
  read();
}

void Door::Visit::idle() {
  limit_.expires_after(std::chrono::seconds(door_->options_.idle_s));
  limit_.async_wait([self = shared_from_this(), turn = turn_](net::Fault stopped) {
    if (!stopped && turn == self->turn_ && !self->busy_) self->close();
  });
}

bool Door::Visit::held_back() {
  if (door_->held_until_ <= std::chrono::steady_clock::now()) return false;
  auto wait = std::make_shared<net::Timer>(door_->strand_, door_->held_until_);
  wait->async_wait([self = shared_from_this(), wait](net::Fault) {
    if (!self->closed_) self->read();
  });
  return true;
}

void Door::Visit::reset() {
  if (closed_) return;
  close_hard(socket_);
  close();
}

void Door::Visit::read() {
  if (held_back()) return;
  const auto room = reader_.room();
  if (room.empty()) return close();
  socket_.async_read_some(boost::asio::buffer(room.data(), room.size()),
                          [self = shared_from_this()](net::Fault fault, std::size_t bytes) {
                            if (self->closed_) return;
                            if (fault) return self->close();
                            self->reader_.arrived(bytes);
                            self->take();
                          });
}

void Door::Visit::take() {
  if (reader_.state() == net::HttpReader::State::failed) {
    busy_ = true;
    return answer(400, {}, {}, false);
  }
  if (reader_.state() != net::HttpReader::State::complete) return read();
  busy_ = true;
  ++turn_;
  const auto self = shared_from_this();
  door_->on_request_(self);
  if (busy_ && !closed_ && out_.empty()) watch();
}

void Door::Visit::watch() {
  socket_.async_wait(net::Socket::wait_read, [self = shared_from_this(), turn = turn_](net::Fault fault) {
    if (self->closed_ || turn != self->turn_ || !self->busy_) return;
    char byte;
    if (!fault && ::recv(self->socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0)
      return;  // the next request is here already: it waits
    self->close();
  });
}

void Door::Visit::answer(int status, const std::string& more, const std::string& body, bool keep) {
  if (closed_ || !busy_) return;
  keep = keep && reader_.keep_alive() && !door_->leaving_;
  std::string lines = more;
  if (keep) net::write_header(lines, "Keep-Alive", "timeout=" + std::to_string(door_->options_.idle_s));
  out_.clear();
  net::write_answer_head(out_, status, lines, body.size(), keep);
  if (reader_.method() != "HEAD") out_ += body;
  gone_ = nullptr;
  boost::asio::async_write(socket_, boost::asio::buffer(out_),
                           [self = shared_from_this(), keep](net::Fault fault, std::size_t) {
                             if (self->closed_) return;
                             if (fault || !keep || self->door_->leaving_) return self->close();
                             self->out_.clear();
                             self->busy_ = false;
                             self->reader_.next();
                             self->idle();
                             self->take();
                           });
}

void Door::Visit::close() {
  if (std::exchange(closed_, true)) return;
  const auto self = shared_from_this();
  limit_.cancel();
  net::Fault ignored;
  socket_.close(ignored);
  if (door_) door_->visits_.erase(self);
  if (auto told = std::exchange(gone_, nullptr)) told();
}

}  // namespace woadridge::lab::platform
