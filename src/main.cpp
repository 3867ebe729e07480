// The dispatcher: reads its configuration, sets up the log, and serves until it is told to end.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <variant>

#include "net/log.h"
#include "net/service.h"
#include "peer/group.h"
#include "peer/show.h"
#include "peer/store.h"

namespace {

using namespace woadridge;

int serve(const std::optional<group::Options>& options) {
  const char* path = std::getenv("EDGE_CONFIG");
  if (path == nullptr || *path == '\0') {
    std::cerr << "woadridge: EDGE_CONFIG does not name a configuration file\n";
    return 2;
  }
  auto config = net::load_config(path);
  if (const auto* fault = std::get_if<net::ConfigFault>(&config)) {
    std::cerr << "woadridge: " << fault->message << "\n";
    return 2;
  }
  net::CompanionCall companion;
  if (options) {
    if (!std::get<net::Config>(config).peers_allowed) {
      std::cerr << "woadridge: --group: " << path
                << " does not allow traffic between dispatchers (settings.limits.peers)\n";
      return 2;
    }
    companion = peer::companion_for(*options);
  }
  net::open_log();
  net::Service service(std::move(std::get<net::Config>(config)), path, std::move(companion));
  if (const std::string fault = service.open(); !fault.empty()) {
    std::cerr << "woadridge: cannot listen: " << fault << "\n";
    return 1;
  }
  service.run();
  return 0;
}

// Only where there are arguments: without any the program is the platform's.
int with_arguments(int count, char** words) {
  CLI::App app("A dispatcher beside a submitter of jobs. EDGE_CONFIG names its configuration.");
  std::string file, at;
  bool json = false;
  app.add_option("--group", file,
                 "the group's file: this dispatcher and others share duties (docs/operations/group.md)");
  peer::PlantCall plant(app);
  auto* group = app.add_subcommand("group", "what a running member knows of its group");
  group->add_option("--at", at, "the member's address for operators");
  group->add_flag("--json", json, "as the member tells it");
  auto* found = group->add_subcommand("found", "make a voter's folder for a group that is new");
  found->add_option("--group", file, "the group's file")->required();
  try {
    app.parse(count, words);
    plant.set();
    if (*group && !*found && at.empty()) throw CLI::RequiredError("--at");
    if (*group && !*found) return peer::show_group(at, json);
    std::optional<group::Options> options;
    if (!file.empty()) {
      auto read = group::load_options(file);
      if (const auto* fault = std::get_if<std::string>(&read)) {
        std::cerr << "woadridge: " << *fault << "\n";
        return 2;
      }
      options = std::get<group::Options>(std::move(read));
    }
    if (*found) return peer::found_group(*options);
    return serve(options);
  } catch (const CLI::ParseError& fault) {
    return app.exit(fault) == 0 ? 0 : 2;
  }
}

}  // namespace

int main(int count, char** words) {
  // A peer that is gone is an error code of the write, and a new configuration is no reason to end: until the
  // service has its own handler there is none to read again.
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
  return count > 1 ? with_arguments(count, words) : serve(std::nullopt);
}
