// What staff ask of the group from the command line, and how the program is given one.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

#include "group/options.h"
#include "net/companion.h"

namespace woadridge::peer {

net::CompanionCall companion_for(const group::Options& options);
int show_group(const std::string& address, bool json);  // the status that the program ends with
int found_group(const group::Options& options);

// In test builds an option that switches a planted fault on; elsewhere there is no such option.
class PlantCall {
 public:
  explicit PlantCall(CLI::App& app);
  void set() const;

 private:
  std::string name_;
};

}  // namespace woadridge::peer
