// Frames between members: protobuf behind a length of four bytes, over TCP, on the strand. Each connection
// carries one direction: who sends connects, so that a way that is cut in one direction is cut in one
// direction. Nothing is promised: what can't be sent soon is dropped, and those above send again.
#pragma once

#include <boost/asio/coroutine.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "group.pb.h"
#include "net/asio.h"
#include "net/listener.h"

namespace woadridge::peer {

constexpr std::size_t kLongestFrame = 8 << 20;  // bytes; the whole list of some 100,000 workers
constexpr std::size_t kLongestQueue = 4 << 20;  // bytes that wait for one member; then the oldest go

struct Traffic {
  std::uint64_t frames_in = 0, frames_out = 0, bytes_in = 0, bytes_out = 0, dropped = 0, malformed = 0;
};

class Transport {
 public:
  using Taken = std::function<void(wire::Frame)>;
  Transport(net::Strand strand, const net::Clock& clock, std::size_t most_connections, Taken taken);
  ~Transport();

  std::string listen(const net::Address& address);  // an empty text, or why that is not possible
  std::uint16_t port() const { return listener_.port(); }
  void send(const std::string& address, const wire::Frame& frame);
  void sweep();  // now and then: connections that stand still or idle are closed
  void stop();
  const Traffic& traffic() const { return traffic_; }
  std::size_t connections() const { return lines_.size() + heard_.size(); }

 private:
  class Line;
  class Ear;

  void accepted(net::Socket socket);

  net::Strand strand_;
  const net::Clock& clock_;
  const std::size_t most_;
  Taken taken_;
  net::Listener listener_;
  std::optional<net::Address> own_;
  std::map<std::string, std::shared_ptr<Line>> lines_;
  std::list<std::shared_ptr<Ear>> heard_;
  Traffic traffic_;
  bool stopped_ = false;
};

}  // namespace woadridge::peer
