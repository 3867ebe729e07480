#include "lab/platform/sim/schedule.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "lab/chaos/read.h"
#include "lab/chaos/tools.h"
#include "lab/platform/sim/dice.h"

namespace woadridge::lab::sim {
namespace {

constexpr std::size_t kMostMembers = 25;
constexpr int kFirstTrouble = static_cast<int>(Kind::kill);
constexpr const char* kNames[kKinds] = {
    "put",  "read",     "resend", "kill",           "power",        "wipe",           "freeze",   "pause",
    "cut",  "half_cut", "split",  "slow_disk",      "stalled_disk", "full_disk",      "bad_disk", "end",
    "herd", "seeds",    "drift",  "wipe_after_ack", "replace",      "planned_replace"};
constexpr double kUsual[kKinds] = {0, 0, 0, 3, 3, 3, 3, 2, 3, 2, 1, 2, 1, 1, 2, 2, 1, 1, 1, 1, 2, 1};

std::uint32_t some(Dice& dice, std::size_t members) {
  return static_cast<std::uint32_t>(dice()) & ((1U << members) - 1);
}

Entry trouble(Kind kind, Dice& dice, std::size_t members) {
  Entry e;
  e.kind = kind;
  e.a = dice.below(members);
  e.number = dice();
  e.span = 100'000 + dice.below<Micros>(2'500'000);
  const std::uint32_t all = (1U << members) - 1;
  switch (kind) {
    case Kind::freeze:
      e.span = 50'000 + dice.below<Micros>(4'000'000);
      break;
    case Kind::pause:
      e.span = 10'000 + dice.below<Micros>(300'000);
      break;
    case Kind::cut:
    case Kind::half_cut:
      e.span = 300'000 + dice.below<Micros>(5'000'000);
      e.others = dice.chance(0.5) ? all : some(dice, members);
      break;
    case Kind::split:
      e.span = 500'000 + dice.below<Micros>(6'000'000);
      e.others = some(dice, members);
      break;
    case Kind::herd:
      e.span = 950'000;
      break;
    case Kind::wipe_after_ack:
      e.others = some(dice, members) | (1U << e.a);
      break;
    case Kind::replace:
    case Kind::planned_replace:
      e.span = 200'000 + dice.below<Micros>(4'000'000);
      break;
    case Kind::drift:
    case Kind::seeds:
      e.span = 0;
      break;
    default:
      break;
  }
  return e;
}

struct Number {  // a key that holds one
  const char* name;
  double least, most;
  std::function<void(double)> take;
};

std::string read_numbers(const toml::table& table, const std::string& of,
                         const std::vector<Number>& numbers) {
  for (const auto& [key, node] : table) {
    const auto found =
        std::find_if(numbers.begin(), numbers.end(), [&k = key](const auto& n) { return k.str() == n.name; });
    const std::string name = of + std::string(key.str());
    if (found == numbers.end()) return name + " is unknown";
    const auto value = node.value<double>();
    if (!value || node.is_boolean()) return name + " is no number";
    if (!(*value >= found->least && *value <= found->most)) return name + " is out of range";
    found->take(*value);
  }
  return {};
}

Number span(const char* name, Micros& into, double unit, double least, double most) {
  return {name, least, most, [&into, unit](double v) { into = static_cast<Micros>(v * unit); }};
}
template <class Count>
Number count(const char* name, Count& into, double least, double most) {
  return {name, least, most, [&into](double v) { into = static_cast<Count>(v); }};
}

std::string read_members(Scenario& s, const toml::node& node) {
  s.members.clear();
  const auto take = [&s](const toml::node& n) {
    const auto value = n.value_exact<std::int64_t>();
    const bool good = value && *value >= 1 && *value <= static_cast<std::int64_t>(kMostMembers);
    if (good) s.members.push_back(static_cast<std::size_t>(*value));
    return good;
  };
  const auto* many = node.as_array();
  const bool good = many == nullptr ? take(node)
                                    : !many->empty() && std::all_of(many->begin(), many->end(),
                                                                    [&](const auto& n) { return take(n); });
  return good ? ""
              : "members is neither a number of 1 to " + std::to_string(kMostMembers) + " nor a list of some";
}

std::string read_into(Scenario& s, const toml::table& tree) {
  toml::table numbers;
  for (const auto& [key, node] : tree) {
    const std::string name(key.str());
    std::string fault;
    if (name == "name" || name == "about") {
      if (!node.is_string()) fault = name + " is no text";
      else if (name == "name") s.name = *node.value<std::string>();
    } else if (name == "members") {
      fault = read_members(s, node);
    } else if (name == "troubles" && node.is_table()) {
      const std::vector<const char*> names(kNames + kFirstTrouble, kNames + kKinds);
      fault = read_weights(*node.as_table(), name, names, [&s](int kind, double weight) {
        s.weights[static_cast<Kind>(kind + kFirstTrouble)] = weight;
      });
    } else if (name == "envelopes" && node.is_table()) {
      Lines& l = s.lines;
      fault = read_numbers(
          *node.as_table(), "envelopes.",
          {count("lost", l.lost, 0, 1), count("late", l.late, 0, 1), count("very_late", l.very_late, 0, 1),
           span("late_ms", l.late_by, 1e3, 1, 60'000), span("very_late_ms", l.very_late_by, 1e3, 1, 60'000)});
    } else if (name == "bounds" && node.is_table()) {
      Bounds& b = s.bounds;
      fault = read_numbers(
          *node.as_table(), "bounds.",
          {span("acknowledged_ms", b.acknowledged, 1e3, 1, 60'000),
           span("handed_on_ms", b.handed_on, 1e3, 1, 60'000),
           span("taken_over_ms", b.taken_over, 1e3, 1, 60'000),
           span("agents_current_ms", b.agents_current, 1e3, 1, 60'000),
           span("whole_ms", b.whole, 1e3, 1, 600'000), span("replaced_ms", b.replaced, 1e3, 1, 600'000)});
    } else {
      toml::table one;
      one.insert(name, node);
      fault = read_numbers(
          one, "",
          {count("losses", s.losses, 0, kMostMembers), count("agents", s.agents, 0, 1000),
           count("runs", s.runs, 1, 1e6), span("start_s", s.start, 1e6, 0, 60),
           span("seconds", s.length, 1e6, 1, 3600), span("least_pause_ms", s.least_pause, 1e3, 1, 60'000),
           span("most_pause_ms", s.most_pause, 1e3, 1, 60'000),
           span("call_every_ms", s.call_every, 1e3, 1, 60'000)});
    }
    if (!fault.empty()) return fault;
  }
  if (s.most_pause < s.least_pause) return "most_pause_ms is less than least_pause_ms";
  const std::size_t largest = *std::max_element(s.members.begin(), s.members.end());
  if (s.losses > (largest - 1) / 2)
    return "losses is " + std::to_string(s.losses) + ", no minority of " + std::to_string(largest) +
           " members";
  return {};
}

}  // namespace

const char* name_of(Kind kind) {
  return kNames[static_cast<int>(kind)];
}

std::string line_of(const Entry& e) {
  std::string line = std::to_string(e.at / 1000) + " ms: " + name_of(e.kind);
  const bool of_all = e.kind == Kind::herd || e.kind == Kind::seeds || e.kind == Kind::split ||
                      e.kind == Kind::wipe_after_ack;
  if (!of_all) line += " " + std::to_string(e.a);
  if (e.others != 0) {
    const char* mark = e.kind == Kind::split || e.kind == Kind::wipe_after_ack ? " " : " from ";
    for (std::size_t i = 0; i < kMostMembers; ++i)
      if ((e.others >> i & 1U) != 0) line += std::exchange(mark, ",") + std::to_string(i);
  }
  if (e.kind == Kind::put) line += " version " + std::to_string(e.number);
  if (e.span > 0) line += " for " + std::to_string(e.span / 1000) + " ms";
  return line;
}

std::variant<Scenario, std::string> read_scenario(const std::string& text, const std::string& source) {
  return read_toml<Scenario>(text, source, read_into);
}

std::variant<Scenario, std::string> load_scenario(const std::string& path) {
  return load_toml(path, read_scenario);
}

Schedule draw(const Scenario& s, std::uint64_t seed) {
  const std::size_t members = s.members_of(seed);
  std::vector<std::pair<Kind, double>> kinds;
  for (int k = kFirstTrouble; k < kKinds; ++k) {
    const auto named = s.weights.find(static_cast<Kind>(k));
    const double weight = s.weights.empty() ? kUsual[k] : named == s.weights.end() ? 0 : named->second;
    if (weight > 0) kinds.emplace_back(static_cast<Kind>(k), weight);
  }
  const Micros over = s.start + s.length;
  Schedule all;
  Dice troubles(seed, 1), calls(seed, 2);
  for (Micros at = s.start; at < over && !kinds.empty();
       at += s.least_pause + troubles.below<Micros>(s.most_pause - s.least_pause + 1)) {
    Entry e = trouble(weighted(kinds, troubles.share()), troubles, members);
    e.at = at;
    all.push_back(e);
  }
  std::uint64_t version = 0;
  for (Micros at = calls.below<Micros>(2 * s.call_every); at < over;
       at += 1 + calls.below<Micros>(2 * s.call_every)) {
    Entry e;
    e.at = at;
    e.a = calls.below(members);
    const auto what = calls.below(14);
    if (what < 6) version += 1 + calls.below<std::uint64_t>(3);
    e.kind = version == 0 || what >= 11 ? Kind::read : what >= 8 ? Kind::resend : Kind::put;
    // Some send another one under the newest number, or under an old one.
    if (e.kind == Kind::put) e.number = version - (what == 7 ? calls.below(version) : 0);
    if (e.kind == Kind::resend) e.number = calls();
    all.push_back(e);
    if (what != 5 || members < 2) continue;
    // Two operators at two machines at once, under one number.
    e.a = (e.a + 1 + calls.below(members - 1)) % members;
    all.push_back(e);
  }
  std::stable_sort(all.begin(), all.end(), [](const Entry& x, const Entry& y) { return x.at < y.at; });
  return all;
}

}  // namespace woadridge::lab::sim
