#include "lab/platform/sim/chain.h"

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>

#include "lab/chaos/tools.h"
#include "lab/platform/sim/play.h"
#include "lab/platform/sim/replacement_table.h"

namespace woadridge::lab::sim {
namespace {

using Json = nlohmann::json;

constexpr int kKept = 0, kBroken = 1, kAtFault = 2, kNoVerdict = 4;

double ms(Micros span) {
  return static_cast<double>(span) / 1e3;
}

struct Total {
  int runs = 0;
  std::size_t changes = 0, agent_cuts = 0, agent_restarts = 0;
  std::uint64_t views = 0, terms = 0, epochs = 0;
  std::map<Kind, int> troubles;
  Longest longest;
  std::map<std::uint64_t, Run> broken;  // by seed

  void add(const Run& r) {
    ++runs;
    changes += r.changes;
    views += r.views;
    terms += r.terms;
    epochs += r.epochs;
    for (const auto& [kind, count] : r.troubles) troubles[kind] += count;
    const auto most = [](Micros& a, Micros b) { a = std::max(a, b); };
    most(longest.acknowledged, r.longest.acknowledged);
    most(longest.handed_on, r.longest.handed_on);
    most(longest.taken_over, r.longest.taken_over);
    most(longest.whole, r.longest.whole);
    most(longest.agents, r.longest.agents);
    agent_cuts += r.agent_cuts;
    agent_restarts += r.agent_restarts;
    most(longest.replaced, r.longest.replaced);
    if (r.broken) broken.emplace(r.seed, r);
  }
};

Json json_of(const Schedule& schedule) {
  Json all = Json::array();
  for (const auto& e : schedule)
    all.push_back({{"kind", name_of(e.kind)},
                   {"at_ms", ms(e.at)},
                   {"span_ms", ms(e.span)},
                   {"machine", e.a},
                   {"others", e.others},
                   {"number", e.number},
                   {"text", line_of(e)}});
  return all;
}

Json json_of(const Scenario& s, const ChainCall& call, const Total& t) {
  Json j;
  j["scenario"] = s.name;
  j["members"] = s.members;
  j["losses"] = s.losses;
  j["seed"] = call.seed;
  j["runs"] = t.runs;
  j["changes_acknowledged"] = t.changes;
  j["views"] = t.views;
  j["terms"] = t.terms;
  j["epochs"] = t.epochs;
  j["longest_ms"] = {{"acknowledged", ms(t.longest.acknowledged)},
                     {"handed_on", ms(t.longest.handed_on)},
                     {"taken_over", ms(t.longest.taken_over)},
                     {"whole_after_a_loss", ms(t.longest.whole)},
                     {"replaced", ms(t.longest.replaced)}};
  j["longest_ms"]["agents_current"] = ms(t.longest.agents);
  j["agent_cuts"] = t.agent_cuts;
  j["agent_restarts"] = t.agent_restarts;
  for (const auto& [kind, count] : t.troubles) j["entries"][name_of(kind)] = count;
  j["broken"] = Json::array();
  for (const auto& [seed, run] : t.broken)
    j["broken"].push_back({{"seed", seed}, {"members", run.members}, {"what", run.broken->what}});
  return j;
}

void print(const Scenario& s, const Total& t) {
  for (const auto& [seed, run] : t.broken)
    std::printf("seed %llu broken: %s, %zu members\n", static_cast<unsigned long long>(seed),
                run.broken->what.c_str(), run.members);
  std::printf(
      "%s: %d runs, %zu broken, %zu changes acknowledged, %llu views, %llu terms, %llu epochs; longest in "
      "calm times: "
      "acknowledged %.0f ms, duty handed on %.0f ms, taken over %.0f ms, whole after a loss %.0f ms, "
      "replaced %.0f ms\n",
      s.name.c_str(), t.runs, t.broken.size(), t.changes, static_cast<unsigned long long>(t.views),
      static_cast<unsigned long long>(t.terms), static_cast<unsigned long long>(t.epochs),
      ms(t.longest.acknowledged), ms(t.longest.handed_on), ms(t.longest.taken_over), ms(t.longest.whole),
      ms(t.longest.replaced));
  if (s.agents > 0)
    std::printf("%zu agents: %zu cuts, %zu restarts; longest until all were current in calm times %.0f ms\n",
                s.agents, t.agent_cuts, t.agent_restarts, ms(t.longest.agents));
}

Schedule print_shortest(const Scenario& s, const Run& run) {
  const Schedule all = draw(s, run.seed);
  const Schedule fewer = shortest(s, run.seed, all, run.broken->rule);
  const Run again = play(s, run.seed, fewer);
  std::printf("seed %llu shortened from %zu entries to %zu: %s\n", static_cast<unsigned long long>(run.seed),
              all.size(), fewer.size(), again.broken->what.c_str());
  for (const auto& e : fewer) std::printf("  %s\n", line_of(e).c_str());
  std::printf("what the machines logged:\n");
  for (const auto& line : again.notes) std::printf("  %s\n", line.c_str());
  std::printf("in the end:\n");
  for (const auto& line : again.machines) std::printf("  %s\n", line.c_str());
  return fewer;
}

}  // namespace

int run_chain(const ChainCall& call, const std::atomic<bool>& stop) {
  auto read = load_scenario(call.file);
  if (const auto* fault = std::get_if<std::string>(&read)) {
    std::cerr << *fault << "\n";
    return kAtFault;
  }
  Scenario s = std::get<Scenario>(std::move(read));
  if (call.members) s.members = {*call.members};
  if (call.runs) s.runs = *call.runs;
  const auto began = std::chrono::steady_clock::now();
  Total total;
  std::mutex guard;
  in_threads(s.runs, call.jobs, stop, [&](int i) {
    const std::uint64_t seed = call.seed + static_cast<std::uint64_t>(i);
    const Run run = play(s, seed, draw(s, seed));
    const std::lock_guard lock(guard);
    total.add(run);
  });
  const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  print(s, total);
  std::fprintf(stderr, "played in %.1f s with %d jobs, %.0f runs/s\n", took, call.jobs, total.runs / took);
  Json report = json_of(s, call, total);
  // The first alone: one is enough to begin with, and the others are mostly the same.
  if (call.shrinks && !total.broken.empty())
    report["shortest"] = json_of(print_shortest(s, total.broken.begin()->second));
  if (!call.out.empty()) {
    std::filesystem::create_directories(call.out);
    const auto path = std::filesystem::path(call.out) / "report.json";
    std::ofstream file(path, std::ios::binary);
    file << report.dump(1) << "\n";
    file.close();
    if (!file) throw std::runtime_error(path.string() + ": cannot be written");
  }
  return !total.broken.empty() ? kBroken : total.runs < s.runs ? kNoVerdict : kKept;
}

int run_replacements(const ReplacementsCall& call) {
  return write_replacement_table(std::cout, call.seeds, call.jobs) ? kKept : kBroken;
}

}  // namespace woadridge::lab::sim
