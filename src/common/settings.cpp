#include "common/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace woadridge::common {
namespace {

Fault senseless(const std::string& key, const std::string& why) {
  return {Trouble::senseless, key + ": " + why};
}

// Gathers the first fault, so that the reader below stays a list of keys.
class Reader {
 public:
  explicit Reader(const toml::table& table) : table_(table) {}

  template <class T>
  void number(std::string_view key, T& to, double least, double most, bool needed = false) {
    const auto at = table_.at_path(key);
    if (!at) {
      if (needed) missing(key);
      return;
    }
    const auto value = at.value<double>();
    if (!value || !(*value >= least && *value <= most))
      return fault(senseless(std::string(key), "out of range"));
    to = static_cast<T>(*value);
  }

  void text(std::string_view key, std::string& to, bool needed = false) {
    const auto at = table_.at_path(key);
    if (!at) {
      if (needed) missing(key);
      return;
    }
    const auto value = at.value<std::string>();
    if (!value || (needed && value->empty())) return fault(senseless(std::string(key), "not a text"));
    to = *value;
  }

  void flag(std::string_view key, bool& to) { to = table_.at_path(key).value_or(to); }

  void texts(std::string_view key, std::vector<std::string>& to) {
    const auto* list = table_.at_path(key).as_array();
    if (list == nullptr) return;
    for (const auto& item : *list)
      if (const auto value = item.value<std::string>()) to.push_back(*value);
  }

  void place(std::string_view key, Endpoint& to) {
    std::string text_value;
    text(key, text_value);
    if (text_value.empty()) return;
    auto read = read_endpoint(text_value);
    if (!read) return fault(senseless(std::string(key), read.error().what));
    to = read.value();
  }

  void fault(Fault found) {
    if (first_.what.empty()) first_ = std::move(found);
  }
  const Fault& first() const { return first_; }

 private:
  void missing(std::string_view key) { fault({Trouble::missing, std::string(key) + ": is not there"}); }

  const toml::table& table_;
  Fault first_;
};

constexpr double kMost = 4e9;  // of whole numbers: 32 bits

void read_bounds(Reader& in, Settings& s) {
  in.number("bounds.seed-staleness-s", s.seed_staleness_s, 0, kMost);
  in.number("bounds.addr-reuse-s", s.addr_reuse_s, 0, kMost);
  in.number("bounds.contact-ms", s.contact_ms, 1, kMost);
  in.number("bounds.order-ack-ms", s.order_ack_ms, 1, kMost);
  in.number("bounds.sync-s", s.sync_s, 0, kMost);
  in.number("bounds.drain-ms", s.drain_ms, 0, kMost);
  in.number("bounds.grace-s", s.grace_s, 0, kMost);
  in.number("bounds.loss-slack-ms", s.loss_slack_ms, 0, kMost);
  in.number("bounds.apply-ms", s.apply_ms, 1, kMost);
  in.number("bounds.revert-slack-ms", s.revert_slack_ms, 0, kMost);
  in.number("bounds.stretch-ms", s.stretch_ms, 0, kMost);
  in.number("bounds.retry-ratio", s.retry_ratio, 0, 1000);
  in.number("bounds.retry-window-s", s.retry_window_s, 1, kMost);
  in.number("bounds.retry-slack", s.retry_slack, 0, kMost);
  in.number("bounds.recovery-s", s.recovery_s, 0, kMost);
  in.number("bounds.shed-slack", s.shed_slack, 0, kMost);
}

void read_ports(Reader& in, const toml::table& table, Settings& s) {
  const auto* ports = table["internal-ports"].as_array();
  const auto first = ports != nullptr && ports->size() == 2 ? (*ports)[0].value_or(0) : 0;
  const auto last = ports != nullptr && ports->size() == 2 ? (*ports)[1].value_or(0) : 0;
  constexpr int kUsed = 4;  // agents, peers, feed, core to core
  if (first <= 0 || last > 65535 || last - first + 1 < kUsed)
    return in.fault(senseless("internal-ports", "wants a first and a last port, four at least"));
  s.first_port = static_cast<std::uint16_t>(first);
  s.last_port = static_cast<std::uint16_t>(last);
}

}  // namespace

