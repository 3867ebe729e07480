#include "net/config.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <sstream>

namespace woadridge::net {
namespace {

// Nested JSON as path -> value, in the form that the flat settings have.
class Flat {
 public:
  explicit Flat(const Json& tree) { add("", tree); }
  const Fields& values() const { return values_; }

 private:
  void put(std::string path, std::string value) {
    texts_.push_back(std::move(path));
    const std::string& name = texts_.back();
    texts_.push_back(std::move(value));
    values_.fields.emplace_back(name, texts_.back());
  }

  static std::string plain(const Json& value) {  // spaces and commas have a meaning in the flat form
    std::string text = value.kind == Json::Kind::null ? std::string() : value.decoded();
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c == ' ' || c == ','; }, '_');
    return text;
  }

  void add_list(const std::string& path, const Json& list) {
    const auto nested = [](const Json& item) {
      return item.kind == Json::Kind::object || item.kind == Json::Kind::list;
    };
    if (std::none_of(list.items.begin(), list.items.end(), nested)) {
      std::string joined;
      for (const auto& item : list.items) {
        if (!joined.empty()) joined += ',';
        joined += plain(item);
      }
      return put(path, joined);
    }
    put(path + ".count", std::to_string(list.items.size()));
    for (std::size_t i = 0; i < list.items.size(); ++i) add(path + "." + std::to_string(i), list.items[i]);
  }

  void add(const std::string& path, const Json& value) {
    if (value.kind == Json::Kind::list) return add_list(path, value);
    if (value.kind == Json::Kind::null) return;  // as absent
    if (value.kind != Json::Kind::object) return put(path, plain(value));
    for (const auto& [name, member] : value.members) {
      const std::string at = path.empty() ? std::string(name) : path + "." + std::string(name);
      if (&member != value.find(name)) throw Malformed("settings." + at + " is there twice");
      add(at, member);
    }
  }

  std::deque<std::string> texts_;  // never moved: the values are views into them
  Fields values_;
};

const Json& required(const Json& tree, std::string_view name, Json::Kind kind) {
  const Json* found = tree.find(name);
  if (found == nullptr) throw Malformed("missing " + std::string(name));
  if (found->kind != kind) throw Malformed(std::string(name) + " has the wrong type");
  return *found;
}

Address required_address(const Json& tree, std::string_view name) {
  const auto text = required(tree, name, Json::Kind::text).decoded();
  const auto address = parse_address(text);
  if (!address) throw Malformed(std::string(name) + " is not address:port: " + text);
  return *address;
}

std::uint64_t read_seed(const Json& tree) {
  const auto text = required(tree, "seed", Json::Kind::text).decoded();
  std::uint64_t seed = 0;
  const char* end = text.data() + text.size();
  const auto [stop, fault] = std::from_chars(text.data(), end, seed, 16);
  if (fault != std::errc() || stop != end || text.empty())
    throw Malformed("seed is not a hexadecimal number: " + text);
  return seed;
}

const char* word_for(Json::Kind kind) {
  if (kind == Json::Kind::number) return "number";
  if (kind == Json::Kind::text) return "text";
  return kind == Json::Kind::list ? "list" : "object";
}

void need(const Json& tree, const std::string& at, std::string_view path, Json::Kind kind) {
  const Json* found = &tree;
  for (const auto name : split(path, '.'))
    if (found != nullptr) found = found->find(name);
  const std::string setting = at + std::string(path);
  if (found == nullptr || found->kind == Json::Kind::null) throw Malformed("missing " + setting);
  if (found->kind != kind) throw Malformed(setting + " is no " + word_for(kind));
}

// Guards against a file that was cut short or lost a line: defaults for what the rules rest on would change
// what may be sent twice, and what a cold worker is sent.
void check_present(const Json& settings) {
  using Kind = Json::Kind;
  for (const auto* path : {"tick", "fleet-size", "limits.dial-timeout", "limits.max-attempts",
                           "obligations.drain-grace", "obligations.cold-from", "obligations.warm-after",
                           "obligations.overload-factor", "obligations.overload-for"})
    need(settings, "settings.", path, Kind::number);
  need(settings, "settings.", "grades", Kind::list);
  const auto& classes = settings.find("grades")->items;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const std::string at = "settings.grades." + std::to_string(i) + ".";
    for (const auto* path : {"name", "effect"}) need(classes[i], at, path, Kind::text);
    for (const auto* path : {"target", "hard-limit"}) need(classes[i], at, path, Kind::number);
    if (classes[i].find("effect")->raw != "by_key") continue;
    need(classes[i], at, "key-scope", Kind::text);
    need(classes[i], at, "memory-span", Kind::number);
  }
}

