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
#include <map>
#include <mutex>
#include <thread>

#include "lab/chaos/rig.h"
#include "lab/chaos/simulated.h"
#include "lab/chaos/tools.h"
#include "lab/page.h"
#include "lab/platform/command.h"
#include "lab/sockets.h"
#include "lab/sweep.h"

using namespace woadridge::lab;
namespace fs = std::filesystem;

namespace {

constexpr int kUsage = 2;       // the call or a file is at fault
constexpr int kRuleBroken = 3;  // the run broke one of the four rules
constexpr int kNoVerdict = 4;   // the lab itself was late, or the run was cut short

std::atomic<bool> stop_asked = false;

void on_signal(int) {
  stop_asked = true;
}

std::vector<Setting> settings_from(const std::vector<std::string>& texts, const char* option) {
  std::vector<Setting> settings;
  for (const auto& text : texts) {
    const auto mark = text.find('=');
    if (mark == std::string::npos || mark == 0)
      throw CLI::ValidationError(option, "expected key=value, not " + text);
    settings.emplace_back(text.substr(0, mark), text.substr(mark + 1));
  }
  return settings;
}

int tell(const std::vector<Fault>& faults) {
  for (const auto& fault : faults) std::cerr << fault.where << ": " << fault.what << "\n";
  return kUsage;
}

void write(const fs::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  if (!file) throw std::runtime_error(path.string() + ": cannot be written");
}

Json read_json(const std::string& name) {
  fs::path path(name);
  if (fs::is_directory(path)) path /= fs::exists(path / "report.json") ? "report.json" : "sweep.json";
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path.string() + ": cannot be read");
  try {
    return Json::parse(file);
  } catch (const Json::exception&) {
    throw std::runtime_error(path.string() + ": not a report of the lab");
  }
}

// One line that is drawn over; nothing where nobody looks.
class ProgressLine {
 public:
  explicit ProgressLine(std::string what) : what_(std::move(what)), shown_(isatty(STDERR_FILENO) != 0) {}
  ~ProgressLine() {
    if (shown_ && drawn_) std::cerr << "\r\033[K" << std::flush;
  }
  void operator()(double part) {
    const auto now = std::chrono::steady_clock::now();
    if (!shown_ || (drawn_ && now - last_ < std::chrono::milliseconds(200))) return;
    last_ = now;
    drawn_ = true;
    const double gone = std::chrono::duration<double>(now - began_).count();
    char text[160];
    std::snprintf(text, sizeof text, "\r\033[K%s: %3.0f%%, %.0f s left", what_.c_str(), 100 * part,
                  part > 0.001 ? gone / part - gone : 0.0);
    std::cerr << text << std::flush;
  }

 private:
  std::string what_;
  bool shown_;
  bool drawn_ = false;
  std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now(), last_;
};

double memory_mb() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_maxrss) / 1024;
}

void print_summary(const Json& report) {
  std::printf("%s: %s dispatchers, %s workers, %.1f requests/s\n",
              report["scenario"].get<std::string>().c_str(), report["dispatchers"].dump().c_str(),
              report["workers"].dump().c_str(), report["requests_per_s"].get<double>());
  std::printf("%-16s %8s %8s %8s %8s %9s %9s %9s  %s\n", "who decides", "goodput", "in time", "refused",
              "failed", "p50 ms", "p99 ms", "attempts", "rules broken");
  for (const auto& run : report["runs"]) {
    const auto& f = run["figures"];
    const auto v = [&](const char* name) { return f[name].get<double>(); };
    double broken = 0;
    for (int rule = 1; rule <= 4; ++rule) broken += v(("rule" + std::to_string(rule) + "_breaches").c_str());
    std::printf("%-16s %8.4f %8.4f %8.4f %8.4f %9.1f %9.1f %9.3f  %.0f\n",
                run["policy"].get<std::string>().c_str(), v("goodput"), v("in_time_share"),
                v("refused_share"), v("failed_share"), v("p50_ms"), v("p99_ms"), v("attempts_per_request"),
                broken);
  }
  const auto& own = report["runs"][0]["figures"];
  if (own.contains("dispatcher_cpu_us_per_request"))
    std::printf("a dispatcher: %.0f us of CPU a request, %.1f MiB and %d descriptors at most\n",
                own["dispatcher_cpu_us_per_request"].get<double>(), own["dispatcher_memory_mb"].get<double>(),
                own["dispatcher_descriptors"].get<int>());
  for (const auto& b : report["runs"][0]["breaches"])
    std::printf("rule %d broken: %s\n", b["rule"].get<int>(), b["what"].get<std::string>().c_str());
}

