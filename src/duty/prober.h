// The duty "prober of a worker": one member of a zone probes it, and all of the zone hear the result with its
// age. No I/O, no clock.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "duty/node.h"

namespace woadridge::duty {

struct ProbeOrder {
  std::string worker;
  std::string duty;
  std::uint64_t number = 0;
};

struct ProbeResult {
  std::string worker;
  bool ok = false;
  Micros age = 0;
};

class Prober {
 public:
  Prober(Node& node, std::uint64_t seed);

  void workers(const std::set<std::string>& ids);  // those that are to be probed; of the reader of the list
  void tick(Micros now);
  void probed(const std::string& worker, bool ok, Micros age, Micros now);  // one of ours has ended
  void receive(const wire::Frame& frame);
  Micros wake() const { return wake_; }
  std::vector<ProbeOrder> take_orders() { return std::exchange(orders_, {}); }
  std::vector<ProbeResult> take_results() { return std::exchange(results_, {}); }
  // Whether the order may be carried out now: asked at the act.
  bool may(const ProbeOrder& order, Micros now) const {
    return node_.may_act(order.duty, now) == order.number;
  }

 private:
  Node& node_;
  const std::string prefix_;
  const Micros every_;
  std::minstd_rand chance_;
  std::set<std::string> wanted_;
  std::uint64_t digest_ = 1;                  // of them
  std::map<std::string, Micros> due_;         // duty: when to probe next
  std::map<std::string, std::uint64_t> out_;  // duty: number of the probe that is out
  std::vector<ProbeOrder> orders_;
  std::vector<ProbeResult> results_;
  Micros wake_ = 0;
};

}  // namespace woadridge::duty
