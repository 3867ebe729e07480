// Clients of a soak: requests come open-loop, on connections that are kept and used until the other end
// closes them; a request that may be tried again is, on a new connection at another edge. Some send in
// pieces, and some break off their connection under a request.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "lab/platform/soak/day.h"
#include "lab/platform/soak/observations.h"
#include "net/http.h"

namespace woadridge::lab::platform::soak {

struct ClientRoute {
  std::string prefix;
  bool repeatable = true;
  Micros deadline = 4'000'000;
};

struct ClientOptions {
  std::uint64_t seed = 1;
  double per_s = 200;
  std::string host;
  std::vector<ClientRoute> routes;  ///< the first ones get most
  std::vector<Burst> bursts;
  Micros probe_every = 1'000'000;  ///< between two looks at one edge for the routes of the operator's changes
};

class Clients {
 public:
  Clients(ClientOptions options, std::vector<Endpoint> fronts);
  ~Clients();
  void start();
  /// No more requests; waits for those that are open. What was seen.
  std::vector<Attempt> stop();
  /// Routes that each edge is asked for from now on, directly.
  void probe(std::vector<std::string> prefixes);

 private:
  class Connection;
  enum class Manner { prompt, in_pieces, breaks_off };
  Manner draw_manner();
  using ConnectionRef = std::shared_ptr<Connection>;
  struct Open {  // a request on its way
    Attempt attempt;
    Micros first_sent = 0;
    Micros deadline = ClientRoute{}.deadline;
    Manner manner = Manner::prompt;
    int tries = 1;
    bool probes = false;
  };

  void arrive();
  void probe_next();
  void send(Open open, bool fresh_connection);
  void ended(const ConnectionRef& connection, Open open);
  void maybe_again(const Open& open, double retry_after_s);
  double rate_now() const;
  std::size_t draw_route();
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }

  ClientOptions options_;
  std::vector<Endpoint> fronts_;
  net::Clock clock_;
  boost::asio::io_context io_{1};
  net::Strand strand_{io_.get_executor()};
  net::Timer arrivals_{strand_}, probes_{strand_};
  std::mt19937_64 random_;
  std::map<int, std::vector<ConnectionRef>> idle_;  // by edge
  std::vector<Attempt> seen_;
  std::vector<std::string> probe_prefixes_;
  std::size_t probe_at_ = 0;
  Micros begun_ = 0;
  std::uint64_t numbers_ = 0;
  std::size_t open_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace woadridge::lab::platform::soak