struct RunCall {
  std::string file, out, mode = "virtual", dispatcher = "build/woadridge";
  std::vector<std::string> sets;
  std::optional<std::uint64_t> seed;
  int jobs = 1;
  bool events = false;
  bool baselines = true;
};

Played play_sockets(const RunCall& call, const Scenario& scenario, std::string& no_verdict) {
  if (scenario.policy != Policy::module)
    throw std::runtime_error("on sockets only the dispatcher itself is played");
  if (::access(call.dispatcher.c_str(), X_OK) != 0)
    throw std::runtime_error(call.dispatcher + ": no dispatcher there (--dispatcher names it)");
  const bool kept = !call.out.empty();
  const fs::path folder =
      kept ? fs::path(call.out) : fs::temp_directory_path() / ("woadridge-lab-" + std::to_string(::getpid()));
  fs::create_directories(folder);
  ProgressLine line(scenario.name + ", on sockets");
  SocketsOptions options{call.dispatcher, folder.string(), [&line](double part) { line(part); }, &stop_asked};
  SocketsResult result = run_sockets(scenario, options);
  no_verdict = result.no_verdict;
  if (!kept) fs::remove_all(folder);
  return std::move(result.played);
}

int run(const RunCall& call) {
  auto settings = settings_from(call.sets, "--set");
  if (call.seed) settings.emplace_back("seed", std::to_string(*call.seed));
  auto read = load_scenario(call.file, settings);
  if (auto* faults = std::get_if<std::vector<Fault>>(&read)) return tell(*faults);
  const Scenario scenario = std::get<Scenario>(std::move(read));
  std::vector<Played> runs;
  std::string no_verdict;
  const auto began = std::chrono::steady_clock::now();
  if (call.mode == "sockets") runs.push_back(play_sockets(call, scenario, no_verdict));
  std::vector<Policy> policies{scenario.policy};
  if (call.baselines) policies.insert(policies.end(), scenario.baselines.begin(), scenario.baselines.end());
  for (const Policy policy : policies) {
    if (stop_asked) break;
    ProgressLine line(scenario.name + ", " + name_of(policy));
    RunOptions options;
    options.jobs = call.jobs;
    options.stop = &stop_asked;
    options.progress = [&line](double part) { line(part); };
    runs.push_back(play_virtual(scenario, policy, options));
    if (call.mode == "sockets") runs.back().label += " (virtual)";
  }
  Json report = report_of(scenario, call.mode, runs);
  if (!no_verdict.empty()) report["no_verdict"] = no_verdict;
  print_summary(report);
  std::fprintf(stderr, "played in %.1f s with %d jobs, %.0f MiB at most\n",
               std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count(), call.jobs,
               memory_mb());
  if (!call.out.empty()) {
    fs::create_directories(call.out);
    write(fs::path(call.out) / "report.json", report.dump(1) + "\n");
    write(fs::path(call.out) / "report.html", report_page(report));
    if (call.events) write(fs::path(call.out) / "events.csv", events_csv(runs.front().result.records));
  }
  if (!no_verdict.empty()) std::fprintf(stderr, "no verdict: %s\n", no_verdict.c_str());
  if (report["partial"] || !no_verdict.empty()) return kNoVerdict;
  return report["rules_kept"].get<bool>() ? 0 : kRuleBroken;
}

int run_sweep(const std::string& file, const std::vector<std::string>& varied,
              const std::vector<std::string>& sets, int seeds, int jobs, const std::string& out) {
  SweepOptions options;
  options.settings = settings_from(sets, "--set");
  for (const auto& [key, values] : settings_from(varied, "--vary")) {
    Vary v{key, {}};
    std::istringstream in(values);
    for (std::string value; std::getline(in, value, ',');) v.values.push_back(value);
    options.vary.push_back(std::move(v));
  }
  options.seeds = seeds;
  options.jobs = jobs;
  options.stop = &stop_asked;
  ProgressLine line("sweep");
  options.progress = [&line](double part) { line(part); };
  auto played = sweep(file, options);
  if (auto* faults = std::get_if<std::vector<Fault>>(&played)) return tell(*faults);
  const Json& result = std::get<Json>(played);
  std::cout << sweep_table(result);
  if (!out.empty()) {
    fs::create_directories(out);
    write(fs::path(out) / "sweep.json", result.dump(1) + "\n");
    write(fs::path(out) / "sweep.html", sweep_page(result));
  }
  if (result["partial"]) return kNoVerdict;
  return result["rules_kept"].get<bool>() ? 0 : kRuleBroken;
}

