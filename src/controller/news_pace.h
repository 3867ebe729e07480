// How soon an agent is told what is new. A fleet's news costs the holder by the agents that are told times
// how often: so the larger the fleet, the longer changes are gathered for one agent. The home of an instance
// that changed, which sends its requests, does not wait for that. No I/O and no clock.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/messages.h"
#include "decide.h"

namespace woadridge::controller {

class NewsPace {
 public:
  // `processor`: the part of a core that this machine has.
  explicit NewsPace(Micros least, double processor = 1);

  void begin();  // of a term: nothing has changed yet
  void peers(const std::vector<common::Peer>& peers);
  // An instance's last change, or its end, stands on the board since that version.
  void changed(const common::Instance& instance, common::Version version);

  // Between two pieces of news to that agent, which holds that version.
  Micros pause(std::size_t agents, const std::string& agent, common::Version held) const;
  // Between an urgent report and the step that acts on it: those of the same moment are acted on together.
  Micros gather(std::size_t agents) const;

 private:
  const std::string& home_of(const common::Instance& instance);

  Micros least_;
  double slowness_;  // how much longer its work takes than where the figures were measured
  std::vector<common::Peer> peers_;
  std::unordered_map<std::string, std::string> draws_;                // the home by draw, by function
  std::unordered_map<std::string, common::Version> concerned_since_;  // an agent's own instances, by its name
};

}  // namespace woadridge::controller
