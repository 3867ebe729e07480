// When machines were in touch, from the spans of trouble. No I/O and no clock.
#pragma once

#include <vector>

#include "lab/platform/soak/observations.h"

namespace woadridge::lab::platform::soak {

class Contact {
 public:
  /// `contact`: how long after a trouble a machine counts as out of touch.
  Contact(const std::vector<TroubleSpan>& troubles, Micros contact, int edges)
      : troubles_(troubles), contact_(contact), edges_(edges) {}

  /// For the whole time from `contact` before `from` until `to` neither that edge nor the core was in
  /// trouble.
  bool edge(int number, Micros from, Micros to) const;
  bool all_edges(Micros from, Micros to) const;
  bool instances(Micros from, Micros to) const;
  /// How much of that time the provider was in trouble.
  Micros provider_down(Micros from, Micros to) const;
  /// Nothing was struck by other trouble than planned work.
  bool only_planned(Micros from, Micros to) const;

 private:
  bool calm(Micros from, Micros to, Place place, int number) const;
  bool touches(const TroubleSpan& trouble, Micros from, Micros to) const {
    return trouble.from <= to && trouble.to + contact_ >= from;
  }

  const std::vector<TroubleSpan>& troubles_;
  Micros contact_;
  int edges_;
};

}  // namespace woadridge::lab::platform::soak
