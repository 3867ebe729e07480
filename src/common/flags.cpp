#include "common/flags.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <iostream>
#include <string>

namespace woadridge::common {

bool parse_flags(const char* usage, const char* folder, int count, char** words) {
  absl::SetProgramUsageMessage(usage);
  absl::FlagsUsageConfig config;
  config.contains_help_flags = [where = std::string(folder)](auto file) {
    return std::string(file).find(where) != std::string::npos;
  };
  absl::SetFlagsUsageConfig(config);
  const auto rest = absl::ParseCommandLine(count, words);
  if (rest.size() > 1) std::cerr << words[0] << ": what is '" << rest[1] << "'? --help lists the flags\n";
  return rest.size() <= 1;
}

}  // namespace woadridge::common
