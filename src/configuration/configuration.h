// The operator's configuration: read with jansson, checked as a whole, turned into a plan.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/messages.h"

namespace woadridge::configuration {

struct Reading {
  common::Plan plan;  // whole only where there are no faults
  std::vector<std::string>
      faults;  // each with its place and a plain reason: all of them, not the first alone
  std::vector<std::string> left_out;  // of a stored one: routes whose host and path-prefix an earlier one has
  bool good() const { return faults.empty(); }
};

Reading read(std::string_view json);
/// One that was taken before and is kept on disk, by an earlier release perhaps: of two routes that share
/// host and path-prefix the first one holds, and that is no fault.
Reading read_stored(std::string_view json);

}  // namespace woadridge::configuration
