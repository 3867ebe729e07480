// The dispatcher: reads its configuration, sets up the log, and serves until it is told to end.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <variant>

#include "net/log.h"
#include "net/service.h"

int main() {
  // A peer that is gone is an error code of the write, and a new configuration is no reason to end: until the
  // service has its own handler there is none to read again.
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
  const char* path = std::getenv("EDGE_CONFIG");
  if (path == nullptr || *path == '\0') {
    std::cerr << "woadridge: EDGE_CONFIG does not name a configuration file\n";
    return 2;
  }
  auto config = woadridge::net::load_config(path);
  if (const auto* fault = std::get_if<woadridge::net::ConfigFault>(&config)) {
    std::cerr << "woadridge: " << fault->message << "\n";
    return 2;
  }
  woadridge::net::open_log();
  woadridge::net::Service service(std::move(std::get<woadridge::net::Config>(config)), path);
  if (const std::string fault = service.open(); !fault.empty()) {
    std::cerr << "woadridge: cannot listen: " << fault << "\n";
    return 1;
  }
  service.run();
  return 0;
}
