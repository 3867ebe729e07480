// The configuration that a dispatcher is started with, and the entries of lists of workers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "net/json.h"
#include "settings.h"

namespace woadridge::net {

struct Address {  // IPv4 or IPv6 in numbers: there is no DNS
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

struct Member {     // one entry of a list: the module's view of a worker, and where the network finds it
  WorkerInfo info;  // the id is the worker's name
  std::optional<Address> address;
};

struct Members {
  std::int64_t version = 0;
  bool whole = false;  // the whole list, or only what changed
  std::vector<Member> entries;
  int unreadable = 0;  // entries left out
};

struct Config {
  std::string name;
  Address listen;
  Address discovery;
  int sockets = 0;             // the most descriptors that the process may hold
  std::int64_t memory_mb = 0;  // 0: not told
  Settings settings;
  NetworkSettings network;
  Members known;
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
