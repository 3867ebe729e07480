// The searches that CI runs, each whole within its bounds.
#pragma once

#include <vector>

#include "lab/platform/model/search.h"

namespace woadridge::lab::model {

struct Named {
  Situation situation;
  Bounds bounds;
};

Disks founded();  // disks of a group that holds no configuration yet
std::vector<Named> searches();

}  // namespace woadridge::lab::model
