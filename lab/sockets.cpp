#include "lab/sockets.h"

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <iostream>
#include <thread>

#include "lab/client_driver.h"
#include "lab/fleet_server.h"
#include "lab/process.h"

namespace woadridge::lab {
namespace {

constexpr Micros kReadyIn = 15'000'000;  // dispatchers that don't serve by then never will
constexpr Micros kComeUpIn = 2'000'000;  // for a start, and for a call of the list with its wait before
constexpr Micros kLookEvery = 5'000;     // the loop's own lag is measured so often
constexpr Micros kSampleEvery = 1'000'000;
constexpr Micros kKillAfter = 4'000'000;  // a planned restart: from SIGTERM to SIGKILL

class Stage {
 public:
  Stage(const Scenario& scenario, const SocketsOptions& options)
      : scenario_(scenario),
        options_(options),
        strand_(io_.get_executor()),
        looker_(strand_),
        sampler_(strand_) {}

  SocketsResult play() {
    const auto count = static_cast<std::size_t>(scenario_.dispatchers);
    // The dispatchers come up first: the troubles' times count from when the clients begin.
    begin_ = clock_.now() + kComeUpIn + scenario_.list.lag_high + static_cast<Micros>(count) * 60'000;
    server_ = std::make_unique<FleetServer>(
        strand_, clock_, scenario_, begin_, [this](auto id, auto) { return facts(id); },
        scenario_.dispatchers);
    server_->run();
    for (std::size_t d = 0; d < count; ++d) {
      listens_.push_back({"127.0.0.1", free_port()});
      processes_.push_back(std::make_unique<Process>());
      doors_.push_back(0);
      drivers_.push_back(std::make_unique<ClientDriver>(
          strand_, clock_, scenario_, static_cast<DispatcherId>(d), begin_, listens_.back()));
      start_process(d);
    }
    std::jthread runner([this] { io_.run(); });
    const auto work = boost::asio::make_work_guard(io_);
    if (!wait_ready()) {
      result_.no_verdict = "a dispatcher did not serve in time: see its log";
    } else {
      boost::asio::post(strand_, [this] { go(); });
      wait_end();
    }
    boost::asio::post(strand_, [this] { finish(); });
    while (!finished_) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    io_.stop();
    runner.join();
    collect();
    return std::move(result_);
  }

 private:
  std::optional<JobFacts> facts(std::string_view id) {
    const auto request = request_of(id);
    if (!request || *request >> 40 == 0 || Clients::dispatcher_of(*request) >= drivers_.size())
      return std::nullopt;
    const DispatcherId d = Clients::dispatcher_of(*request);
    const Wish* wish = drivers_[d]->clients().wish_of(*request);
    if (wish == nullptr) return std::nullopt;
    return JobFacts{*request, d, wish->key, wish->class_index, wish->work};
  }

  std::string path(std::size_t d, const char* ending) const {
    return options_.folder + "/dispatcher-" + std::to_string(d) + ending;
  }

  void write_config(std::size_t d) {
    const auto id = static_cast<DispatcherId>(d);
    std::ofstream(path(d, ".json")) << dispatcher_config(scenario_, id, net::to_text(listens_[d]),
                                                         net::to_text(server_->list_address(id, doors_[d])));
  }

  void start_process(std::size_t d) {
    write_config(d);
    processes_[d]->start(options_.dispatcher, path(d, ".json"), path(d, ".log"));
  }

  bool wait_ready() {
    const Micros until = clock_.now() + kReadyIn;
    for (std::size_t d = 0; d < listens_.size(); ++d)
      while (!healthy(listens_[d])) {
        if (clock_.now() > until || !processes_[d]->running()) return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    return clock_.now() <= begin_ || late_start();
  }

  bool late_start() {  // slower than allowed for: the first second would be a burst
    result_.no_verdict = "the dispatchers came up too slowly";
    return true;
  }

  void go() {
    for (auto& driver : drivers_) driver->run();
    plan_troubles();
    look();
    sample();
  }

  void at(Micros when, std::function<void()> what) {
    auto timer = std::make_shared<net::Timer>(strand_);
    timer->expires_after(std::chrono::microseconds(std::max<Micros>(0, when - clock_.now())));
    timer->async_wait([this, timer, what = std::move(what)](net::Fault fault) {
      if (!fault && !finished_) what();
    });
  }

  void plan_troubles() {
    const auto struck = struck_dispatchers(scenario_);
    for (std::size_t i = 0; i < struck.size(); ++i) {
      const Trouble& t = scenario_.troubles[i];
      for (const std::size_t d : struck[i]) {
        if (t.kind == TroubleKind::reload_dispatcher) at(begin_ + t.at, [this, d] { reload(d); });
        else if (t.kind == TroubleKind::kill_dispatcher) at(begin_ + t.at, [this, d, t] { kill(d, t.span); });
        else at(begin_ + t.at, [this, d, t] { end(d, t.span); });
      }
    }
  }

  void reload(std::size_t d) {
    doors_[d] = 1 - doors_[d];
    write_config(d);
    processes_[d]->signal(SIGHUP);
  }

  void kill(std::size_t d, Micros away) {
    drivers_[d]->dispatcher_killed();
    processes_[d]->end(SIGKILL);
    at(clock_.now() + away, [this, d] { restart(d); });
  }

  // A planned restart: the process ends by itself, or is killed when it doesn't.
  void end(std::size_t d, Micros away) {
    processes_[d]->signal(SIGTERM);
    wait_gone(d, clock_.now() + kKillAfter, away);
  }

  void wait_gone(std::size_t d, Micros until, Micros away) {
    at(clock_.now() + 20'000, [this, d, until, away] {
      if (!processes_[d]->running()) return at(clock_.now() + away, [this, d] { restart(d); });
      if (clock_.now() > until) return kill(d, away);
      wait_gone(d, until, away);
    });
  }