struct ChaosCall {
  std::string file, out, mode = "processes", dispatcher = "build/woadridge_planted";
  std::optional<std::uint64_t> seed;
  std::vector<std::string> words;
  bool shrinks = false;
  bool group = true;
  std::optional<int> voters, members;
  int runs = 1;
  int jobs = 1;
  int call_ms = 0;
};

void print(const ChaosReport& r, const std::string& name, std::uint64_t seed) {
  int faults = 0;
  for (const auto& [kind, count] : r.faults) faults += count;
  std::printf(
      "%s seed %llu: %d faults, acts taken %llu, two holders %llu, stale acts refused %llu, gaps %zu, p50 "
      "%lld ms, "
      "longest %lld ms\n",
      name.c_str(), static_cast<unsigned long long>(seed), faults,
      static_cast<unsigned long long>(r.acts_taken), static_cast<unsigned long long>(r.two_holders),
      static_cast<unsigned long long>(r.stale_acts_refused), r.gaps.size(),
      static_cast<long long>(percentile(r.gaps, 0.5) / 1000),
      static_cast<long long>(percentile(r.gaps, 1) / 1000));
  for (const auto& v : r.violations) std::printf("broken: %s\n", v.c_str());
}

// One that breaks something is kept, with fewer faults where it still does.
void keep_shortened(const ChaosCall& call, const ChaosScenario& s, const std::vector<ChaosFault>& schedule,
                    const PlayChaos& play) {
  const auto fewer = shrink(s, schedule, play);
  const ChaosReport r = play(s, fewer);
  std::printf("shortened from %zu faults to %zu:\n", schedule.size(), fewer.size());
  for (const auto& f : fewer)
    std::printf("  %s at %lld ms for %lld ms, members %d and %d\n", name_of(f.kind),
                static_cast<long long>(f.at / 1000), static_cast<long long>(f.span / 1000), f.a, f.b);
  if (!call.out.empty()) write(fs::path(call.out) / "shortened.json", report_json(r, s.name, s.seed));
}

ChaosReport play_real(const ChaosCall& call, const ChaosScenario& s,
                      const std::vector<ChaosFault>& schedule) {
  if (::access(call.dispatcher.c_str(), X_OK) != 0)
    throw std::runtime_error(call.dispatcher + ": no dispatcher there (--dispatcher names it)");
  const bool kept = !call.out.empty();
  const fs::path folder = kept
                              ? fs::path(call.out) / "processes"
                              : fs::temp_directory_path() / ("woadridge-chaos-" + std::to_string(::getpid()));
  ProgressLine line(s.name + ", " + std::to_string(s.members) + " processes");
  RigOptions options{call.dispatcher, folder.string(),       call.words,
                     call.group,      call.call_ms * 1000LL, [&line](double part) { line(part); },
                     &stop_asked};
  ChaosReport r = play_processes(s, schedule, options);
  if (!kept) fs::remove_all(folder);
  return r;
}

// Many schedules in simulated time, several at once; what is printed goes by the seed.
int chaos_many(const ChaosCall& call, const ChaosScenario& first) {
  std::mutex guard;
  std::map<std::uint64_t, std::vector<std::string>> broken;
  ChaosReport all;
  const int played = in_threads(call.runs, call.jobs, stop_asked, [&](int i) {
    ChaosScenario s = first;
    s.seed += static_cast<std::uint64_t>(i);
    const ChaosReport r = play_simulated(s, schedule_of(s));
    const std::lock_guard lock(guard);
    all.acts_taken += r.acts_taken;
    all.two_holders += r.two_holders;
    all.stale_acts_refused += r.stale_acts_refused;
    all.gaps.insert(all.gaps.end(), r.gaps.begin(), r.gaps.end());
    for (const auto& [kind, count] : r.faults) all.faults[kind] += count;
    if (!r.violations.empty()) broken[s.seed] = r.violations;
  });
  std::printf("%d schedules, %d voters, %d members: ", played, first.voters, first.members);
  print(all, first.name, first.seed);
  for (const auto& [seed, what] : broken)
    std::printf("seed %llu broken: %s\n", static_cast<unsigned long long>(seed), what.front().c_str());
  return !broken.empty() ? kRuleBroken : stop_asked ? kNoVerdict : 0;
}

