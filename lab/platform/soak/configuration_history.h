// Which versions of the configuration may have decided a request, from what the operator sent. No I/O and no
// clock.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/platform/soak/observations.h"

namespace woadridge::lab::platform::soak {

class ConfigurationHistory {
 public:
  explicit ConfigurationHistory(const std::vector<SentVersion>& versions) : versions_(versions) {}

  /// Whether the request's answer tells by which route it was handled.
  static bool tells_route(const Attempt& attempt);
  /// The version that had to be in force when a request was sent: acknowledged over `apply` before it.
  std::uint64_t in_force(Micros sent, Micros apply) const;
  /// Of the versions that were sent before the request ended, the lowest and the highest that allow its
  /// answer.
  std::optional<std::uint64_t> lowest_allowing(const Attempt& attempt) const;
  std::optional<std::uint64_t> highest_allowing(const Attempt& attempt) const;
  /// When the oldest version that doesn't allow the answer any more was acknowledged; kNever: none forbids
  /// it.
  Micros forbidden_since(const Attempt& attempt) const;
  /// Where the route led in any version, and in those that may decide a request at that time.
  std::set<std::string> services_ever(const std::string& route) const;
  std::set<std::string> services_at(const std::string& route, Micros at, Micros apply) const;

 private:
  static bool allows(const SentVersion& version, const Attempt& attempt);

  const std::vector<SentVersion>& versions_;
};

}  // namespace woadridge::lab::platform::soak
