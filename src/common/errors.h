// Errors of the platform's lowest layer. Each layer above has its own and turns these into them.
#pragma once

#include <boost/outcome/result.hpp>
#include <string>

namespace woadridge::common {

enum class Trouble { unreadable, senseless, missing };  // of a settings file

struct Fault {
  Trouble trouble = Trouble::unreadable;
  std::string what;  // one line for a person
};

template <class T>
using Result = boost::outcome_v2::basic_result<T, Fault, boost::outcome_v2::policy::terminate>;

}  // namespace woadridge::common
