#include "proxy/home_history.h"

#include <utility>

namespace woadridge::proxy {

const char* word(HomeReason reason) {
  switch (reason) {
    case HomeReason::named:
      return "named";
    case HomeReason::drawn:
      return "drawn";
    case HomeReason::unreachable:
      break;
  }
  return "unreachable";
}

bool HomeHistory::see(Micros now, const std::string& instance, const std::string& home,
                      const std::string& waits_for) {
  auto& entry = entries_[instance];
  if (entry.home == home) {
    if (entry.waits_for == waits_for) return false;
    if (!entry.waits_for.empty()) entry.before = entry.waits_for;
    entry.waits_for = waits_for;
    return true;
  }
  if (home == own_) ++changes_.gained;
  else if (entry.home == own_) ++changes_.lost;
  entry = {home, std::move(entry.home), waits_for, HomeReason::drawn, now, 0};
  return true;
}

const HomeEntry* HomeHistory::find(const std::string& instance) const {
  const auto found = entries_.find(instance);
  return found == entries_.end() ? nullptr : &found->second;
}

HomeChanges HomeHistory::take_changes() {
  return std::exchange(changes_, {});
}

}  // namespace woadridge::proxy