// Settings name a list of objects; one that is empty has no count, and none at all could serve nothing.
void check_settings(const Settings& settings) {
  if (settings.classes.empty()) throw Malformed("settings.grades names no class");
  if (settings.connect_timeout <= 0) throw Malformed("settings.limits.dial-timeout is out of range");
  if (settings.tick <= 0) throw Malformed("settings.tick is out of range");
  const auto within = [](double value, double least, double most, const std::string& name) {
    if (!(value >= least && value <= most)) throw Malformed("settings." + name + " is out of range");
  };
  constexpr double kMost = 1e15;  // microseconds or units: beyond is a slip, and sums of them stay whole
  within(settings.fleet_size, 1, 1e6, "fleet-size");
  within(settings.max_attempts, 1, 1e6, "limits.max-attempts");
  within(settings.cold_from, 0, 1, "obligations.cold-from");
  within(settings.over_share_worth, 0, 1, "over-share-worth");
  within(static_cast<double>(settings.warm_after), 0, kMost, "obligations.warm-after");
  within(settings.overload_factor, 0, kMost, "obligations.overload-factor");
  within(static_cast<double>(settings.overload_span), 0, kMost, "obligations.overload-for");
  within(static_cast<double>(settings.drain_grace), 0, kMost, "obligations.drain-grace");
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const auto& c = settings.classes[i];
    const std::string at = "grades." + std::to_string(i) + ".";
    within(static_cast<double>(c.deadline), 1, kMost, at + "hard-limit");
    within(static_cast<double>(c.aim), 0, kMost, at + "target");
    within(static_cast<double>(c.memory), 0, kMost, at + "memory-span");
    within(c.late_worth, 0, 1, at + "late-worth");
    within(c.stretch, 0, 1e6, at + "aim-stretch");
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i)
    within(settings.tenants[i].quota_per_s, 0, kMost, "accounts." + std::to_string(i) + ".quota-per-s");
}

int own_descriptor_limit() {  // the smaller one of what the configuration says and the system grants
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return 1024;
  return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, 1 << 20));
}

std::optional<std::int64_t> read_limit(const Json& tree, std::string_view name) {
  const Json* limits = tree.find("limits");
  const Json* limit = limits == nullptr ? nullptr : limits->find(name);
  if (limit == nullptr) return std::nullopt;
  const auto told = limit->whole();
  if (!told || *told <= 0) throw Malformed("limits." + std::string(name) + " is not a whole number above 0");
  return told;
}

Config config_from(const Json& tree) {
  Config config;
  config.name = required(tree, "name", Json::Kind::text).decoded();
  config.listen = required_address(tree, "listen");
  config.discovery = required_address(tree, "discovery");
  if (const Json* ops = tree.find("ops"); ops != nullptr && ops->kind != Json::Kind::null)
    config.ops = required_address(tree, "ops");
  const int own = own_descriptor_limit();
  config.sockets = static_cast<int>(std::min<std::int64_t>(read_limit(tree, "sockets").value_or(own), own));
  config.memory_mb = read_limit(tree, "memory_mb").value_or(0);
  const Json& settings = required(tree, "settings", Json::Kind::object);
  required(tree, "limits", Json::Kind::object);
  check_present(settings);
  const Flat flat(settings);
  try {
    config.settings = read_settings(flat.values());
    config.network = read_network_settings(flat.values());
  } catch (const Malformed& fault) {
    throw Malformed(std::string("in settings: ") + fault.what());
  }
  check_settings(config.settings);
  config.peers_allowed = std::exchange(config.settings.may_tell, false);  // the module has no channel
  config.settings.seed = read_seed(tree);
  if (const Json* known = tree.find("known"); known != nullptr && known->kind != Json::Kind::null) {
    auto members = read_members(*known);
    if (!members) throw Malformed("known is not a list of workers");
    config.known = std::move(*members);
  }
  return config;
}

std::string environment(const char* name) {  // empty: not told
  const char* value = std::getenv(name);
  return value == nullptr ? std::string() : value;
}

