// The command line of the platform's programs: flags alone, --help lists them.
#pragma once

namespace woadridge::common {

// False: told in a line what is wrong with it. `folder`: whose flags --help shows, as "src/proxy/".
bool parse_flags(const char* usage, const char* folder, int count, char** words);

}  // namespace woadridge::common
