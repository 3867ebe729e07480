// Numbers that are cut to what a type can hold, instead of wrapping round or being undefined.
#pragma once

#include <limits>
#include <type_traits>

namespace woadridge::common {

/// `number` rounded towards zero, or the nearest value that `To` can hold; 0 for what is no number.
template <class To>
constexpr To saturated(double number) {
  static_assert(std::is_integral_v<To>);
  constexpr To kLeast = std::numeric_limits<To>::min(), kMost = std::numeric_limits<To>::max();
  if (number != number) return 0;
  if (number <= static_cast<double>(kLeast)) return kLeast;
  if (number >= static_cast<double>(kMost)) return kMost;
  return static_cast<To>(number);
}

}  // namespace woadridge::common
