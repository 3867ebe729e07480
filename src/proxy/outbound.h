// Requests that go out, to instances and to peers: one at a time on a connection, connections kept.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/settings.h"
#include "proxy/alarms.h"
#include "proxy/call.h"
#include "proxy/exchange.h"

namespace woadridge::proxy {

struct OutboundRequest {
  common::Endpoint to;
  std::string id;    // of the try: an answer that names another is none of ours
  std::string head;  // whole, with its empty line
  std::string_view body;
  std::shared_ptr<const void> held;  // keeps the body
  bool asks_head = false;            // HEAD: the answer has no body, whatever its length says
};

using OutboundHeaders = std::vector<std::pair<std::string_view, std::string>>;

// What takes the call one hop on: `left` is what the next one has of its time, `headers` are for it alone.
OutboundRequest outbound_request_for(const Call& call, const common::Endpoint& to, Micros left,
                                     const OutboundHeaders& headers);

class Outbound {
 public:
  using OnEnd = std::function<void(OutboundResult)>;
  using OnReach = std::function<void(bool)>;
  Outbound(net::Strand strand, const net::Clock& clock, Alarms& alarms, net::BufferSpace& space);
  ~Outbound();

  std::uint64_t start(OutboundRequest request,
                      OnEnd on_end);  // its number; the end never comes from inside the call
  void drop(std::uint64_t number);    // its connection closes; no end is told
  // Tries to connect; a connection that came up is kept for the first request.
  void reach(const common::Endpoint& place, Micros limit, OnReach on_reach);
  void forget(
      const common::Endpoint& place);  // idle connections there are closed: another may have the address
  void stop();

 private:
  class Line;
  friend class Line;
  using LineRef = std::shared_ptr<Line>;
  LineRef line_to(const common::Endpoint& place);
  LineRef idle_line(const common::Endpoint& place, const std::string& id);
  void idle(const LineRef& line);
  void gone(const LineRef& line);
  void sweep();

  net::Strand strand_;
  const net::Clock& clock_;
  Alarms& alarms_;
  net::BufferSpace& space_;
  std::map<common::Endpoint, std::vector<LineRef>> idle_;  // the latest used last
  std::map<std::uint64_t, LineRef> out_;
  std::map<Line*, LineRef> lines_;
  std::uint64_t last_ = 0;
  bool sweeping_ = false, stopped_ = false;
};

}  // namespace woadridge::proxy
