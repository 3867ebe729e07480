// One timer over one ordered queue: what is to be done at which time.
#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "net/asio.h"

namespace woadridge::proxy {

class Alarms {
 public:
  Alarms(net::Strand strand, const net::Clock& clock) : clock_(clock), timer_(strand) {}
  void at(Micros when, std::function<void()> what);
  void stop();

 private:
  struct Due {
    Micros at;
    std::uint64_t order;  // of two at the same time the first set comes first
    std::function<void()> what;
    bool operator<(const Due& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
  };
  void arm();
  void fire();

  const net::Clock& clock_;
  net::Timer timer_;
  std::vector<Due> dues_;  // a heap
  std::uint64_t orders_ = 0;
  Micros armed_for_ = 0;  // 0: not armed
  bool stopped_ = false;
};

}  // namespace woadridge::proxy
