#include "net/asio.h"

namespace woadridge::net {

Clock::Clock()
    : begun_(std::chrono::steady_clock::now()),
      at_begin_(std::chrono::duration_cast<std::chrono::microseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()) {}

Micros Clock::now() const {
  const auto gone = std::chrono::steady_clock::now() - begun_;
  return at_begin_ + std::chrono::duration_cast<std::chrono::microseconds>(gone).count();
}

Tcp::endpoint endpoint_of(const Address& address) {
  return {boost::asio::ip::make_address(address.host), address.port};
}

}  // namespace woadridge::net
