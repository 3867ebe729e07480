// A holder of the duty, proxies and the instances of one function in simulated time: the deciding code
// itself, with news and reports that come late, proxies that come and go, and holders that begin anew. It
// counts what an instance is given beyond its slots. Everything is drawn from one seed.
#pragma once

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "autoscaler/placement.h"
#include "controller/board.h"
#include "proxy/home_view.h"

namespace woadridge::handover {

constexpr Micros kMs = 1000, kSecond = 1'000'000;
constexpr Micros kLongestHandOver = 6 * kSecond;

struct Delays {  // of one piece of news or one report
  Micros least = 5 * kMs, most = 40 * kMs;
};

class World {
 public:
  World(std::uint64_t seed, std::size_t proxies, std::size_t instances);

  Micros now = kSecond;
  double calls_per_s = 40;  // to the function, of all clients
  std::size_t turned_away = 0, served = 0;

  void run(Micros span);
  void slow(std::size_t proxy, Delays delays) { proxies_[proxy].delays = delays; }
  /// The holder is gone; the next one begins, and each proxy's agent finds it within `latest`.
  void new_holder(Micros latest);
  void stop(std::size_t proxy);     ///< told to end: it takes nothing more and serves what it has taken
  void restart(std::size_t proxy);  ///< its process begins anew, and holds nothing

 private:
  struct Proxy {
    std::string name;
    proxy::HomeView view{"", kLongestHandOver};
    Delays delays;
    bool linked = false, told = true, leaving = false;  // told: no news is on its way
    std::uint64_t life = 0;
    Micros asked_at = 0, full_until = 0;
    std::map<std::string, std::uint32_t> out;  // by instance
  };
  struct Event {
    Micros when = 0;
    std::uint64_t number = 0;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return std::tie(other.when, other.number) < std::tie(when, number);
    }
  };

  void at(Micros when, std::function<void()> what) { events_.push({when, ++number_, std::move(what)}); }
  Micros delay(const Proxy& proxy);
  void begin_term();
  void list();
  void link(std::size_t proxy);
  void ask(Proxy& proxy);
  void step();
  void look_at_peers();
  void tell(std::size_t proxy);
  void hear(std::size_t proxy, std::uint64_t life, const common::News& news);
  void send(std::size_t proxy);
  void release(std::size_t proxy);
  void attempt(std::size_t proxy, const common::Instance& instance);

  std::mt19937_64 random_;
  std::priority_queue<Event> events_;
  std::uint64_t number_ = 0, term_ = 0;
  std::vector<Proxy> proxies_;
  std::vector<common::Instance> instances_;   // as the provider lists them
  std::map<std::string, std::uint32_t> out_;  // by instance, of all proxies
  Micros began_ = 0, reported_at_ = 0;
  controller::Board board_;
  controller::ProxyRoster roster_;
  autoscaler::Placement placement_;
  bool listed_ = false;
};

}  // namespace woadridge::handover
