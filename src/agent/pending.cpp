#include "agent/pending.h"

#include <algorithm>
#include <utility>

namespace woadridge::agent {
namespace {

void put(const std::string& id, std::deque<std::string>& to) {
  if (std::find(to.begin(), to.end(), id) != to.end()) return;
  if (to.size() >= Pending::kMostIds) to.pop_front();
  to.push_back(id);
}

// An id stands in one of the two, once, as it was told last.
void tell(const std::vector<std::string>& ids, std::deque<std::string>& to, std::deque<std::string>& other) {
  for (const auto& id : ids) {
    std::erase(other, id);
    put(id, to);
  }
}

}  // namespace

// The newest demand of a function replaces the one before: its counts are a rate over the time between two
// reports, and added up over an outage they would look like a burst.
void Pending::add(Millis now, const common::Report& report) {
  for (const auto& demand : report.demand) {
    const auto at =
        std::lower_bound(demand_.begin(), demand_.end(), demand.service,
                         [](const Aged& a, const std::string& name) { return a.demand.service < name; });
    if (at != demand_.end() && at->demand.service == demand.service) *at = {demand, now};
    else if (demand_.size() < kMostServices) demand_.insert(at, {demand, now});
  }
  tell(report.reached, reached_, lost_);
  tell(report.lost, lost_, reached_);
  for (const auto& id : report.released) put(id, released_);
}

common::Report Pending::take(Millis now) {
  common::Report report;
  for (auto& [demand, at] : demand_)
    if (now - at <= kOld) report.demand.push_back(std::move(demand));
  report.reached.assign(reached_.begin(), reached_.end());
  report.lost.assign(lost_.begin(), lost_.end());
  report.released.assign(released_.begin(), released_.end());
  clear();
  return report;
}

void Pending::clear() {
  demand_.clear();
  reached_.clear();
  lost_.clear();
  released_.clear();
}

}  // namespace woadridge::agent
