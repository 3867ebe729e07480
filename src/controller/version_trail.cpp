#include "controller/version_trail.h"

namespace woadridge::controller {

void VersionTrail::note(Micros now, Versions present) {
  entries_.push_back({now, present});
  while (entries_.size() > 1 && entries_[1].at <= now - kLate) entries_.pop_front();
}

bool VersionTrail::is_behind(Micros now, const Versions& held) const {
  if (entries_.empty() || entries_.front().at > now - kLate) return false;
  const Versions& then = entries_.front().versions;
  if (held.plan < then.plan) return true;
  return held.term < then.term || (held.term == then.term && held.board < then.board);
}

}  // namespace woadridge::controller
