// The configuration that a dispatcher is started with, and the entries of lists of workers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "net/json.h"
#include "roster/roster.h"
#include "settings.h"

namespace woadridge::net {

using roster::Address;
using roster::Member;
using roster::Members;

// How long a process that has just begun waits for discovery's first answer before it acts on the list that
// it remembers. Jobs are held meanwhile, so a discovery that many ask at once must not hold all of them up
// for seconds; of 70 that began together the last was answered after 0.62 s (docs/incidents/fleet-zone.md).
constexpr Micros kFirstListWait = 1'500'000;

struct Config {
  std::string name;
  Address listen;
  Address discovery;
  std::optional<Address> ops;    // the operators' address; none: not opened
  std::optional<int> inherited;  // a descriptor that listens already, held by the platform
  std::string scratch;           // a folder that outlives the process
  bool peers_allowed = false;    // dispatchers may send one another something
  int sockets = 0;               // the most descriptors that the process may hold
  std::int64_t memory_mb = 0;    // 0: not told
  Settings settings;
  NetworkSettings network;
  Members known;
  Micros first_list_wait = kFirstListWait;  // 0: what is known counts at once
};

struct ConfigFault {
  std::string message;  // one plain line that names the file or the setting
};

std::optional<Address> parse_address(std::string_view text);
std::string to_text(const Address& address);
std::optional<Members> read_members(const Json& list);
std::variant<Config, ConfigFault> read_config(std::string_view text);
std::variant<Config, ConfigFault> load_config(const std::string& path);

}  // namespace woadridge::net
