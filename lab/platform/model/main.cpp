// woadridge-explore: searches the small model of the control state within its bounds.
#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <optional>
#include <thread>

#include "lab/platform/model/searches.h"

namespace {

using namespace woadridge::lab::model;

constexpr int kKept = 0, kBroken = 1, kUsage = 2, kNoVerdict = 4;

std::atomic<bool> stop_asked = false;

void on_signal(int) {
  stop_asked = true;
}

void print(const Named& named, const Result& result, double seconds) {
  std::printf("%s: %s, %llu states, %llu paths, %llu steps, %.1f s\n", named.situation.name.c_str(),
              result.whole ? "searched whole" : "cut short", static_cast<unsigned long long>(result.states),
              static_cast<unsigned long long>(result.paths), static_cast<unsigned long long>(result.steps),
              seconds);
  if (!result.found) return;
  const Path path = shortest(named.situation, *result.found);
  std::printf("broken: %s: %s, after %zu choices:\n", name_of(result.found->broken.rule),
              result.found->broken.what.c_str(), path.size());
  for (const auto& line : lines_of(named.situation, path)) std::printf("  %s\n", line.c_str());
}

struct Options {
  int jobs = static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
  std::string only;
  std::optional<int> window_ms;
  std::optional<std::size_t> total;
};

int explore(const Options& options) {
  std::uint64_t states = 0;
  int status = kKept;
  const auto now = [] { return std::chrono::steady_clock::now(); };
  for (Named& named : searches()) {
    if (!options.only.empty() && named.situation.name.find(options.only) == std::string::npos) continue;
    if (options.window_ms) named.situation.window = *options.window_ms * Micros{1000};
    if (options.total) named.bounds.total = *options.total;
    const auto began = now();
    const Result result = search(named.situation, named.bounds, options.jobs, stop_asked);
    print(named, result, std::chrono::duration<double>(now() - began).count());
    std::fflush(stdout);
    states += result.states;
    if (result.found) status = kBroken;
    else if (!result.whole && status == kKept) status = kNoVerdict;
  }
  std::printf("model: %llu states in all\n", static_cast<unsigned long long>(states));
  return status;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGINT, on_signal);
  std::signal(SIGTERM, on_signal);
  CLI::App app("The control state's small model, searched within its bounds (docs/design/model.md).");
  Options options;
  app.add_option("--jobs", options.jobs, "threads")->check(CLI::Range(1, 256))->capture_default_str();
  app.add_option("--only", options.only, "searches whose name contains this");
  app.add_option("--window-ms", options.window_ms, "in place of each search's")->check(CLI::Range(1, 60'000));
  app.add_option("--total", options.total, "choices of a path, in place of each search's")
      ->check(CLI::Range(0, 7));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& fault) {
    return app.exit(fault) == 0 ? 0 : kUsage;
  }
  return explore(options);
}
