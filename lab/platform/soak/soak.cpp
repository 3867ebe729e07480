#include "lab/platform/soak/soak.h"

#include <signal.h>
#include <unistd.h>

#include <deque>
#include <fstream>
#include <iostream>
#include <thread>

#include "lab/platform/soak/clients.h"
#include "lab/platform/soak/judge.h"
#include "lab/platform/soak/operator_desk.h"
#include "lab/platform/stage.h"

namespace woadridge::lab::platform::soak {
namespace {

namespace fs = std::filesystem;
using std::chrono::steady_clock;

constexpr Millis kLook{5};
constexpr Millis kConfigured{20'000};  // from the start: core machines found themselves first
constexpr Millis kReady{15'000};
constexpr Millis kReadBack{15'000};
constexpr Micros kWork = 80'000;
constexpr std::size_t kAddressesPerFunction = 3;
constexpr Micros kServesOn = 8'000'000;  // an instance that is to end serves on so long beyond drain-ms
constexpr int kShedSlack = 16;
constexpr Micros kRecovery = 15'000'000;
constexpr Micros kLossSlack = 200'000;
constexpr Micros kRevertSlack = 250'000;
constexpr Micros kMicrosPerSecond = 1'000'000;

enum class Verdict { clean, broken, not_judged };

Micros micros(Millis span) {
  return static_cast<Micros>(span.count()) * 1000;
}

class Run {
 public:
  Run(const SoakCall& call, std::uint64_t seed, fs::path folder, const std::atomic<bool>& stop)
      : call_(call),
        seed_(seed),
        folder_(std::move(folder)),
        stop_(stop),
        day_(draw_day(day_options(call, seed))),
        operator_(seed, call.functions, call.layout.controls(), stop),
        stage_(call.layout.provider(), provider_options(), operator_.configuration()),
        nodes_(call.layout, node_options()),
        clients_(client_options(), fronts()) {}

  Verdict play() {
    nodes_.start();
    if (call_.quotas) quota_ = std::thread([this] { limit_processors(); });
    const Verdict verdict = play_day();
    ended_ = true;
    if (quota_.joinable()) quota_.join();
    nodes_.end();
    return verdict;
  }

 private:
  void limit_processors() {
    while (!ended_) {
      nodes_.limit_processors();
      std::this_thread::sleep_for(kLook);
    }
  }

  Verdict play_day() {
    if (!operator_.found(kConfigured)) return not_judged("the first configuration was not acknowledged");
    nodes_.founded();
    for (int n = 0; n < call_.layout.edges; ++n)
      if (!ready(n)) return not_judged("edge " + std::to_string(n + 1) + " is not ready");
    began_ = steady_clock::now();
    clients_.start();
    operator_.start(day_.changes,
                    [this](std::vector<std::string> routes) { clients_.probe(std::move(routes)); });
    troubles();
    seen_.over = clock_.now();
    seen_.attempts = clients_.stop();
    seen_.versions = operator_.stop();
    seen_.version_read_back = operator_.read_back(kReadBack);
    if (stop_) return not_judged("it was told to end");
    return verdict();
  }

  struct Struck {  // a trouble whose processes aren't back yet
    const Trouble* trouble = nullptr;
    std::size_t first_span = 0, spans = 0;
    Moment next{};  // SIGCONT, or SIGKILL to what is still there
    std::vector<std::pair<std::string, int>> processes;
    std::vector<int> launches;
    bool followed_up = false;
  };

  static DayOptions day_options(const SoakCall& call, std::uint64_t seed) {
    DayOptions options = call.day;
    options.seed = seed;
    options.cores = call.layout.cores;
    options.edges = call.layout.edges;
    return options;
  }

  ProviderOptions provider_options() {
    ProviderOptions options;
    options.ledger.lag = static_cast<Micros>(call_.nodes.lag_ms) * 1000;
    options.ledger.rate_per_s = call_.nodes.rate_per_s;
    options.ledger.duty_per_s = call_.nodes.duty_per_s;
    options.ledger.page = 200;
    for (int n = 0; n < call_.day.workers; ++n)
      options.machines.push_back(
          {"w-" + std::to_string(n + 1), call_.layout.zone(n), call_.worker_memory_mb, kNever});
    // Few enough that those of instances that have ended are used again.
    options.addresses = call_.layout.instance_addresses();
    const auto most = static_cast<std::size_t>(call_.functions) * kAddressesPerFunction;
    options.addresses.resize(std::min(options.addresses.size(), most));
    options.work = kWork;
    options.work_of = operator_.slow_services();
    options.drain = static_cast<Micros>(call_.nodes.drain_ms) * 1000 + kServesOn;
    options.on_arrival = [this](const Arrival& arrival) { seen_.arrivals.push_back(arrival); };
    return options;
  }

  NodeOptions node_options() const {
    NodeOptions options = call_.nodes;
    options.folder = folder_;
    return options;
  }

  ClientOptions client_options() const {
    ClientOptions options;
    options.seed = seed_;
    options.per_s = call_.requests_per_s;
    options.host = OperatorDesk::host();
    options.routes = operator_.routes();
    options.bursts = day_.bursts;
    return options;
  }

  std::vector<Endpoint> fronts() const {
    std::vector<Endpoint> all;
    for (int n = 0; n < call_.layout.edges; ++n) all.push_back(call_.layout.front(n));
    return all;
  }

  bool ready(int edge) const {
    const auto until = steady_clock::now() + kReady;
    while (!stop_ && steady_clock::now() < until) {
      if (ask(call_.layout.readiness(edge), {"GET", "/api/readiness", {}, {}, {}}, Millis(500)).status == 200)
        return true;
      std::this_thread::sleep_for(Millis(50));
    }
    return false;
  }

  Verdict not_judged(const std::string& why) {
    std::cout << "seed " << seed_ << ": not judged: " << why << ", logs in " << folder_.string() << "\n"
              << std::flush;
    return Verdict::not_judged;
  }

  // --- the troubles of the day ---

  void troubles() {
    std::size_t next = 0;
    bool closed = false;
    while (!stop_ && steady_clock::now() < began_ + day_.length) {
      for (; next < day_.troubles.size() && steady_clock::now() >= began_ + day_.troubles[next].at; ++next)
        strike(day_.troubles[next]);
      if (!closed && steady_clock::now() >= began_ + day_.closing) {
        closed = true;
        close();
      }
      for (const auto& ended : nodes_.look_after()) note("ended: " + ended);
      follow_up();
      std::this_thread::sleep_for(kLook);
    }
  }

  void note(const std::string& text) {
    std::ofstream(folder_ / "day.log", std::ios::app) << clock_.now() / 1000 << " " << text << "\n";
  }

  static std::vector<const char*> programs(Target target) {
    if (target == Target::core) return {kController};
    if (target == Target::agent) return {kAgent};
    if (target == Target::proxy) return {kProxy};
    return {kAgent, kProxy};
  }

  // The machine that holds the duty, as most of the core say; the first where nobody does.
  int holder() const {
    std::map<std::string, int> said;
    for (int n = 0; n < call_.layout.cores; ++n) {
      const auto reply = ask(call_.layout.control(n), {"GET", "/api/status", {}, {}, {}}, Millis(200));
      const auto status = nlohmann::json::parse(reply.body, nullptr, false);
      if (status.is_object()) ++said[status.value("holder", "")];
    }
    said.erase("");
    int best = 0, most = 0;
    for (int n = 0; n < call_.layout.cores; ++n)
      if (const int count = said[call_.layout.core_ip(n)]; count > most) best = n, most = count;
    return best;
  }

  void strike(const Trouble& drawn) {
    // Kept for the run: what is struck is looked after by its address.
    Trouble& trouble = played_.emplace_back(drawn);
    if (trouble.target == Target::holder) {
      trouble.numbers = {holder()};
      trouble.target = Target::core;
    }
    note(describe(trouble));
    if (trouble.action == Action::drain) return drain(trouble);
    if (trouble.target == Target::instance) return strike_instances(trouble);
    if (trouble.target == Target::provider) return strike_provider(trouble);
    Struck struck;
    struck.trouble = &trouble;
    struck.first_span = seen_.troubles.size();
    struck.spans = trouble.numbers.size();
    struck.next = steady_clock::now() + trouble.lasts;
    if (trouble.action == Action::terminate)
      struck.next = steady_clock::now() + std::chrono::seconds(call_.nodes.grace_s);
    for (const int number : trouble.numbers) {
      seen_.troubles.push_back(span_of(trouble, number));
      for (const auto* program : programs(trouble.target)) {
        struck.processes.emplace_back(program, number);
        struck.launches.push_back(nodes_.launches(program, number));
        hit(trouble, program, number);
      }
    }
    if (trouble.action == Action::reload) return over(struck);
    struck_.push_back(std::move(struck));
  }

  TroubleSpan span_of(const Trouble& trouble, int number) const {
    TroubleSpan span;
    span.place = trouble.target == Target::core ? Place::core : Place::edge;
    span.number = number;
    span.from = clock_.now();
    span.to = kNever / 2;
    span.what = describe(trouble);
    span.restarts = trouble.action != Action::freeze && trouble.action != Action::reload;
    span.planned = trouble.action == Action::terminate || trouble.action == Action::reload;
    return span;
  }

  void hit(const Trouble& trouble, const char* program, int number) {
    const bool kills = trouble.action == Action::kill || trouble.action == Action::wipe;
    if (kills) nodes_.kill(program, number, trouble.lasts);
    if (trouble.action == Action::wipe) nodes_.empty_disk(number);
    const bool ends = trouble.action == Action::terminate || trouble.action == Action::interrupt;
    if (ends) nodes_.signal(program, number, SIGTERM);
    if (trouble.action == Action::freeze) nodes_.signal(program, number, SIGSTOP);
    if (trouble.action == Action::reload) nodes_.signal(program, number, SIGHUP);
  }

  void drain(const Trouble& trouble) {
    const Micros shown = clock_.now() + static_cast<Micros>(call_.nodes.lag_ms) * 1000;
    for (const int number : trouble.numbers)
      for (auto& id : stage_.drain("w-" + std::to_string(number + 1)))
        seen_.leaving.push_back({std::move(id), shown});
  }

  void strike_instances(const Trouble& trouble) {
    const auto kind = trouble.action == Action::reset       ? InstanceTrouble::reset
                      : trouble.action == Action::hold_back ? InstanceTrouble::hold_back
                                                            : InstanceTrouble::crash;
    const Micros now = clock_.now();
    const auto struck = stage_.strike(kind, trouble.share, micros(trouble.lasts),
                                      static_cast<std::uint64_t>(trouble.numbers.front()));
    seen_.troubles.push_back({Place::instances, 0, now, now + micros(trouble.lasts), describe(trouble)});
    for (const auto& id : struck) note("struck: " + id);
  }

  void strike_provider(const Trouble& trouble) {
    const auto kind = trouble.action == Action::refuse      ? ProviderTrouble::refuse
                      : trouble.action == Action::hold_back ? ProviderTrouble::hold_back
                                                            : ProviderTrouble::gone;
    const Micros now = clock_.now();
    stage_.strike_provider(kind, micros(trouble.lasts));
    seen_.troubles.push_back({Place::provider, 0, now, now + micros(trouble.lasts), describe(trouble)});
  }

  // What has been struck is thawed, told once more, killed after its grace, and seen coming back.
  void follow_up() {
    std::erase_if(struck_, [this](Struck& struck) {
      const auto action = struck.trouble->action;
      const bool due = steady_clock::now() >= struck.next && !std::exchange(struck.followed_up, true);
      for (std::size_t i = 0; due && i < struck.processes.size(); ++i) {
        const auto& [program, number] = struck.processes[i];
        if (action == Action::freeze) nodes_.signal(program, number, SIGCONT);
        if (action == Action::interrupt && nodes_.launches(program, number) == struck.launches[i])
          nodes_.signal(program, number, SIGTERM);
        if (action == Action::terminate && nodes_.launches(program, number) == struck.launches[i])
          nodes_.kill(program, number);
      }
      if (action == Action::freeze ? !struck.followed_up : !all_back(struck)) return false;
      over(struck);
      return true;
    });
  }

  bool all_back(const Struck& struck) {
    for (std::size_t i = 0; i < struck.processes.size(); ++i)
      if (nodes_.launches(struck.processes[i].first, struck.processes[i].second) == struck.launches[i])
        return false;
    return true;
  }

  void over(const Struck& struck) {
    for (std::size_t i = struck.first_span; i < struck.first_span + struck.spans; ++i)
      seen_.troubles[i].to = clock_.now();
  }

  // Every process is killed. After a loss of most of the core machines are in touch after twice the time.
  void close() {
    note("closing: every process is killed");
    const Micros now = clock_.now();
    const auto strike_all = [&](const char* program, int count, Place place) {
      for (int number = 0; number < count; ++number) {
        nodes_.kill(program, number, day_.closing_down);
        seen_.troubles.push_back({place, number, now, now + micros(day_.closing_down), "closing", true});
      }
    };
    strike_all(kController, call_.layout.cores, Place::core);
    strike_all(kAgent, call_.layout.edges, Place::edge);
    strike_all(kProxy, call_.layout.edges, Place::edge);
    seen_.closing_began = now;
    seen_.closing_over = now + micros(day_.closing_down);
    seen_.troubles.push_back({Place::core, 0, now,
                              seen_.closing_over + static_cast<Micros>(call_.nodes.contact_ms) * 1000,
                              "closing"});
  }

  // --- what came of it ---

  Verdict verdict() {
    Bounds bounds;
    bounds.contact = static_cast<Micros>(call_.nodes.contact_ms) * 1000;
    bounds.drain = static_cast<Micros>(call_.nodes.drain_ms) * 1000;
    bounds.apply = static_cast<Micros>(call_.nodes.apply_ms) * 1000;
    bounds.grace = call_.nodes.grace_s * kMicrosPerSecond;
    bounds.recovery = kRecovery;
    bounds.loss_slack = kLossSlack;
    bounds.revert_slack = kRevertSlack;
    bounds.retry_window = call_.nodes.retry_window_s * kMicrosPerSecond;
    bounds.retry_ratio = call_.nodes.retry_ratio;
    bounds.retry_slack = static_cast<int>(call_.nodes.retry_slack);
    bounds.max_tries = OperatorDesk::kMaxTries;
    bounds.shed_slack = kShedSlack;
    bounds.edges = call_.layout.edges;
    const auto served = std::count_if(seen_.attempts.begin(), seen_.attempts.end(),
                                      [](const Attempt& attempt) { return attempt.status == 200; });
    if (served == 0) return not_judged("nothing was served");
    const auto findings = judge(seen_, bounds);
    std::cout << "seed " << seed_ << ": " << seen_.attempts.size() << " requests, " << served << " served, "
              << day_.troubles.size() << " troubles, " << findings.size() << " broken\n";
    write_lateness();
    std::ofstream file(folder_ / "findings.log");
    std::map<std::string, int> shown;
    for (const auto& finding : findings) {
      const std::string line = std::to_string(finding.at / 1000) + " " + finding.rule + " " + finding.where +
                               ": " + finding.what + "\n";
      file << line;
      if (shown[finding.rule]++ < 3) std::cout << "  " << line;
    }
    if (!findings.empty()) std::cout << "  logs in " << folder_.string() << "\n";
    std::cout << std::flush;
    return findings.empty() ? Verdict::clean : Verdict::broken;
  }

  void write_lateness() {
    std::ofstream file(folder_ / "lateness.log");
    for (const auto& late : lateness(seen_))
      file << late.at / 1000 << " " << late.rule << " " << late.where << " late " << late.late / 1000
           << " calm " << late.calm / 1000 << " " << late.what << "\n";
  }

  const SoakCall& call_;
  std::uint64_t seed_;
  fs::path folder_;
  const std::atomic<bool>& stop_;
  Day day_;
  net::Clock clock_;
  Observations seen_;
  OperatorDesk operator_;
  Stage stage_;
  Nodes nodes_;
  Clients clients_;
  Moment began_{};
  std::vector<Struck> struck_;
  std::deque<Trouble> played_;
  std::atomic<bool> ended_ = false;
  std::thread quota_;
};

}  // namespace

int run_soak(const SoakCall& call, const std::atomic<bool>& stop) {
  const fs::path all = call.nodes.folder.empty()
                           ? fs::temp_directory_path() / ("woadridge-soak-" + std::to_string(::getpid()))
                           : fs::absolute(call.nodes.folder);
  int status = 0;
  for (int n = 0; n < call.runs && !stop; ++n) {
    const std::uint64_t seed = call.day.seed + static_cast<std::uint64_t>(n);
    const fs::path folder = all / ("seed-" + std::to_string(seed));
    fs::remove_all(folder);
    fs::create_directories(folder);
    const Verdict verdict = Run(call, seed, folder, stop).play();
    if (verdict == Verdict::clean && !call.keep) fs::remove_all(folder);
    if (verdict == Verdict::broken) status = std::max(status, 1);
    if (verdict == Verdict::not_judged) status = 2;
  }
  return status;
}

}  // namespace woadridge::lab::platform::soak
