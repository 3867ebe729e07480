#include "common/frames.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace woadridge::common {
namespace {

constexpr std::size_t kMostFrame = 16 << 20;  // bytes: a length beyond is junk
constexpr std::size_t kHead = 4;
constexpr std::size_t kRead = 16 * 1024;
constexpr auto kAcceptAgain = std::chrono::milliseconds(20);  // after no descriptor was free

std::uint32_t length_at(std::string_view in) {
  const auto byte = [&](int i) { return static_cast<std::uint32_t>(static_cast<unsigned char>(in[i])); };
  return byte(0) | byte(1) << 8 | byte(2) << 16 | byte(3) << 24;
}

}  // namespace

Tcp::endpoint endpoint_of(const Endpoint& place) {
  Code ignored;
  return {boost::asio::ip::make_address_v4(place.ip, ignored), place.port};
}

void watch_for_silence(Socket& socket, std::uint32_t silence_ms) {
  Code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  if (silence_ms == 0) return;
  const int fd = socket.native_handle();
  const int on = 1, idle_s = std::max(1, static_cast<int>(silence_ms / 2000)), every_s = 1, times = 2;
  const unsigned unanswered = silence_ms;
  ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &every_s, sizeof every_s);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &times, sizeof times);
  ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unanswered, sizeof unanswered);
}

FrameConnection::FrameConnection(Socket socket)
    : socket_(std::move(socket)), limit_(socket_.get_executor()) {}

std::shared_ptr<FrameConnection> FrameConnection::accepted(Socket socket) {
  auto wire = std::shared_ptr<FrameConnection>(new FrameConnection(std::move(socket)));
  wire->connected_ = true;
  return wire;
}

std::shared_ptr<FrameConnection> FrameConnection::to(Strand strand, const Endpoint& place,
                                                     std::uint32_t silence_ms, std::uint32_t connect_ms) {
  auto wire = std::shared_ptr<FrameConnection>(new FrameConnection(Socket(strand)));
  wire->connect(place, silence_ms, connect_ms);
  return wire;
}

void FrameConnection::connect(const Endpoint& place, std::uint32_t silence_ms, std::uint32_t connect_ms) {
  Code fault;
  socket_.open(Tcp::v4(), fault);
  if (!fault) watch_for_silence(socket_, silence_ms);
  auto self = shared_from_this();
  if (connect_ms > 0) {  // a machine without power says nothing: the call to connect would hang
    limit_.expires_after(std::chrono::milliseconds(connect_ms));
    limit_.async_wait([self](Code stopped) {
      if (!stopped && !self->connected_) self->end();
    });
  }
  socket_.async_connect(endpoint_of(place), [self](Code failed) {
    if (!self->open_) return;
    if (failed) return self->end();
    self->connected_ = true;
    self->limit_.cancel();
    if (self->started_) self->begin();
  });
}

void FrameConnection::start(OnFrame on_frame, OnEnd on_end) {
  on_frame_ = std::move(on_frame);
  on_end_ = std::move(on_end);
  started_ = true;
  if (connected_ && open_) begin();
}

void FrameConnection::begin() {
  Code ignored;
  socket_.non_blocking(true, ignored);
  read();
  write();
}

void FrameConnection::read() {
  auto self = shared_from_this();
  socket_.async_wait(Socket::wait_read, [self](Code failed) {
    if (!self->open_) return;
    if (failed) return self->end();
    std::array<char, kRead> piece;
    Code fault;
    const auto bytes = self->socket_.read_some(boost::asio::buffer(piece), fault);
    if (fault && fault != boost::asio::error::would_block) return self->end();
    if (!fault) self->in_.append(piece.data(), bytes);
    std::size_t at = 0;
    while (self->open_ && self->in_.size() - at >= kHead) {
      const auto length = length_at(std::string_view(self->in_).substr(at, kHead));
      if (length > kMostFrame) return self->end();
      if (self->in_.size() - at - kHead < length) break;
      const std::string_view frame(self->in_.data() + at + kHead, length);
      at += kHead + length;
      self->on_frame_(frame);
    }
    if (!self->open_) return;
    self->in_.erase(0, at);
    if (self->in_.empty() && self->in_.capacity() > 4 * kRead) self->in_.shrink_to_fit();
    self->read();
  });
}

Frame frame_of(std::string_view bytes) {
  const auto length = static_cast<std::uint32_t>(bytes.size());
  std::string framed;
  framed.reserve(kHead + bytes.size());
  for (int shift = 0; shift < 32; shift += 8) framed += static_cast<char>(length >> shift & 0xff);
  framed.append(bytes);
  return std::make_shared<const std::string>(std::move(framed));
}

void FrameConnection::send(Frame frame) {
  if (!open_) return;
  unsent_ += frame->size();
  out_.push_back(std::move(frame));
  if (connected_ && started_) write();
}

void FrameConnection::write() {
  if (writing_ || out_.empty() || !open_) return;
  // What the system takes at once needs no wake-up.
  while (!out_.empty()) {
    Code fault;
    const auto rest = std::string_view(*out_.front()).substr(sent_of_first_);
    const auto bytes = socket_.write_some(boost::asio::buffer(rest), fault);
    if (fault == boost::asio::error::would_block) break;
    if (fault) {
      auto self = shared_from_this();  // not from inside the caller's send()
      boost::asio::post(socket_.get_executor(), [self] { self->end(); });
      return;
    }
    unsent_ -= bytes;
    sent_of_first_ += bytes;
    if (sent_of_first_ < out_.front()->size()) continue;
    out_.pop_front();
    sent_of_first_ = 0;
  }
  if (out_.empty()) return;
  writing_ = true;
  auto self = shared_from_this();
  socket_.async_wait(Socket::wait_write, [self](Code failed) {
    self->writing_ = false;
    if (!self->open_) return;
    if (failed) return self->end();
    self->write();
  });
}

void FrameConnection::end() {
  if (!open_) return;
  auto told = std::move(on_end_);
  close();
  if (told) told();
}

void FrameConnection::close() {
  if (!open_) return;
  open_ = false;
  limit_.cancel();
  Code ignored;
  socket_.close(ignored);
  on_end_ = nullptr;
  // The frame handler may be what called: it goes with the next turn.
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] { self->on_frame_ = nullptr; });
}

std::string FrameConnection::peer_ip() const {
  Code ignored;
  return socket_.remote_endpoint(ignored).address().to_string();
}

FrameListener::FrameListener(Strand strand, OnWire on_wire)
    : acceptor_(strand), again_(strand), on_wire_(std::move(on_wire)) {}

Result<void> FrameListener::open(const Endpoint& place) {
  Code fault;
  acceptor_.open(Tcp::v4(), fault);
  if (!fault) acceptor_.set_option(Acceptor::reuse_address(true), fault);
  if (!fault) acceptor_.bind(endpoint_of(place), fault);
  if (!fault) acceptor_.listen(256, fault);
  if (fault) return Fault{Trouble::unreadable, place.text() + ": " + fault.message()};
  accept();
  return boost::outcome_v2::success();
}

void FrameListener::accept() {
  acceptor_.async_accept([this](Code failed, Socket socket) {
    if (failed == boost::asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!failed) {
      watch_for_silence(socket, 0);
      on_wire_(FrameConnection::accepted(std::move(socket)));
      return accept();
    }
    again_.expires_after(kAcceptAgain);
    again_.async_wait([this](Code stopped) {
      if (!stopped && acceptor_.is_open()) accept();
    });
  });
}

void FrameListener::close() {
  Code ignored;
  acceptor_.close(ignored);
  again_.cancel();
}

}  // namespace woadridge::common
