// Small scenarios and hand-driven parts of the lab's model.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>

#include "lab/clients.h"
#include "lab/figures.h"
#include "lab/fleet.h"
#include "lab/virtual.h"

namespace woadridge::lab::test {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kStart = 1000 * kSecond;

inline Scenario scenario_from(const std::string& text, const std::vector<Setting>& settings = {}) {
  auto read = read_scenario(text, "test.toml", settings);
  if (auto* faults = std::get_if<std::vector<Fault>>(&read)) {
    for (const auto& f : *faults) ADD_FAILURE() << f.where << ": " << f.what;
    return {};
  }
  return std::get<Scenario>(std::move(read));
}

inline std::string scenario_file(const std::string& name) {
  return std::string(WOADRIDGE_SCENARIOS) + "/" + name + ".toml";
}

inline Scenario shipped(const std::string& name, const std::vector<Setting>& settings = {}) {
  auto read = load_scenario(scenario_file(name), settings);
  if (auto* faults = std::get_if<std::vector<Fault>>(&read)) {
    for (const auto& f : *faults) ADD_FAILURE() << f.where << ": " << f.what;
    return {};
  }
  return std::get<Scenario>(std::move(read));
}

inline Verdict played(const Scenario& scenario, const RunOptions& options = {},
                      Policy policy = Policy::module) {
  return judge(rules_for(scenario, 0), run_virtual(scenario, policy, options).records);
}

// A fleet driven by hand: what it says is kept with its time.
class FleetRig : public FleetOut {
 public:
  explicit FleetRig(const Scenario& s) : scenario(s), fleet(scenario, kStart, *this) {}

  void note(const Note& n) override { notes.push_back({now, n}); }
  void news(DispatcherId, const ListNews& n, Micros after) override { lists.emplace_back(now + after, n); }

  void until(Micros at) {
    while (fleet.next() <= kStart + at) {
      now = fleet.next();
      fleet.advance(now);
    }
    now = kStart + at;
  }
  void offer(WorkerIndex w, RequestId id, int attempt, double work, std::uint64_t key = 0,
             int class_index = 0, bool fresh = true) {
    Offer o;
    o.ref = {0, id, attempt};
    o.key = key;
    o.work = work;
    o.class_index = class_index;
    o.first_byte = now;
    o.fresh = fresh;
    fleet.offer(now, w, o);
  }
  std::vector<Said> said(RequestId id, int attempt = 0) const {
    std::vector<Said> found;
    for (const auto& [at, n] : notes)
      if (n.ref.request == id && n.ref.attempt == attempt) found.push_back(n.said);
    return found;
  }
  std::vector<Micros> runs_of(std::uint64_t key) {
    std::vector<Micros> found;
    for (const auto& r : fleet.records().runs)
      if (r.key == key && r.ended != kNever) found.push_back(r.began - kStart);
    return found;
  }

  Scenario scenario;
  Micros now = kStart;
  std::vector<std::pair<Micros, Note>> notes;
  std::vector<std::pair<Micros, ListNews>> lists;
  Fleet fleet;
};

}  // namespace woadridge::lab::test
