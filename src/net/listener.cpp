#include "net/listener.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "net/handover.h"

namespace woadridge::net {
namespace {

constexpr auto kAcceptAgain =
    std::chrono::milliseconds(20);  // after a failed accept: descriptors may be short

}  // namespace

Listener::Listener(Strand strand, std::function<bool()> room, std::function<void(Socket)> take)
    : strand_(strand), room_(std::move(room)), take_(std::move(take)), acceptor_(strand), again_(strand) {}

std::string Listener::open(const Address& address) {
  const auto where = endpoint_of(address);
  Fault fault;
  acceptor_.open(where.protocol(), fault);
  if (!fault) acceptor_.set_option(Acceptor::reuse_address(true), fault);  // a restart binds at once
  if (!fault) acceptor_.bind(where, fault);
  if (!fault) acceptor_.listen(Acceptor::max_listen_connections, fault);
  if (!fault) acceptor_.non_blocking(true, fault);
  if (fault) {
    acceptor_.close();
    return to_text(address) + ": " + fault.message();
  }
  accept();
  return {};
}

std::string Listener::inherit(int descriptor) {
  std::string fault = check_listening(descriptor);
  Fault refused;
  if (fault.empty()) acceptor_.assign(Tcp::v4(), descriptor, refused);
  if (fault.empty() && !refused) acceptor_.non_blocking(true, refused);
  if (refused) fault = refused.message();
  if (!fault.empty()) return "EDGE_INHERITED_FD " + std::to_string(descriptor) + ": " + fault;
  accept();
  return {};
}

std::uint16_t Listener::port() const {
  Fault ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void Listener::go_on() {
  if (std::exchange(paused_, false)) accept();
}

void Listener::accept() {
  if (!acceptor_.is_open()) return;
  acceptor_.async_wait(Acceptor::wait_read, [this](Fault fault) {
    if (!fault) take_in();
  });
}

void Listener::take_in() {
  if (!acceptor_.is_open()) return;
  paused_ = !room_();
  if (paused_) return;
  Fault fault;
  Socket socket(strand_);
  acceptor_.accept(socket, fault);
  if (!fault) take_(std::move(socket));
  if (!fault || fault == boost::asio::error::would_block) return accept();
  spdlog::warn("no connection accepted: {}", fault.message());
  again_.expires_after(kAcceptAgain);
  again_.async_wait([this](Fault cancelled) {
    if (!cancelled) accept();
  });
}

void Listener::take_rest() {
  Fault fault;
  while (acceptor_.is_open() && !fault && room_()) {
    Socket socket(strand_);
    acceptor_.accept(socket, fault);
    if (!fault) take_(std::move(socket));
  }
}

void Listener::close() {
  Fault ignored;
  acceptor_.close(ignored);
  again_.cancel();
}

}  // namespace woadridge::net
