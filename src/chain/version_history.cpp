#include "chain/version_history.h"

#include <algorithm>

namespace woadridge::chain {

VersionHistory VersionHistory::unknown_below(std::uint64_t version) {
  VersionHistory history;
  history.known_from_ = version;
  return history;
}

void VersionHistory::add(const Mark& replaced) {
  if (replaced.version == 0) return;  // there was no value
  if (!marks_.empty() && replaced.version <= marks_.back().version) return;
  marks_.push_back(replaced);
  if (marks_.size() <= kMost) return;
  known_from_ = marks_.front().version + 1;
  marks_.erase(marks_.begin());
}

Outcome VersionHistory::judge(const Mark& order, const Mark& in_force) const {
  if (planted(Planted::digest_ignored)) return Outcome::applied;
  if (order.version == in_force.version)
    return order.digest == in_force.digest ? Outcome::applied : Outcome::conflict;
  const auto at =
      std::lower_bound(marks_.begin(), marks_.end(), order.version,
                       [](const Mark& mark, std::uint64_t version) { return mark.version < version; });
  if (at != marks_.end() && at->version == order.version)
    return at->digest == order.digest ? Outcome::superseded : Outcome::conflict;
  return order.version < known_from_ ? Outcome::forgotten : Outcome::stale;
}

}  // namespace woadridge::chain