int chaos(const ChaosCall& call) {
  auto read = load_chaos(call.file);
  if (const auto* fault = std::get_if<std::string>(&read)) {
    std::cerr << *fault << "\n";
    return kUsage;
  }
  ChaosScenario s = std::get<ChaosScenario>(std::move(read));
  if (call.seed) s.seed = *call.seed;
  if (call.voters) s.voters = *call.voters, s.most_down = *call.voters / 2;
  if (call.members) s.members = *call.members;
  if (s.members < s.voters) s.members = s.voters;
  if (call.mode == "simulated" && call.runs > 1) return chaos_many(call, s);
  const PlayChaos play =
      call.mode == "simulated" ? PlayChaos(play_simulated) : [&call](const auto& of, const auto& faults) {
        return play_real(call, of, faults);
      };
  const std::uint64_t first = s.seed;
  bool broken = false, no_verdict = false;
  for (; s.seed < first + static_cast<std::uint64_t>(call.runs) && !stop_asked; ++s.seed) {
    const auto schedule = schedule_of(s);
    const ChaosReport r = play(s, schedule);
    print(r, s.name, s.seed);
    if (!call.out.empty()) {
      fs::create_directories(call.out);
      write(fs::path(call.out) / "report.json", report_json(r, s.name, s.seed));
      write(fs::path(call.out) / "report.html", chaos_page(r, s));
    }
    if (!r.no_verdict.empty()) std::fprintf(stderr, "no verdict: %s\n", r.no_verdict.c_str());
    no_verdict = no_verdict || !r.no_verdict.empty();
    broken = broken || !r.violations.empty();
    if (!r.violations.empty() && call.shrinks) keep_shortened(call, s, schedule, play);
  }
  return broken ? kRuleBroken : no_verdict ? kNoVerdict : 0;
}

int list(const std::string& folder) {
  std::vector<fs::path> files;
  if (fs::is_directory(folder))
    for (const auto& entry : fs::directory_iterator(folder))
      if (entry.path().extension() == ".toml") files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  for (const auto& path : files) {
    const auto read = load_scenario(path.string());
    const auto* scenario = std::get_if<Scenario>(&read);
    std::cout << path.stem().string() << ": "
              << (scenario != nullptr ? scenario->about : "at fault: see check") << "\n";
  }
  if (files.empty()) std::cerr << folder << ": no scenarios there (--scenarios names the folder)\n";
  return files.empty() ? kUsage : 0;
}

