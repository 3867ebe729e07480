#include "lab/platform/trial.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <thread>

#include "lab/platform/stage.h"

namespace woadridge::lab::platform {
namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;
using std::chrono::steady_clock;

constexpr Millis kConfigured{15'000};  // from the start: core machines found themselves first
constexpr Millis kReady{10'000};       // from then on
constexpr Millis kServed{10'000};      // a request, with further tries
constexpr Millis kLook{20};
constexpr int kDeadlineSent = 8'000;  // milliseconds

struct RouteLook {  // what the checks need of a route
  std::string host, prefix, service;
  bool mutating = false;
  std::uint32_t startup_ms = 0;
};

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error(path + ": cannot be read");
  return text.str();
}

std::vector<RouteLook> routes_of(const Json& configuration) {
  std::vector<RouteLook> all;
  for (const auto& route : configuration.at("routes")) {
    RouteLook look{route.at("host"), route.at("path-prefix"), route.at("service"),
                   route.at("kind") == "mutating"};
    for (const auto& service : configuration.at("services"))
      if (service.at("name") == look.service) look.startup_ms = service.at("startup-ms");
    all.push_back(std::move(look));
  }
  return all;
}

std::vector<Machine> machines(const Layout& layout, int workers, std::uint32_t memory_mb) {
  std::vector<Machine> all;
  for (int n = 0; n < workers; ++n) all.push_back({"w-" + std::to_string(n + 1), layout.zone(n), memory_mb});
  return all;
}

long long ms_since(Moment moment) {
  return std::chrono::duration_cast<Millis>(steady_clock::now() - moment).count();
}

bool wait_for(const std::function<bool()>& event, Millis limit, const std::atomic<bool>& stop) {
  const Moment end = steady_clock::now() + limit;
  while (!event()) {
    if (stop || steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kLook);
  }
  return true;
}

class Trial {
 public:
  Trial(const TrialCall& call, fs::path folder, const std::atomic<bool>& stop)
      : call_(call),
        stop_(stop),
        text_(read_file(call.configuration)),
        configuration_(Json::parse(text_)),
        routes_(routes_of(configuration_)),
        operator_(call.layout.controls(), stop),
        stage_(call.layout.provider(), provider_knobs(call), configuration_),
        nodes_(call.layout, node_knobs(call, folder)),
        folder_(std::move(folder)) {}

  int run() {
    nodes_.start();
    std::cout << call_.layout.cores << " core machines and " << call_.layout.edges << " edges, logs in "
              << folder_.string() << "\n"
              << std::flush;
    bool good = configure() && wait_for_edges();
    if (good && call_.check) good = check();
    if (good && !call_.check) stay();
    const auto faults = nodes_.end();
    for (const auto& fault : faults) std::cout << "at the end: " << fault << "\n";
    const bool whole = good && (!call_.check || faults.empty());
    if (call_.check) std::cout << (whole ? "all is as it should be\n" : "not as it should be\n");
    return whole ? 0 : 1;
  }

 private:
  static ProviderOptions provider_knobs(const TrialCall& call) {
    ProviderOptions options;
    options.ledger.lag = static_cast<Micros>(call.nodes.lag_ms) * 1000;
    options.ledger.rate_per_s = call.nodes.rate_per_s;
    options.ledger.duty_per_s = call.nodes.duty_per_s;
    options.machines = machines(call.layout, call.workers, call.memory_mb);
    options.addresses = call.layout.instance_addresses();
    options.work = static_cast<Micros>(call.work_ms * 1000);
    options.drain = static_cast<Micros>(call.nodes.drain_ms) * 1000;
    return options;
  }

  static NodeOptions node_knobs(const TrialCall& call, const fs::path& folder) {
    NodeOptions options = call.nodes;
    options.folder = folder;
    return options;
  }

  bool fault(const std::string& what) {
    std::cout << "FAULT: " << what << "\n" << std::flush;
    return false;
  }

  bool configure() {
    const auto sent = operator_.put(text_, kConfigured);
    if (sent.status != 200)
      return fault("the configuration was not acknowledged in " + std::to_string(sent.took.count()) +
                   " ms: status " + std::to_string(sent.status) + " " + sent.body);
    std::cout << "configuration acknowledged after " << sent.took.count() << " ms, " << sent.tries
              << (sent.tries == 1 ? " try\n" : " tries\n");
    const auto held = operator_.get(kConfigured);
    const Json back = Json::parse(held.body, nullptr, false);
    if (held.status != 200 || back.is_discarded()) return fault("no configuration comes back");
    // On a disk of an earlier trial a later version may be in force.
    if (back.at("version") == configuration_.at("version") && back != configuration_)
      return fault("the configuration that comes back is another");
    return true;
  }

  bool wait_for_edges() {
    for (int n = 0; n < call_.layout.edges; ++n) {
      const auto ready = [&] {
        return ask(call_.layout.readiness(n), {"GET", "/api/readiness", {}, {}, {}}, Millis(500)).status ==
               200;
      };
      if (!wait_for(ready, kReady, stop_)) return fault("edge " + std::to_string(n + 1) + " is not ready");
    }
    std::cout << "all edges are ready\n" << std::flush;
    return true;
  }

  std::string path(const RouteLook& route) const { return route.prefix + "first"; }

  std::string curl(const RouteLook& route, int edge) const {
    return "curl -i http://" + text_of(call_.layout.front(edge)) + path(route) + " -H 'Host: " + route.host +
           "' -H 'X-Woadridge-Attempt-Id: try-1' -H 'X-Woadridge-Deadline-Ms: 4000'" +
           (route.mutating ? " --data 'an order'" : "");
  }

  void stay() {
    std::cout << "\nTry:\n";
    for (const auto& route : routes_) std::cout << "  " << curl(route, 0) << "\n";
    std::cout << "  curl -i http://" << text_of(call_.layout.control(0)) << "/api/configuration\n"
              << "  curl -X PUT http://" << text_of(call_.layout.control(0)) << "/api/configuration --data @"
              << call_.configuration << "\n"
              << "  curl http://" << text_of(call_.layout.provider()) << "/instances\n"
              << "  curl http://" << text_of(call_.layout.provider())
              << "/stand-in/drain --data '{\"machine\":\"w-1\"}'\n"
              << "Ctrl-C ends all of it.\n"
              << std::flush;
    while (!stop_) {
      for (const auto& name : nodes_.look_after()) std::cout << name << ", starts again\n" << std::flush;
      std::this_thread::sleep_for(kLook);
    }
    std::cout << "ending\n" << std::flush;
  }

  struct Call {
    Reply reply;
    std::string attempt;  // of the last try
    int tries = 0;
    long long first_ms = 0;  // since the first try began
    std::string before;      // what became of the tries before the last
  };

  // As a client does: with a new attempt id for each try, and only where the answer allows one.
  Call send(const RouteLook& route, int edge) {
    Call call;
    const Moment began = steady_clock::now();
    Question question;
    question.method = route.mutating ? "POST" : "GET";
    question.target = path(route);
    question.host = route.host;
    if (route.mutating) question.body = "an order";
    for (;;) {
      call.attempt = "check-" + std::to_string(++attempts_);
      ++call.tries;
      question.headers = {{kAttemptId, call.attempt}, {kDeadlineMs, std::to_string(kDeadlineSent)}};
      const Moment now = steady_clock::now();
      call.reply = ask(call_.layout.front(edge), question, kServed);
      call.first_ms = ms_since(began);
      const bool again = call.reply.status == 503 || call.reply.status == 429;
      if (!again || stop_ || Millis(call.first_ms) >= kServed) return call;
      char refusal[96];
      std::snprintf(refusal, sizeof refusal, "; %d after %lld ms, to come back in %.2f s", call.reply.status,
                    ms_since(now), call.reply.retry_after_s);
      call.before += refusal;
      std::this_thread::sleep_for(
          std::max(kLook, Millis(static_cast<long long>(call.reply.retry_after_s * 1000))));
    }
  }

  bool served(const char* what, const RouteLook& route, int edge, Call& call) {
    call = send(route, edge);
    const std::string line = std::string(what) + " " + (route.mutating ? "POST" : "GET") + " at edge " +
                             std::to_string(edge + 1) + " for " + route.service;
    if (call.reply.status != 200)
      return fault(line + ": status " + std::to_string(call.reply.status) + " after " +
                   std::to_string(call.first_ms) + " ms, " + std::to_string(call.tries) + " tries" +
                   call.before + ": " + call.reply.body);
    std::cout << line << ": " << call.first_ms << " ms" << call.before << "\n" << std::flush;
    const Json body = Json::parse(call.reply.body, nullptr, false);
    if (!body.is_object() || body.value("function", "") != route.service ||
        body.value("path", "") != path(route))
      return fault("the body is not of " + route.service + ": " + call.reply.body);
    if (call.reply.attempt != call.attempt) return fault("the answer names another attempt");
    if (call.reply.seal != seal_of(body.value("instance", ""), call.attempt, call.reply.body))
      return fault("the seal does not fit the body");
    if (const int runs = stage_.look().deeds.runs[call.attempt]; runs != 1)
      return fault("it ran " + std::to_string(runs) + " times");
    return true;
  }

  bool check() {
    const auto mutating = std::find_if(routes_.begin(), routes_.end(), [](auto& r) { return r.mutating; });
    if (mutating == routes_.end() ||
        std::all_of(routes_.begin(), routes_.end(), [](auto& r) { return r.mutating; }))
      return fault("the configuration needs a route of each kind");
    for (const auto& route : routes_)
      if (!route.mutating && !check_function(route)) return false;
    const int last = call_.layout.edges - 1;
    Call posted;
    if (!served("a", *mutating, last, posted)) return false;
    const auto nowhere = ask(call_.layout.front(0),
                             {"GET", "/nowhere/", "nobody.example", {{kAttemptId, "check-0"}}, {}}, kServed);
    if (nowhere.status != 404) return fault("a request without route got " + std::to_string(nowhere.status));
    const auto cut = operator_.put(text_.substr(0, text_.size() / 2), kServed);
    if (cut.status < 400 || cut.status >= 500)
      return fault("half a configuration got " + std::to_string(cut.status));
    return check_change() && provider_is_content();
  }

  // One core machine is killed, where the others are a majority, and a new route comes into force.
  bool check_change() {
    if (call_.layout.cores >= 3) nodes_.kill(kController, 0);
    Json changed = configuration_;
    const int version = changed.at("version").get<int>() + 1;
    changed["version"] = version;
    Json route = changed.at("routes").at(0);
    const std::string prefix = "/added-" + std::to_string(version) + "/";
    route["name"] = prefix;
    route["path-prefix"] = prefix;
    changed["routes"].push_back(route);
    const auto sent = operator_.put(changed.dump(), kConfigured);
    if (sent.status != 200)
      return fault("the change was not acknowledged: status " + std::to_string(sent.status));
    const Moment acknowledged = steady_clock::now();
    const RouteLook added = routes_of(changed).back();
    for (int edge = 0; edge < call_.layout.edges; ++edge) {
      Call call;
      const auto there = [&] { return (call = send(added, edge)).reply.status != 404; };
      if (!wait_for(there, kReady, stop_) || call.reply.status != 200)
        return fault("the new route at edge " + std::to_string(edge + 1) + ": status " +
                     std::to_string(call.reply.status));
    }
    std::cout << (call_.layout.cores >= 3 ? "with a core machine killed, " : "")
              << "a new route is acknowledged after " << sent.took.count() << " ms, served by all edges "
              << ms_since(acknowledged) << " ms later\n"
              << std::flush;
    const auto held = operator_.get(kConfigured);
    if (Json::parse(held.body, nullptr, false) != changed)
      return fault("the change does not come back as sent");
    const auto back = [&] {
      const auto ended = nodes_.look_after();
      return ended.empty() &&
             ask(call_.layout.control(0), {"GET", "/api/status", {}, {}, {}}, Millis(500)).status == 200;
    };
    return wait_for(back, kReady, stop_) || fault("the killed core machine does not come back");
  }

  // Its first request waits for a start; those that follow don't, at whichever edge.
  bool check_function(const RouteLook& route) {
    Call call;
    if (!served("first", route, 0, call)) return false;
    for (const int edge : {0, call_.layout.edges - 1}) {
      if (!served("next", route, edge, call)) return false;
      if (call.first_ms >= static_cast<long long>(route.startup_ms))
        return fault("it took as long as a start");
    }
    return true;
  }

  bool provider_is_content() {
    const auto look = stage_.look();
    std::cout << "provider: " << look.tally.reads << " reads of lists, " << look.tally.begins << " starts, "
              << look.tally.stops << " stops, " << look.tally.too_many
              << " calls over the rate; instances turned " << look.deeds.full << " requests away as full\n";
    if (look.tally.fenced > 0) return fault("calls with an old fence token");
    if (look.deeds.full > 0) return fault("instances got more than their concurrency");
    return true;
  }

  const TrialCall& call_;
  const std::atomic<bool>& stop_;
  std::string text_;
  Json configuration_;
  std::vector<RouteLook> routes_;
  Operator operator_;
  Stage stage_;
  Nodes nodes_;
  fs::path folder_;
  int attempts_ = 0;
};

}  // namespace

int run_trial(const TrialCall& call, const std::atomic<bool>& stop) {
  const bool own = call.nodes.folder.empty();
  const fs::path folder = own ? fs::temp_directory_path() / ("woadridge-try-" + std::to_string(::getpid()))
                              : fs::absolute(call.nodes.folder);
  int status = 0;
  {
    Trial trial(call, folder, stop);
    status = trial.run();
  }
  if (own && status == 0) fs::remove_all(folder);  // else the logs are of use
  return status;
}

}  // namespace woadridge::lab::platform
