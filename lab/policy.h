// Who decides in a virtual run: the decision module itself, or one of the baselines that it is measured
// against. The baselines are the lab's own and speak the module's events and actions; no dispatcher can reach
// them.
#pragma once

#include <memory>

#include "decide.h"
#include "lab/scenario.h"

namespace woadridge::lab {

class Truth {  // what really holds at the workers, for the baseline that sees all
 public:
  virtual ~Truth() = default;
  virtual int free_slots(const WorkerId& worker) const = 0;
  virtual double speed(const WorkerId& worker) const = 0;  // standard cores, as things are now
};

class Decider {
 public:
  virtual ~Decider() = default;
  virtual void handle(Micros now, const Event& event, std::vector<Action>& out) = 0;
};

std::unique_ptr<Decider> make_decider(Policy policy, const Truth* truth);
inline bool is_central(Policy policy) {
  return policy == Policy::central || policy == Policy::central_split;
}

}  // namespace woadridge::lab
