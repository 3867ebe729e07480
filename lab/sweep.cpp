#include "lab/sweep.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <mutex>
#include <thread>

namespace woadridge::lab {
namespace {

constexpr int kResamples = 1000;

struct Cell {
  std::vector<std::string> at;
  Scenario scenario;
};

double middle(std::vector<double>& values) {
  std::sort(values.begin(), values.end());
  const std::size_t half = values.size() / 2;
  return values.size() % 2 != 0 ? values[half] : (values[half - 1] + values[half]) / 2;
}

std::string cell_name(const Json& sweep, const Json& cell) {
  std::string name;
  for (std::size_t i = 0; i < cell["at"].size(); ++i) {
    if (i > 0) name += ", ";
    name.append(sweep["vary"][i]["key"].get<std::string>())
        .append("=")
        .append(cell["at"][i].get<std::string>());
  }
  return name;
}

// All combinations of the varied values, the last key fastest.
std::vector<std::vector<std::string>> combinations(const std::vector<Vary>& vary) {
  std::vector<std::vector<std::string>> all{{}};
  for (const auto& v : vary) {
    std::vector<std::vector<std::string>> longer;
    for (const auto& one : all)
      for (const auto& value : v.values) {
        longer.push_back(one);
        longer.back().push_back(value);
      }
    all = std::move(longer);
  }
  return all;
}

Json figures_of(const Scenario& scenario, const std::atomic<bool>* stop) {
  RunOptions options;
  options.stop = stop;
  const std::vector<Played> runs{play_virtual(scenario, scenario.policy, options)};
  return report_of(scenario, "virtual", runs)["runs"][0]["figures"];
}

}  // namespace

Interval median_of(std::vector<double> values) {
  if (values.empty()) return {};
  Interval found{middle(values), values.front(), values.back()};
  if (values.size() < 3) return found;
  Stream random(1, "bootstrap");
  std::vector<double> medians;
  for (int i = 0; i < kResamples; ++i) {
    std::vector<double> drawn;
    for (std::size_t j = 0; j < values.size(); ++j) drawn.push_back(values[random.below(values.size())]);
    medians.push_back(middle(drawn));
  }
  std::sort(medians.begin(), medians.end());
  found.low = medians[static_cast<std::size_t>(0.025 * kResamples)];
  found.high = medians[static_cast<std::size_t>(0.975 * kResamples)];
  return found;
}

std::variant<Json, std::vector<Fault>> sweep(const std::string& file, const SweepOptions& options) {
  std::vector<Cell> cells;
  for (const auto& at : combinations(options.vary)) {
    auto settings = options.settings;
    for (std::size_t i = 0; i < at.size(); ++i) settings.emplace_back(options.vary[i].key, at[i]);
    auto read = load_scenario(file, settings);
    if (auto* faults = std::get_if<std::vector<Fault>>(&read)) return std::move(*faults);
    cells.push_back({at, std::get<Scenario>(std::move(read))});
  }
  const auto seeds = static_cast<std::size_t>(options.seeds);
  std::vector<Json> results(cells.size() * seeds);
  std::atomic<std::size_t> next = 0, finished = 0;
  std::mutex told;
  {
    std::vector<std::jthread> threads;
    for (int j = 0; j < options.jobs; ++j)
      threads.emplace_back([&] {
        for (std::size_t i = next++; i < results.size(); i = next++) {
          if (options.stop != nullptr && *options.stop) return;
          Scenario scenario = cells[i / seeds].scenario;
          scenario.seed += i % seeds;
          results[i] = figures_of(scenario, options.stop);
          const std::scoped_lock lock(told);
          if (options.progress)
            options.progress(static_cast<double>(++finished) / static_cast<double>(results.size()));
        }
      });
  }
  const Scenario& first = cells.front().scenario;
  Json out{{"woadridge_lab_sweep", 1}, {"scenario", first.name},
           {"about", first.about},     {"seed", first.seed},
           {"seeds", options.seeds},   {"partial", options.stop != nullptr && options.stop->load()}};
  out["vary"] = Json::array();
  for (const auto& v : options.vary) out["vary"].push_back({{"key", v.key}, {"values", v.values}});
  out["cells"] = Json::array();
  bool kept = true;
  for (std::size_t c = 0; c < cells.size(); ++c) {
    Json cell{{"at", cells[c].at}};
    std::string series;
    for (std::size_t i = 1; i < cells[c].at.size(); ++i) {
      if (i > 1) series += ", ";
      series.append(options.vary[i].key).append("=").append(cells[c].at[i]);
    }
    cell["series"] = series;
    const Json* sample = nullptr;
    for (std::size_t s = 0; s < seeds && sample == nullptr; ++s)
      if (!results[c * seeds + s].is_null()) sample = &results[c * seeds + s];
    if (sample == nullptr) continue;
    for (const auto& [name, unused] : sample->items()) {
      std::vector<double> values;
      for (std::size_t s = 0; s < seeds; ++s)
        if (!results[c * seeds + s].is_null()) values.push_back(results[c * seeds + s][name].get<double>());
      const Interval m = median_of(values);
      cell["figures"][name] = {{"median", m.median}, {"low", m.low}, {"high", m.high}, {"values", values}};
      if (name.ends_with("_breaches"))
        kept &= std::all_of(values.begin(), values.end(), [](double v) { return v == 0; });
    }
    out["cells"].push_back(std::move(cell));
  }
  out["rules_kept"] = kept;
  return out;
}

std::string sweep_table(const Json& sweep) {
  static constexpr const char* kShown[] = {"goodput", "in_time_share", "p50_ms", "p99_ms",
                                           "attempts_per_request"};
  std::string text;
  char line[200];
  std::snprintf(line, sizeof line, "%-44s", "cell");
  text += line;
  for (const char* f : kShown) std::snprintf(line, sizeof line, " %28s", f), text += line;
  text += " rules broken\n";
  for (const auto& cell : sweep["cells"]) {
    std::snprintf(line, sizeof line, "%-44s", cell_name(sweep, cell).c_str());
    text += line;
    for (const char* f : kShown) {
      const auto& v = cell["figures"][f];
      char one[64];
      std::snprintf(one, sizeof one, "%.4g [%.4g, %.4g]", v["median"].get<double>(), v["low"].get<double>(),
                    v["high"].get<double>());
      std::snprintf(line, sizeof line, " %28s", one);
      text += line;
    }
    double broken = 0;
    for (int rule = 1; rule <= 4; ++rule)
      for (const double v : cell["figures"]["rule" + std::to_string(rule) + "_breaches"]["values"])
        broken += v;
    std::snprintf(line, sizeof line, " %12.0f\n", broken);
    text += line;
  }
  return text;
}

namespace {

std::string compare_line(const std::string& what, double a, double b, const char* verdict) {
  char line[256];
  const double change = a != 0 ? 100 * (b - a) / std::abs(a) : 0;
  std::snprintf(line, sizeof line, "  %-26s %12.5g %12.5g  %+8.2f%%  %s\n", what.c_str(), a, b, change,
                verdict);
  return line;
}

// Two sets of seeds: told apart where the middle half-ranges don't explain the difference of the medians.
const char* told_apart(const Json& a, const Json& b) {
  const auto spread = [](const Json& f) { return f["high"].get<double>() - f["low"].get<double>(); };
  const double difference = std::abs(a["median"].get<double>() - b["median"].get<double>());
  if (difference == 0) return "same";
  if (a["values"].size() < 3 || b["values"].size() < 3) return "spread unknown: fewer than three seeds";
  const bool apart = a["high"] < b["low"] || b["high"] < a["low"];
  return apart && difference > (spread(a) + spread(b)) / 2 ? "DIFFERS" : "within the spread of the seeds";
}

}  // namespace

std::string compare(const Json& a, const Json& b, std::string& wrong) {
  std::string text;
  if (a.contains("woadridge_lab_sweep") && b.contains("woadridge_lab_sweep")) {
    for (const auto& cell : a["cells"]) {
      const auto other =
          std::find_if(b["cells"].begin(), b["cells"].end(), [&](auto& c) { return c["at"] == cell["at"]; });
      if (other == b["cells"].end()) continue;
      text += (cell["at"].empty() ? a["scenario"].get<std::string>() : cell_name(a, cell)) + "\n";
      for (const auto& [name, value] : cell["figures"].items())
        if ((*other)["figures"].contains(name))
          text += compare_line(name, value["median"], (*other)["figures"][name]["median"],
                               told_apart(value, (*other)["figures"][name]));
    }
    if (text.empty()) wrong = "the two sweeps have no cell in common";
    return text;
  }
  if (!a.contains("woadridge_lab") || !b.contains("woadridge_lab")) {
    wrong = "expected two reports or two sweeps";
    return text;
  }
  for (const auto& run : a["runs"]) {
    const auto other = std::find_if(b["runs"].begin(), b["runs"].end(),
                                    [&](auto& r) { return r["policy"] == run["policy"]; });
    if (other == b["runs"].end()) continue;
    text += run["policy"].get<std::string>() +
            (run["digest"] == (*other)["digest"] ? " (the same run to the byte)\n" : "\n");
    for (const auto& [name, value] : run["figures"].items())
      text += compare_line(
          name, value, (*other)["figures"].value(name, 0.0),
          value == (*other)["figures"][name] ? "same" : "one seed each: sweep --seeds tells the spread");
  }
  if (text.empty()) wrong = "the two reports have no policy in common";
  return text;
}

}  // namespace woadridge::lab
