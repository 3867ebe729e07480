// Pages that a person reads: drawn as SVG from the JSON reports alone, in one file with nothing from
// elsewhere.
#pragma once

#include <string>

#include "lab/figures.h"

namespace woadridge::lab {

std::string report_page(const Json& report);
std::string sweep_page(const Json& sweep);

}  // namespace woadridge::lab