// The operators' address is told in both places: a process that starts beside another has its own there.
// Before the file's, which may be the other's.
void read_environment(Config& config) {
  if (const auto ops = environment("EDGE_OPS"); !ops.empty()) {
    config.ops = parse_address(ops);
    if (!config.ops) throw Malformed("EDGE_OPS is not address:port: " + ops);
  }
  if (const auto text = environment("EDGE_INHERITED_FD"); !text.empty()) {
    int descriptor = -1;
    const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), descriptor);
    if (fault != std::errc() || stop != text.data() + text.size() || descriptor < 0)
      throw Malformed("EDGE_INHERITED_FD is not a descriptor: " + text);
    config.inherited = descriptor;
  }
  const auto folder = environment("TMPDIR");
  config.scratch = folder.empty() ? "/tmp" : folder;
}

std::optional<Phase> phase_of(std::string_view word) {
  if (word == "ready") return Phase::serving;
  if (word == "draining") return Phase::draining;
  if (word == "gone") return Phase::gone;
  return std::nullopt;
}

std::string text_of(const Json& entry, std::string_view name) {
  const Json* found = entry.find(name);
  return found == nullptr || !found->is_text() ? std::string() : found->decoded();
}

std::optional<Member> read_member(const Json& entry) {
  Member m;
  m.info.id = text_of(entry, "name");
  const auto phase = phase_of(text_of(entry, "status"));
  if (m.info.id.empty() || !phase) return std::nullopt;
  m.info.phase = *phase;
  m.address = parse_address(text_of(entry, "address"));
  if (!m.address && m.info.phase == Phase::serving) return std::nullopt;
  m.info.kind = text_of(entry, "type");
  m.info.zone = text_of(entry, "zone");
  if (const Json* group = entry.find("group")) m.info.group = group->whole().value_or(0);
  if (const Json* weight = entry.find("weight")) m.info.size = weight->number().value_or(1);
  constexpr std::int64_t kLatest = INT64_MAX / 1000;  // guards the product below
  const Json* since = entry.find("since_ms");
  const auto since_ms = since == nullptr ? std::int64_t{0} : since->whole().value_or(0);
  m.info.started = 1000 * std::clamp<std::int64_t>(since_ms, 0, kLatest);
  return m;
}

}  // namespace

std::optional<Address> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  auto host = text.substr(0, colon);
  const auto digits = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  Address address{std::string(host), 0};
  boost::system::error_code fault;
  boost::asio::ip::make_address(address.host, fault);
  const char* end = digits.data() + digits.size();
  const auto [stop, bad] = std::from_chars(digits.data(), end, address.port);
  if (fault || bad != std::errc() || stop != end || address.port == 0) return std::nullopt;
  return address;
}

std::string to_text(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

std::optional<Members> read_members(const Json& list) {
  const Json* version = list.find("index");
  const Json* snapshot = list.find("snapshot");
  const Json* endpoints = list.find("endpoints");
  if (version == nullptr || !version->whole()) return std::nullopt;
  if (endpoints == nullptr || endpoints->kind != Json::Kind::list) return std::nullopt;
  Members members;
  members.version = *version->whole();
  members.whole = snapshot != nullptr && snapshot->raw == "true";
  for (const auto& entry : endpoints->items) {
    if (auto member = read_member(entry)) members.entries.push_back(std::move(*member));
    else ++members.unreadable;
  }
  return members;
}

std::variant<Config, ConfigFault> read_config(std::string_view text) {
  const auto tree = parse_json(text);
  if (!tree || tree->kind != Json::Kind::object) return ConfigFault{"not a JSON object"};
  try {
    return config_from(*tree);
  } catch (const Malformed& fault) {
    return ConfigFault{fault.what()};
  }
}

std::variant<Config, ConfigFault> load_config(const std::string& path) {
  const std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file.is_open() || !text) return ConfigFault{path + ": cannot be read"};
  auto read = read_config(text.str());
  try {
    if (auto* config = std::get_if<Config>(&read); config != nullptr) read_environment(*config);
  } catch (const Malformed& fault) {
    return ConfigFault{fault.what()};
  }
  if (auto* fault = std::get_if<ConfigFault>(&read)) fault->message = path + ": " + fault->message;
  return read;
}

}  // namespace woadridge::net
