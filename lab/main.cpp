// woadridge-lab: plays experiments on a model fleet, virtually or on sockets; docs/operations/lab.md.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "lab/figures.h"
#include "lab/scenario.h"

using namespace woadridge::lab;
namespace fs = std::filesystem;

namespace {

constexpr int kUsage = 2;         // the call or a file is at fault
constexpr int kRuleBroken = 3;    // the run broke one of the four rules
constexpr int kNoVerdict = 4;     // the lab itself was late, or the run was cut short

std::atomic<bool> stop_asked = false;

void on_signal(int) { stop_asked = true; }

std::vector<Setting> settings_from(const std::vector<std::string>& texts) {
  std::vector<Setting> settings;
  for (const auto& text : texts) {
    const auto mark = text.find('=');
    if (mark == std::string::npos || mark == 0) throw CLI::ValidationError("--set", "expected key=value, not " + text);
    settings.emplace_back(text.substr(0, mark), text.substr(mark + 1));
  }
  return settings;
}

// The scenario, or nothing when it is at fault: each fault is told on a line of its own.
std::optional<Scenario> load(const std::string& file, const std::vector<Setting>& settings) {
  auto read = load_scenario(file, settings);
  if (auto* scenario = std::get_if<Scenario>(&read)) return std::move(*scenario);
  for (const auto& fault : std::get<std::vector<Fault>>(read)) std::cerr << fault.where << ": " << fault.what << "\n";
  return std::nullopt;
}

bool write(const fs::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  if (file) return true;
  std::cerr << path.string() << ": cannot be written\n";
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGINT, on_signal);
  std::signal(SIGTERM, on_signal);
  CLI::App app("Experiments on a model fleet: what a dispatcher does, at any size, with the same verdict twice.");
  app.require_subcommand(1);
  std::string file, out;
  std::vector<std::string> sets;
  int jobs = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
  auto* run = app.add_subcommand("run", "play one scenario");
  run->add_option("FILE", file)->required();
  run->add_option("--set", sets, "key=value: replaces a key of the scenario");
  run->add_option("--out", out);
  run->add_option("--jobs", jobs);
  CLI11_PARSE(app, argc, argv);
  auto scenario = load(file, settings_from(sets));
  if (!scenario) return kUsage;
  RunOptions options;
  options.jobs = jobs;
  options.stop = &stop_asked;
  std::vector<Played> played;
  std::vector<Policy> policies{scenario->policy};
  policies.insert(policies.end(), scenario->baselines.begin(), scenario->baselines.end());
  for (const Policy p : policies) {
    const auto t0 = std::chrono::steady_clock::now();
    Played one{p, run_virtual(*scenario, p, options), {}, {}};
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - t0).count();
    one.verdict = judge(rules_for(*scenario, 0), one.result.records);
    std::cerr << name_of(p) << ": " << took << " s, " << one.result.events << " events\n";
    played.push_back(std::move(one));
  }
  Json report = report_of(*scenario, "virtual", played);
  for (auto& r : report["runs"]) {
    std::cout << r["policy"] << " " << r["digest"] << "\n" << r["figures"].dump() << "\n";
    int n = 0;
    for (auto& b : r["breaches"]) if (n++ < 3) std::cout << "  " << b.dump() << "\n";
  }
  return report["rules_kept"].get<bool>() ? 0 : kRuleBroken;
}
