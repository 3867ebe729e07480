#include "group/options.h"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>

namespace woadridge::group {
namespace {

struct Fault : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One table of the file. Whoever reads it names what there may be: guards against a setting that is misspelt
// and silently left at its default.
class Table {
 public:
  Table(const toml::table& table, std::string name) : table_(table), name_(std::move(name)) {}

  std::string text(const char* key, bool needed = false) {
    const auto* node = look(key, needed);
    if (node == nullptr) return {};
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) throw Fault(name_ + key + " is no text");
    return *value;
  }
  void span(const char* key, Micros& value, Micros least, Micros most) {  // the file counts in milliseconds
    const auto* node = look(key, false);
    if (node == nullptr) return;
    const auto told = node->value_exact<std::int64_t>();
    if (!told) throw Fault(name_ + key + " is no whole number of milliseconds");
    if (*told < least / 1000 || *told > most / 1000) throw Fault(name_ + key + " is out of range");
    value = *told * 1000;
  }
  void count(const char* key, int& value, int least, int most) {
    const auto* node = look(key, false);
    if (node == nullptr) return;
    const auto told = node->value_exact<std::int64_t>();
    if (!told) throw Fault(name_ + key + " is no whole number");
    if (*told < least || *told > most) throw Fault(name_ + key + " is out of range");
    value = static_cast<int>(*told);
  }
  void share(const char* key, double& value, double least, double most) {
    const auto* node = look(key, false);
    if (node == nullptr) return;
    const auto told = node->value<double>();
    if (!told) throw Fault(name_ + key + " is no number");
    if (!(*told >= least && *told <= most)) throw Fault(name_ + key + " is out of range");
    value = *told;
  }
  void flag(const char* key, bool& value) {
    const auto* node = look(key, false);
    if (node == nullptr) return;
    const auto told = node->value_exact<bool>();
    if (!told) throw Fault(name_ + key + " is neither true nor false");
    value = *told;
  }
  const toml::node* look(const char* key, bool needed) {
    known_.insert(key);
    const auto* node = table_.get(key);
    if (node == nullptr && needed) throw Fault(name_ + key + " is missing");
    return node;
  }
  void end() const {
    for (const auto& [key, node] : table_)
      if (!known_.contains(std::string(key.str())))
        throw Fault(name_ + std::string(key.str()) + " is unknown");
  }

 private:
  const toml::table& table_;
  std::string name_;
  std::set<std::string, std::less<>> known_;
};

void check_address(const std::string& text, const std::string& name) {
  const auto colon = text.rfind(':');
  const bool good = colon != std::string::npos && colon > 0 && colon + 1 < text.size() &&
                    std::all_of(text.begin() + static_cast<std::ptrdiff_t>(colon) + 1, text.end(),
                                [](char c) { return c >= '0' && c <= '9'; });
  if (!good) throw Fault(name + " is not address:port: " + text);
}

void read_voters(Options& o, const toml::node* node) {
  const auto* list = node->as_array();
  if (list == nullptr) throw Fault("voters is no list");
  for (const auto& item : *list) {
    if (!item.is_table()) throw Fault("voters holds what is no table");
    Table table(*item.as_table(), "voters.");
    o.voters.push_back({table.text("name", true), table.text("address", true)});
    check_address(o.voters.back().address, "voters.address");
    table.end();
  }
}

void check(const Options& o) {
  std::set<std::string> names, addresses;
  for (const auto& v : o.voters) {
    if (!names.insert(v.name).second) throw Fault("voters names " + v.name + " twice");
    if (!addresses.insert(v.address).second) throw Fault("voters has the address " + v.address + " twice");
  }
  if (o.voters.size() != 3 && o.voters.size() != 5 && o.voters.size() != 7)
    throw Fault("voters has to name 3, 5 or 7 members");
  if (o.votes() && o.folder.empty()) throw Fault("folder is missing: a voter keeps what it may not forget");
  for (const auto& v : o.voters)
    if (v.name == o.name && v.address != o.address)
      throw Fault("address differs from what voters says of " + o.name);
  if (o.heartbeat * 3 > o.election) throw Fault("times.election_ms is less than three heartbeats");
  if (o.lease < 2 * o.election) throw Fault("times.lease_ms is less than two elections");
  if (o.probe_timeout >= o.probe_every)
    throw Fault("times.probe_timeout_ms is not below times.probe_every_ms");
}

Options options_from(const toml::table& tree) {
  Options o;
  Table top(tree, "");
  if (const auto name = top.text("group"); !name.empty()) o.group = name;
  o.name = top.text("name", true);
  o.zone = top.text("zone", true);
  o.machine = top.text("machine", true);
  o.listen = top.text("listen", true);
  check_address(o.listen, "listen");
  o.address = top.text("address");
  if (o.address.empty()) o.address = o.listen;
  check_address(o.address, "address");
  o.folder = top.text("folder");
  if (const auto* seeds = top.look("seeds", false)) {
    if (!seeds->is_array()) throw Fault("seeds is no list");
    for (const auto& seed : *seeds->as_array()) {
      const auto text = seed.value_exact<std::string>();
      if (!text) throw Fault("seeds holds what is no text");
      check_address(*text, "seeds");
      o.seeds.push_back(*text);
    }
  }
  read_voters(o, top.look("voters", true));
  if (const auto* times = top.look("times", false)) {
    if (!times->is_table()) throw Fault("times is no table");
    Table t(*times->as_table(), "times.");
    t.span("probe_every_ms", o.probe_every, 20'000, 60'000'000);
    t.span("probe_timeout_ms", o.probe_timeout, 5'000, 30'000'000);
    t.span("election_ms", o.election, 50'000, 60'000'000);
    t.span("heartbeat_ms", o.heartbeat, 10'000, 10'000'000);
    t.span("lease_ms", o.lease, 200'000, 600'000'000);
    t.share("drift", o.drift, 0, 0.1);
    t.end();
  }
  if (const auto* log = top.look("log", false)) {
    if (!log->is_table()) throw Fault("log is no table");
    Table t(*log->as_table(), "log.");
    t.count("snapshot_entries", o.snapshot_entries, 16, 1'000'000);
    t.end();
  }
  if (const auto* list = top.look("list", false)) {
    if (!list->is_table()) throw Fault("list is no table");
    Table t(*list->as_table(), "list.");
    t.flag("share", o.share_list);
    t.span("silence_ms", o.list_silence, 100'000, 60'000'000);
    t.span("spread_ms", o.list_spread, 0, 60'000'000);
    t.end();
  }
  if (const auto* probes = top.look("probes", false)) {
    if (!probes->is_table()) throw Fault("probes is no table");
    Table t(*probes->as_table(), "probes.");
    t.span("every_ms", o.probe_workers, 0, 600'000'000);
    t.end();
  }
  top.end();
  check(o);
  return o;
}

}  // namespace

bool Options::votes() const {
  return std::any_of(voters.begin(), voters.end(), [this](const auto& v) { return v.name == name; });
}

std::variant<Options, std::string> read_options(std::string_view text, const std::string& source) {
  try {
    return options_from(toml::parse(text, source));
  } catch (const Fault& fault) {
    return source + ": " + fault.what();
  } catch (const toml::parse_error& fault) {
    return source + ":" + std::to_string(fault.source().begin.line) + ": " + std::string(fault.description());
  }
}

std::variant<Options, std::string> load_options(const std::string& path) {
  const std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file.is_open() || !text) return path + ": cannot be read";
  return read_options(text.str(), path);
}

}  // namespace woadridge::group
