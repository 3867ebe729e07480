// What all connections share of Boost.Asio: one strand, its sockets and timers, and clocks.
#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>

#include "net/config.h"

namespace woadridge::net {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using Tcp = boost::asio::ip::tcp;
using Socket = boost::asio::basic_stream_socket<Tcp, Strand>;
using Acceptor = boost::asio::basic_socket_acceptor<Tcp, Strand>;
using Timer = boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                                boost::asio::wait_traits<std::chrono::steady_clock>, Strand>;
using Fault = boost::system::error_code;

// Microseconds since 1970, read once and carried on by the steady clock: it compares with other machines'
// times and never goes back.
class Clock {
 public:
  Clock();
  Micros now() const;

 private:
  std::chrono::steady_clock::time_point begun_;
  Micros at_begin_;
};

Tcp::endpoint endpoint_of(const Address& address);

}  // namespace woadridge::net
