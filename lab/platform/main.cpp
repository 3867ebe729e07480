// woadridge-lab as it is built without the dispatcher: the platform's command alone.
#include <csignal>
#include <iostream>

#include "lab/platform/command.h"

namespace {

constexpr int kUsage = 2;  // the call or a file is at fault

std::atomic<bool> stop_asked = false;

void on_signal(int) {
  stop_asked = true;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGINT, on_signal);
  std::signal(SIGTERM, on_signal);
  CLI::App app("The platform with stand-ins for what is round it.");
  app.require_subcommand(1);
  woadridge::lab::platform::Command platform(app);
  try {
    app.parse(argc, argv);
    return platform.run(stop_asked);
  } catch (const CLI::ParseError& fault) {
    return app.exit(fault) == 0 ? 0 : kUsage;
  } catch (const std::exception& fault) {
    std::cerr << "woadridge-lab: " << fault.what() << "\n";
    return kUsage;
  }
}
