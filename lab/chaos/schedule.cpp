#include "lab/chaos/schedule.h"

#include <algorithm>

#include "lab/chaos/read.h"
#include "lab/chaos/tools.h"
#include "lab/random.h"

namespace woadridge::lab {
namespace {

constexpr const char* kNames[kChaosKinds] = {
    "kill",        "lose-disk",    "old-disk",    "pause",       "terminate", "cut",
    "isolate",     "deaf",         "halves",      "flap",        "slow-link", "lossy-link",
    "repeat-link", "reorder-link", "break-frame", "silent-link", "slow-sync", "full-disk",
    "failed-sync", "all-down",     "thin-link",   "set-back"};

bool takes_voter(ChaosKind k) {  // a voter so struck gives no service meanwhile
  return k != ChaosKind::cut && k != ChaosKind::flap && k != ChaosKind::slow_link &&
         k != ChaosKind::lossy_link && k != ChaosKind::repeat_link && k != ChaosKind::reorder_link &&
         k != ChaosKind::break_frame && k != ChaosKind::thin_link;
}
bool takes_process(ChaosKind k) {
  return k == ChaosKind::kill || k == ChaosKind::lose_disk || k == ChaosKind::old_disk ||
         k == ChaosKind::set_back || k == ChaosKind::pause || k == ChaosKind::terminate ||
         k == ChaosKind::all_down;
}
bool of_voters(ChaosKind k) {
  return k == ChaosKind::lose_disk || k == ChaosKind::old_disk || k == ChaosKind::set_back ||
         k == ChaosKind::slow_sync || k == ChaosKind::full_disk || k == ChaosKind::failed_sync;
}
bool of_all(ChaosKind k) {
  return k == ChaosKind::halves || k == ChaosKind::all_down;
}

// A voter that begins anew has to be caught up and agreed on before it counts.
Micros rest_after(ChaosKind k) {
  return k == ChaosKind::lose_disk || k == ChaosKind::old_disk || k == ChaosKind::set_back ? 6'000'000
                                                                                           : 1'000'000;
}

std::string read_times(group::Options& o, const toml::table& t) {
  const std::pair<const char*, Micros*> spans[] = {{"probe_every_ms", &o.probe_every},
                                                   {"probe_timeout_ms", &o.probe_timeout},
                                                   {"election_ms", &o.election},
                                                   {"heartbeat_ms", &o.heartbeat},
                                                   {"lease_ms", &o.lease},
                                                   {"list_silence_ms", &o.list_silence},
                                                   {"list_spread_ms", &o.list_spread},
                                                   {"probe_workers_ms", &o.probe_workers}};
  for (const auto& [key, node] : t) {
    bool known = false;
    for (const auto& [name, value] : spans) {
      if (key.str() != name) continue;
      const auto told = node.value_exact<std::int64_t>();
      if (!told || *told < 0) return std::string("times.") + name + " is no whole number of milliseconds";
      *value = *told * 1000;
      known = true;
    }
    if (!known) return "times." + std::string(key.str()) + " is unknown";
  }
  return {};
}

std::string read_into(ChaosScenario& s, const toml::table& tree) {
  const std::pair<const char*, int*> counts[] = {{"members", &s.members},
                                                 {"voters", &s.voters},
                                                 {"zones", &s.zones},
                                                 {"workers", &s.workers},
                                                 {"most_down", &s.most_down}};
  const std::pair<const char*, Micros*> spans[] = {{"length_s", &s.length}, {"calm_s", &s.calm}};
  for (const auto& [key, node] : tree) {
    const std::string name(key.str());
    const auto whole = node.value_exact<std::int64_t>();
    bool known = false;
    for (const auto& [n, value] : counts)
      if (name == n) {
        if (!whole || *whole < 0 || *whole > 10'000) return name + " is out of range";
        *value = static_cast<int>(*whole), known = true;
      }
    for (const auto& [n, value] : spans)
      if (name == n) {
        if (!whole || *whole < 1 || *whole > 36'000) return name + " is out of range";
        *value = *whole * 1'000'000, known = true;
      }
    if (known) continue;
    if (name == "name") s.name = node.value_or(std::string());
    else if (name == "about") s.about = node.value_or(std::string());
    else if (name == "seed" && whole) s.seed = static_cast<std::uint64_t>(*whole);
    else if (name == "faults_per_s") s.faults_per_s = node.value_or(0.5);
    else if (name == "times" && node.is_table()) {
      if (auto fault = read_times(s.times, *node.as_table()); !fault.empty()) return fault;
    } else if (name == "faults" && node.is_table()) {
      const auto take = [&s](int kind, double weight) { s.weights[static_cast<ChaosKind>(kind)] = weight; };
      if (auto fault = read_weights(*node.as_table(), name, kNames, take); !fault.empty()) return fault;
    } else {
      return name + " is unknown or has the wrong type";
    }
  }
  if (s.voters != 3 && s.voters != 5 && s.voters != 7) return "voters is neither 3 nor 5 nor 7";
  if (s.members < s.voters) return "members is less than voters";
  if (s.zones < 1 || s.zones > s.members) return "zones is out of range";
  if (s.calm >= s.length) return "calm_s is not below length_s";
  return {};
}

}  // namespace

const char* name_of(ChaosKind kind) {
  return kNames[static_cast<int>(kind)];
}

std::variant<ChaosScenario, std::string> read_chaos(const std::string& text, const std::string& source) {
  return read_toml<ChaosScenario>(text, source, read_into);
}

std::variant<ChaosScenario, std::string> load_chaos(const std::string& path) {
  return load_toml(path, read_chaos);
}

group::Options options_of(const ChaosScenario& s, int member) {
  group::Options o = s.times;
  o.group = "chaos";
  o.name = "n" + std::to_string(member);
  // Voters are spread over the zones as all others are: one after the other.
  o.zone = "z" + std::to_string(member % s.zones);
  o.machine = "m" + std::to_string(member);
  if (s.seed % 3 == 0) o.snapshot_entries = 16;  // some runs cut the log all the time
  return o;
}

Micros gap_bound(const group::Options& t) {
  return static_cast<Micros>(static_cast<double>(t.lease) * (1 + 4 * t.drift)) * 2 + 6 * t.election +
         4 * t.heartbeat;
}

std::vector<ChaosFault> schedule_of(const ChaosScenario& s) {
  Stream chance(s.seed, "chaos schedule");
  std::vector<std::pair<ChaosKind, double>> kinds;
  for (int k = 0; k < kChaosKinds; ++k) {
    const auto kind = static_cast<ChaosKind>(k);
    const auto w = s.weights.find(kind);
    const double weight = s.weights.empty()      ? (kind == ChaosKind::set_back ? 0 : 1)
                          : w == s.weights.end() ? 0
                                                 : w->second;
    if (weight > 0) kinds.emplace_back(kind, weight);
  }
  std::vector<ChaosFault> all;
  const Micros last = s.length - s.calm;
  const auto draw = [&](Micros low, Micros high) {
    return low + static_cast<Micros>(chance.uniform() * static_cast<double>(high - low));
  };
  const auto count = static_cast<int>(s.faults_per_s * static_cast<double>(last) / 1e6);
  for (int i = 0; i < count && !kinds.empty(); ++i) {
    ChaosFault f;
    f.kind = weighted(kinds, chance.uniform());
    const int among = of_voters(f.kind) ? s.voters : s.members;
    f.a = static_cast<int>(draw(0, among));
    f.b = static_cast<int>(draw(0, s.members));
    if (f.b == f.a) f.b = (f.a + 1) % s.members;
    f.at = draw(s.length / 20, last);
    f.span = std::min(draw(200'000, 5'000'000), s.length - s.calm / 2 - f.at);
    if (f.kind == ChaosKind::all_down) f.span = std::min<Micros>(f.span, 1'000'000);
    if (of_all(f.kind)) f.a = f.b = 0;
    // One process is struck by one fault at a time, and no more voters at a time than the scenario allows.
    int down = 0;
    bool clash = false;
    for (const auto& other : all) {
      const bool meets = other.at < f.at + f.span + rest_after(f.kind) &&
                         f.at < other.at + other.span + rest_after(other.kind);
      if (!meets) continue;
      if (of_all(other.kind) || of_all(f.kind))
        clash = clash || (takes_process(other.kind) && takes_process(f.kind));
      if (!takes_voter(other.kind)) continue;
      clash = clash || (other.a == f.a && takes_voter(f.kind));
      down += other.a < s.voters ? 1 : 0;
    }
    if (clash) continue;
    if (takes_voter(f.kind) && !of_all(f.kind) && f.a < s.voters && down >= s.most_down) continue;
    all.push_back(f);
  }
  std::sort(all.begin(), all.end(), [](const auto& x, const auto& y) { return x.at < y.at; });
  return all;
}

}  // namespace woadridge::lab