  void restart(std::size_t d) {
    server_->dispatcher_restarted(static_cast<DispatcherId>(d));
    drivers_[d]->dispatcher_started();
    start_process(d);
  }

  void look() {
    const Micros wanted = clock_.now() + kLookEvery;
    looker_.expires_after(std::chrono::microseconds(kLookEvery));
    looker_.async_wait([this, wanted](net::Fault fault) {
      if (fault || finished_) return;
      result_.worst_lag = std::max(result_.worst_lag, clock_.now() - wanted);
      look();
    });
  }

  void sample() {
    const Micros since = clock_.now() - begin_;
    sampler_.expires_after(std::chrono::microseconds(
        std::max<Micros>(1, begin_ + (since / kSampleEvery + 1) * kSampleEvery - clock_.now())));
    sampler_.async_wait([this](net::Fault fault) {
      if (fault || finished_) return;
      take_sample();
      sample();
    });
  }

  void take_sample() {
    const Micros now = clock_.now();
    for (std::size_t d = 0; d < processes_.size(); ++d) {
      ProcessSample p;
      double cpu = 0;
      if (!processes_[d]->look(cpu, p.memory_mb, p.descriptors)) continue;
      p.name = "n" + std::to_string(d);
      p.at = now - begin_;
      p.cpu = cpu / static_cast<double>(kSampleEvery);
      result_.played.processes.push_back(std::move(p));
    }
    if (now - begin_ >= scenario_.length) return;
    Sample s;
    const Fleet& fleet = server_->fleet();
    for (WorkerIndex w = 0; w < fleet.facts().size(); ++w) {
      s.jobs.push_back(static_cast<std::int16_t>(std::min(fleet.jobs_at(w), 32'000)));
      s.doing.push_back(fleet.doing(now, w));
    }
    result_.played.result.samples.push_back(std::move(s));
  }

  void wait_end() {
    Micros longest = 0;
    for (const auto& c : scenario_.classes) longest = std::max(longest, c.rules.deadline);
    const Micros last = begin_ + scenario_.length + (scenario_.clients.retries + 1) * longest;
    bool over = false;
    while (!over && clock_.now() < last) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      if (options_.stop != nullptr && *options_.stop) {
        result_.played.result.partial = true;
        return;
      }
      if (options_.progress)
        options_.progress(std::clamp(
            static_cast<double>(clock_.now() - begin_) / static_cast<double>(scenario_.length), 0.0, 1.0));
      if (clock_.now() < begin_ + scenario_.length) continue;
      std::atomic<int> answer = -1;
      boost::asio::post(strand_, [&] {
        answer = std::all_of(drivers_.begin(), drivers_.end(), [](auto& d) { return d->idle(); }) ? 1 : 0;
      });
      while (answer < 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
      over = answer == 1;
    }
  }

  void finish() {
    ended_at_ = clock_.now();
    looker_.cancel();
    sampler_.cancel();
    for (auto& driver : drivers_) driver->stop();
    server_->stop();
    finished_ = true;
  }

  void collect() {
    for (auto& p : processes_) p->end(SIGTERM);
    RunResult& r = result_.played.result;
    r.records = std::move(server_->fleet().records());
    for (auto& driver : drivers_) {
      const auto& asks = driver->clients().asks();
      r.records.asks.insert(r.records.asks.end(), asks.begin(), asks.end());
    }
    r.records.told = server_->told();
    if (r.partial) r.records.end = ended_at_;
    result_.played.label = "dispatcher on sockets";
    if (server_->strangers() > 0) result_.no_verdict = "a worker got a request that no client sent";
    if (result_.worst_lag > kLagBound && result_.no_verdict.empty())
      result_.no_verdict = "the lab itself was late by " + std::to_string(result_.worst_lag / 1000) +
                           " ms, " + std::to_string(kLagBound / 1000) + " ms at most";
    result_.played.verdict = judge(rules_for(scenario_, kLagBound), r.records);
  }

  const Scenario& scenario_;
  const SocketsOptions& options_;
  boost::asio::io_context io_{1};
  net::Strand strand_;
  net::Clock clock_;
  net::Timer looker_, sampler_;
  Micros begin_ = 0;
  Micros ended_at_ = 0;
  std::unique_ptr<FleetServer> server_;
  std::vector<net::Address> listens_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::unique_ptr<ClientDriver>> drivers_;
  std::vector<int> doors_;
  SocketsResult result_;
  std::atomic<bool> finished_ = false;
};

const char* effect_word(Effect e) {
  return e == Effect::safe ? "repeatable" : e == Effect::keyed ? "by_key" : "once";
}
const char* scope_word(Scope s) {
  return s == Scope::all ? "all" : s == Scope::zone ? "zone" : "cell";
}

}  // namespace

SocketsResult run_sockets(const Scenario& scenario, const SocketsOptions& options) {
  return Stage(scenario, options).play();
}

std::string dispatcher_config(const Scenario& s, DispatcherId d, const std::string& listen,
                              const std::string& discovery) {
  const Settings set = settings_for(s, zone_of(s, d), 0);
  Json settings{{"az", set.zone},   {"zones", s.fleet.zones},   {"fleet-size", set.fleet_size},
                {"tick", set.tick}, {"membership-mode", "ask"}, {"over-share-worth", set.over_share_worth}};
  for (const auto& k : s.fleet.kinds) settings["kinds"].push_back(k.name);
  for (const auto& c : set.classes) {
    settings["grades"].push_back({{"name", c.name},
                                  {"effect", effect_word(c.effect)},
                                  {"key-scope", scope_word(c.scope)},
                                  {"memory-span", c.memory},
                                  {"target", c.aim},
                                  {"hard-limit", c.deadline},
                                  {"late-worth", c.late_worth},
                                  {"worth", c.worth}});
    settings["domain"]["class-stretch"].push_back(c.stretch);
    settings["domain"]["class-kind"].push_back(-1);
  }
  for (const auto& t : set.tenants)
    settings["accounts"].push_back({{"name", t.name}, {"share", t.share}, {"quota-per-s", t.quota_per_s}});
  settings["domain"]["tells-start"] = set.tells_start;
  settings["domain"]["progress"] = set.progress_every;
  settings["limits"] = {{"dial-timeout", set.connect_timeout}, {"conn-idle", 30'000'000},
                        {"max-attempts", set.max_attempts},    {"cancelling", set.may_cancel},
                        {"second-copies", set.may_copy},       {"retry-after", set.may_hold_off},
                        {"max-retry-after", set.max_hold_off}, {"probes", false}};
  settings["obligations"] = {{"cold-from", set.cold_from},
                             {"warm-after", set.warm_after},
                             {"drain-grace", set.drain_grace},
                             {"must-ask-in", set.must_ask_in},
                             {"overload-factor", set.overload_factor},
                             {"overload-for", set.overload_span}};
  settings["load-info"] = {{"via", "none"}, {"fields", Json::array()}};
  char seed[20];
  std::snprintf(seed, sizeof seed, "%016llx",
                static_cast<unsigned long long>(hash_of("dispatcher", s.seed + d)));
  Json config{{"name", "n" + std::to_string(d)},
              {"listen", listen},
              {"discovery", discovery},
              {"seed", seed},
              {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}}};
  config["known"] = {{"index", 0}, {"snapshot", true}, {"endpoints", Json::array()}};  // it asks
  config["settings"] = std::move(settings);
  return config.dump(1) + "\n";
}

int keep_fleet(const FleetCall& call, const std::atomic<bool>& stop) {
  Scenario s;
  s.classes.emplace_back().rules.name = "any";
  s.tenants.push_back({"any", 1});
  s.dispatchers = 1;
  s.fleet.workers = call.workers;
  s.fleet.zones = {"here"};
  s.fleet.kinds = {{"toy", 1, call.slots, 1, 1}};
  s.fleet.small_writes = call.small_writes;
  s.list.lag_low = s.list.lag_high = 1'000;
  boost::asio::io_context io{1};
  const net::Strand strand(io.get_executor());
  const net::Clock clock;
  RequestId last = 0;
  // Any request is served: it runs as long as the call says. A repeated key is dropped for a quarter of a
  // minute.
  s.classes[0].rules.effect = Effect::keyed;
  s.classes[0].rules.memory = 15'000'000;
  FleetServer server(
      strand, clock, s, clock.now(),
      [&](std::string_view, std::string_view key) {
        return JobFacts{++last, 0, key.empty() ? 0 : hash_of(key, 1) | 1, 0, static_cast<double>(call.work)};
      },
      1, call.list_port, call.first_worker_port);
  server.run();
  std::cout << "list on " << net::to_text(server.list_address(0, 0)) << ", " << call.workers
            << " workers from " << net::to_text(server.worker_address(0)) << ", " << call.work / 1000
            << " ms a job\n"
            << std::flush;
  while (!stop) io.run_for(std::chrono::milliseconds(100));
  server.stop();
  return 0;
}

}  // namespace woadridge::lab