int compare_files(const std::string& a, const std::string& b) {
  std::string wrong;
  const std::string text = compare(read_json(a), read_json(b), wrong);
  if (text.empty()) std::cerr << wrong << "\n";
  std::cout << text;
  return text.empty() ? kUsage : 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGINT, on_signal);
  std::signal(SIGTERM, on_signal);
  CLI::App app(
      "Experiments on a model fleet: what a dispatcher does, at any size, with the same verdict twice.");
  app.require_subcommand(1);
  const int cores = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));

  std::string file, other, out, folder = "lab/scenarios";
  std::vector<std::string> sets, varied;
  int seeds = 5, jobs = cores;
  RunCall call;
  call.jobs = cores;

  auto* check_cmd = app.add_subcommand("check", "read a scenario and tell what is wrong with it");
  check_cmd->add_option("FILE", file)->required();

  auto* run_cmd = app.add_subcommand("run", "play one scenario; status 3: a rule was broken, 4: no verdict");
  run_cmd->add_option("FILE", call.file)->required();
  run_cmd->add_option("--seed", call.seed, "in place of the scenario's");
  run_cmd->add_option("--set", call.sets, "key=value: replaces a key of the scenario");
  run_cmd->add_option("--mode", call.mode)
      ->check(CLI::IsMember({"virtual", "sockets"}))
      ->capture_default_str();
  run_cmd->add_option("--dispatcher", call.dispatcher, "the program, on sockets")->capture_default_str();
  run_cmd->add_option("--out", call.out, "folder for report.json and report.html; on sockets also logs");
  run_cmd->add_option("--jobs", call.jobs, "threads; the result is the same")
      ->check(CLI::Range(1, 256))
      ->capture_default_str();
  run_cmd->add_flag("--events", call.events, "events.csv too: a line for each event");
  run_cmd->add_flag("!--no-baselines", call.baselines, "only the scenario's own policy");

  auto* sweep_cmd = app.add_subcommand("sweep", "play a grid of varied keys with several seeds");
  sweep_cmd->add_option("FILE", file)->required();
  sweep_cmd->add_option("--vary", varied, "key=a,b,c; may be repeated")->required();
  sweep_cmd->add_option("--set", sets, "key=value: replaces a key of the scenario");
  sweep_cmd->add_option("--seeds", seeds)->check(CLI::Range(1, 1000))->capture_default_str();
  sweep_cmd->add_option("--jobs", jobs, "runs at a time")->check(CLI::Range(1, 256))->capture_default_str();
  sweep_cmd->add_option("--out", out, "folder for sweep.json and sweep.html");

  auto* compare_cmd = app.add_subcommand("compare", "two reports or two sweeps, figure by figure");
  compare_cmd->add_option("A", file)->required();
  compare_cmd->add_option("B", other)->required();

  FleetCall fleet;
  double work_ms = 100;
  auto* fleet_cmd =
      app.add_subcommand("fleet", "keep a list and workers running on loopback, to try a dispatcher with");
  fleet_cmd->add_option("--workers", fleet.workers)->check(CLI::Range(1, 10000))->capture_default_str();
  fleet_cmd->add_option("--slots", fleet.slots, "jobs that a worker runs at a time")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  fleet_cmd->add_option("--work-ms", work_ms, "how long a job runs")
      ->check(CLI::Range(0.001, 3.6e6))
      ->capture_default_str();
  fleet_cmd->add_option("--list", fleet.list_port, "port of the list")->capture_default_str();
  fleet_cmd->add_option("--first-worker", fleet.first_worker_port, "port of the first worker")
      ->capture_default_str();
  fleet_cmd->add_flag("--small-writes", fleet.small_writes,
                      "workers write each piece alone and wait for acknowledgements");

  ChaosCall chaos_call;
  chaos_call.jobs = cores;
  auto* chaos_cmd = app.add_subcommand(
      "chaos", "faults between the members of a group; status 3: something was broken, 4: no verdict");
  chaos_cmd->add_option("FILE", chaos_call.file)->required();
  chaos_cmd->add_option("--seed", chaos_call.seed, "in place of the scenario's");
  chaos_cmd->add_option("--mode", chaos_call.mode)
      ->check(CLI::IsMember({"processes", "simulated"}))
      ->capture_default_str();
  chaos_cmd->add_option("--dispatcher", chaos_call.dispatcher, "the program")->capture_default_str();
  chaos_cmd->add_option("--out", chaos_call.out,
                        "folder for report.json, report.html and the processes' logs");
  chaos_cmd->add_option("--runs", chaos_call.runs, "so many seeds, one after the other")
      ->check(CLI::Range(1, 1'000'000))
      ->capture_default_str();
  chaos_cmd->add_option("--voters", chaos_call.voters, "in place of the scenario's")
      ->check(CLI::IsMember({3, 5, 7}));
  chaos_cmd->add_option("--members", chaos_call.members, "in place of the scenario's")
      ->check(CLI::Range(3, 1000));
  chaos_cmd->add_option("--jobs", chaos_call.jobs, "simulated runs at a time")
      ->check(CLI::Range(1, 256))
      ->capture_default_str();
  chaos_cmd->add_option("--word", chaos_call.words, "a further argument of each dispatcher; may be repeated");
  chaos_cmd->add_option("--discovery-ms", chaos_call.call_ms,
                        "each call takes discovery so long, one after the other");
  chaos_cmd->add_flag("!--no-group", chaos_call.group, "the dispatchers know nothing of one another");
  chaos_cmd->add_flag("--shrink", chaos_call.shrinks,
                      "a schedule that breaks something is shortened and kept");

  auto* list_cmd = app.add_subcommand("list", "the scenarios that come with it");
  list_cmd->add_option("--scenarios", folder)->capture_default_str();

  platform::Command platform_cmd(app);

  try {
    app.parse(argc, argv);
    if (*check_cmd) {
      const auto read = load_scenario(file);
      if (const auto* faults = std::get_if<std::vector<Fault>>(&read)) return tell(*faults);
      std::cout << file << ": good\n";
      return 0;
    }
    if (*run_cmd) return run(call);
    if (*sweep_cmd) return run_sweep(file, varied, sets, seeds, jobs, out);
    if (*fleet_cmd) {
      fleet.work = static_cast<woadridge::Micros>(work_ms * 1000);
      return keep_fleet(fleet, stop_asked);
    }
    if (*chaos_cmd) return chaos(chaos_call);
    if (*compare_cmd) return compare_files(file, other);
    if (platform_cmd.called()) return platform_cmd.run(stop_asked);
    return list(folder);
  } catch (const CLI::ParseError& fault) {
    return app.exit(fault) == 0 ? 0 : kUsage;
  } catch (const std::exception& fault) {
    std::cerr << "woadridge-lab: " << fault.what() << "\n";
    return kUsage;
  }
}
