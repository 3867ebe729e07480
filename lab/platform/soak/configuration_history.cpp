#include "lab/platform/soak/configuration_history.h"

#include <algorithm>

namespace woadridge::lab::platform::soak {

bool ConfigurationHistory::tells_route(const Attempt& attempt) {
  return attempt.status == 404 || !attempt.ran_service.empty();
}

bool ConfigurationHistory::allows(const SentVersion& version, const Attempt& attempt) {
  const auto leads = version.service_of_route.find(attempt.route);
  if (attempt.status == 404) return leads == version.service_of_route.end();
  return leads != version.service_of_route.end() && leads->second == attempt.ran_service;
}

std::uint64_t ConfigurationHistory::in_force(Micros sent, Micros apply) const {
  std::uint64_t newest = 0;
  for (const auto& version : versions_)
    if (version.valid && version.acknowledged != kNever && version.acknowledged + apply < sent)
      newest = std::max(newest, version.version);
  return newest;
}

std::optional<std::uint64_t> ConfigurationHistory::lowest_allowing(const Attempt& attempt) const {
  std::optional<std::uint64_t> lowest;
  for (const auto& version : versions_)
    if (version.valid && version.sent <= attempt.ended && allows(version, attempt))
      lowest = std::min(lowest.value_or(version.version), version.version);
  return lowest;
}

std::optional<std::uint64_t> ConfigurationHistory::highest_allowing(const Attempt& attempt) const {
  std::optional<std::uint64_t> highest;
  for (const auto& version : versions_)
    if (version.valid && version.sent <= attempt.ended && allows(version, attempt))
      highest = std::max(highest.value_or(0), version.version);
  return highest;
}

Micros ConfigurationHistory::forbidden_since(const Attempt& attempt) const {
  const std::uint64_t allowing = highest_allowing(attempt).value_or(0);
  Micros since = kNever;
  for (const auto& version : versions_)
    if (version.valid && version.version > allowing && version.acknowledged < attempt.sent)
      since = std::min(since, version.acknowledged);
  return since;
}

std::set<std::string> ConfigurationHistory::services_ever(const std::string& route) const {
  std::set<std::string> services;
  for (const auto& version : versions_)
    if (const auto leads = version.service_of_route.find(route); leads != version.service_of_route.end())
      services.insert(leads->second);
  return services;
}

std::set<std::string> ConfigurationHistory::services_at(const std::string& route, Micros at,
                                                        Micros apply) const {
  const std::uint64_t oldest = in_force(at, apply);
  std::set<std::string> services;
  for (const auto& version : versions_) {
    if (!version.valid || version.version < oldest || version.sent > at) continue;
    if (const auto leads = version.service_of_route.find(route); leads != version.service_of_route.end())
      services.insert(leads->second);
  }
  return services;
}

}  // namespace woadridge::lab::platform::soak
