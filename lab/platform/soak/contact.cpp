#include "lab/platform/soak/contact.h"

#include <algorithm>

namespace woadridge::lab::platform::soak {

bool Contact::calm(Micros from, Micros to, Place place, int number) const {
  return std::none_of(troubles_.begin(), troubles_.end(), [&](const TroubleSpan& trouble) {
    const bool concerns = trouble.place == place && (place != Place::edge || trouble.number == number);
    return concerns && touches(trouble, from, to);
  });
}

bool Contact::edge(int number, Micros from, Micros to) const {
  return calm(from, to, Place::core, 0) && calm(from, to, Place::edge, number);
}

bool Contact::instances(Micros from, Micros to) const {
  return calm(from, to, Place::instances, 0);
}

Micros Contact::provider_down(Micros from, Micros to) const {
  Micros down = 0;
  for (const auto& trouble : troubles_)
    if (trouble.place == Place::provider)
      down += std::max<Micros>(0, std::min(to, trouble.to) - std::max(from, trouble.from));
  return down;
}

bool Contact::all_edges(Micros from, Micros to) const {
  for (int number = 0; number < edges_; ++number)
    if (!edge(number, from, to)) return false;
  return true;
}

bool Contact::only_planned(Micros from, Micros to) const {
  return std::none_of(troubles_.begin(), troubles_.end(), [&](const TroubleSpan& trouble) {
    return !trouble.planned && touches(trouble, from, to);
  });
}

}  // namespace woadridge::lab::platform::soak