Result<Endpoint> read_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos)
    return Fault{Trouble::senseless, "'" + text + "' is no address with a port"};
  Endpoint place{text.substr(0, colon), 0};
  const char* end = text.data() + text.size();
  const auto [stop, bad] = std::from_chars(text.data() + colon + 1, end, place.port);
  boost::system::error_code no_ip;
  boost::asio::ip::make_address_v4(place.ip, no_ip);
  if (bad != std::errc() || stop != end || place.port == 0 || no_ip)
    return Fault{Trouble::senseless, "'" + text + "' is no address with a port"};
  return place;
}

std::uint32_t Settings::calls_per_s() const {
  // A call passes a home's link once from its peer and once from the instance, each way, in some 1.5 kB with
  // its heads; it takes some 0.3 ms of a core. A third of each is left to one function: the same machine has
  // clients of its own, and bursts come.
  constexpr double kShare = 1.0 / 3, kBytes = 1500, kSeconds = 0.3e-3;
  const double by_link = kShare * link_mbps * 1e6 / 8 / kBytes;
  const double by_core = kShare * cpu_fraction / kSeconds;
  return static_cast<std::uint32_t>(std::clamp(std::min(by_link, by_core), 1.0, 1e6));
}

Result<Settings> read_settings(const std::string& text) {
  toml::table table;
  try {
    table = toml::parse(text);
  } catch (const toml::parse_error& error) {
    return Fault{Trouble::unreadable, std::string(error.description())};
  }
  Settings s;
  Reader in(table);
  in.text("node-name", s.node_name, true);
  in.text("role", s.role);
  in.text("machine-class", s.machine_class);
  in.text("ip", s.ip, true);
  in.text("zone", s.zone, true);
  in.text("region", s.region);
  in.text("data-path", s.data_path);
  in.texts("serves", s.serves);
  read_ports(in, table, s);
  std::vector<std::string> seeds;
  in.texts("seed-nodes", seeds);
  for (const auto& seed : seeds) {
    auto read = read_endpoint(seed);
    if (read) s.seeds.push_back(read.value());
    else in.fault(senseless("seed-nodes", read.error().what));
  }
  in.flag("bootstrap", s.bootstrap);
  in.flag("quorum-member", s.quorum_member);
  in.number("heartbeat-ms", s.heartbeat_ms, 1, kMost);
  if (const auto* zones = table["zones"].as_table())
    for (const auto& [zone, region] : *zones)
      s.zones[std::string(zone.str())] = region.value_or(std::string());
  in.place("bind-addrs.front-http", s.front);
  in.place("bind-addrs.readiness", s.readiness);
  in.place("bind-addrs.control-plane", s.control);
  in.place("bind-addrs.feed", s.own_feed);
  in.number("limits.cpu-fraction", s.cpu_fraction, 0.001, 4096);
  in.number("limits.memory-mb", s.memory_mb, 1, kMost);
  in.number("limits.max-fds", s.max_fds, 16, kMost);
  in.number("limits.link-mbps", s.link_mbps, 0.001, 1e9);
  in.number("limits.disk-mb", s.disk_mb, 0, kMost);
  in.number("fault-budget.machine-losses", s.machine_losses, 0, kMost);
  in.number("fault-budget.zones", s.zone_losses, 0, kMost);
  in.number("fault-budget.region-losses", s.region_losses, 0, kMost);
  read_bounds(in, s);
  in.place("provider.address", s.provider);
  in.number("provider.rate-per-s", s.rate_per_s, 0.01, 1e9);
  in.number("provider.duty-per-s", s.duty_per_s, 0.01, 1e9);
  in.number("provider.max-lag-ms", s.max_lag_ms, 0, kMost);
  in.texts("provider.duties", s.duties);
  if (!in.first().what.empty()) return in.first();
  return s;
}

Result<Settings> load_settings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) return Fault{Trouble::unreadable, path + ": cannot be read"};
  auto read = read_settings(text.str());
  if (!read) return Fault{read.error().trouble, path + ": " + read.error().what};
  return read;
}

Result<Settings> load_settings_or(const std::string& path) {
  if (!path.empty()) return load_settings(path);
  const char* named = std::getenv("WOADRIDGE_CONFIG");
  if (named == nullptr || *named == '\0')
    return Fault{Trouble::missing, "WOADRIDGE_CONFIG names no settings file, and none is given"};
  return load_settings(named);
}

}  // namespace woadridge::common
