// What an experiment plays: the fleet, the list, the traffic, the troubles, as read from a TOML scenario.
// docs/operations/lab.md describes every key. Spans are microseconds; points in time count from the run's
// start.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "decide.h"
#include "lab/random.h"

namespace woadridge::lab {

enum class Policy { module, unhinted, random, round_robin, least_of_two, least, central, central_split };

struct ClassSpec {
  ClassSettings rules;  // name, effect, scope, memory, aim, stretch, deadline, worths
  double share = 1;     // of the requests
  Sizes size;
};

struct TenantSpec {
  std::string name;
  double share = 1;
};

struct KindSpec {
  std::string name = "box";
  double share = 1;
  int slots = 2;  // jobs that run at a time, each at the full speed of a core
  double speed_low = 1;
  double speed_high = 1;
};

struct FleetSpec {
  int workers = 10;
  std::vector<std::string> zones{"a"};
  int group_size = 3;
  std::vector<KindSpec> kinds;
  int queue = 100;  // jobs that wait at a worker; beyond, they are turned away
  double cold_from = 0.35;
  Micros warm_after = 8'000'000;
  double overload_factor = 2.5;  // 0: a cold worker never falls
  Micros overload_for = 2'000'000;
  bool cancel_stops = false;  // a closed connection stops the job that runs ...
  bool cancel_drops = false;  // ... and drops the one that waits
  bool tells_start = true;
  Micros progress_every = 1'000'000;
  bool reports = false;        // free slots come with each answer
  Micros connection_work = 0;  // what a new connection costs the worker
  bool small_writes = false;   // on sockets: each piece is written alone and waits for acknowledgements
};

struct ListSpec {
  bool watched = true;  // else the whole list is had every `poll_every`
  Micros poll_every = 2'000'000;
  Micros lag_low = 200'000;  // from a change to its news at a dispatcher
  Micros lag_high = 2'000'000;
  Micros notice = 1'000'000;  // from a worker's death to its entry's
};

struct NetworkSpec {
  Micros local = 50;  // one way, between a client and the dispatcher beside it
  Micros near = 250;  // one way, within a zone
  Micros far = 1'500;
  double jitter = 0.2;  // up to so much more, as a share
  Micros connect_timeout = 250'000;
};

struct Step {  // from `at` on traffic is `factor` times the usual
  Micros at = 0;
  double factor = 1;
};

struct TraceRow {  // one recorded request; docs/operations/lab.md has the CSV's columns
  Micros at = 0;
  int class_index = 0;
  int tenant_index = 0;
  Micros work = 0;
  Micros hint = 0;  // 0: none
};

struct TrafficSpec {
  double load = 0.6;  // of what the healthy fleet can do, if no rate is told
  double rate = 0;    // requests a second over all dispatchers
  double skew = 0;    // exponent of a Zipf law over the dispatchers' traffic; 0: all alike
  std::vector<Step> steps;
  Micros daily_period = 0;
  double daily_depth = 0;
  std::vector<TraceRow> trace;
  double hint_sigma = 0.3;  // of the logarithm of hint over work; 0: exact
  double hint_missing = 0;  // share of requests without one
  double hint_useless = 0;  // share whose hint is that of another request
};

struct ClientSpec {
  int retries = 3;
  Micros retry_wait = 0;  // before the first retry; `backoff` times as long before each further one
  double backoff = 1;
  double jitter = 0;    // each wait up to so much longer, as a share
  bool heeds = false;   // Retry-After
  bool marks = false;   // Client-Retry
  int connections = 0;  // at a time, for each dispatcher; 0: as many as needed
};

struct LimitSpec {
  int max_attempts = 5;
  bool may_cancel = true;
  bool may_copy = true;
  Micros max_hold_off = 2'000'000;
  Micros drain_grace = 1'500'000;
  Micros tick = 2'000;
};

enum class TroubleKind {
  die,
  hang,
  slow,
  reset,
  trickle,
  refuse,
  silent,
  fail,
  drain,
  partition,
  list_outage,
  release,
  flood,
  burst,
  kill_dispatcher,
  restart_dispatcher,
  reload_dispatcher  // SIGHUP, with the list at another address; on sockets only
};

struct Trouble {
  TroubleKind kind = TroubleKind::die;
  Micros at = 0;
  Micros span = 0;               // how long it lasts, or a dead process stays away
  double share = 0;              // of the fleet (or of the dispatchers), picked by the seed ...
  std::string worker;            // ... or one by name ...
  std::string zone;              // ... or a zone's ...
  int group = -1;                // ... or a group's
  double factor = 3;             // slow: times slower; flood, burst: times the usual
  std::string tenant;            // flood
  Micros drain_for = 3'000'000;  // release: from the drain to the end of the old process
  double batch = 0.2;            // release: share of the fleet at a time
};

struct Scenario {
  std::string name;
  std::string about;
  std::uint64_t seed = 1;
  Micros length = 30'000'000;
  Policy policy = Policy::module;
  std::vector<Policy> baselines;  // played on the same arrivals and set beside the policy
  int dispatchers = 3;
  FleetSpec fleet;
  ListSpec list;
  NetworkSpec network;
  TrafficSpec traffic;
  ClientSpec clients;
  LimitSpec limits;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  std::vector<Trouble> troubles;

  double mean_work() const;  // microseconds a request
};

struct Fault {
  std::string where;  // file:line:col
  std::string what;   // what is wrong, and what was expected
};

using Setting = std::pair<std::string, std::string>;  // dotted key and its value in TOML

// Reads a scenario; `settings` replace or add keys (a.b.0.c counts through arrays). All faults are told, in
// the order of the file. Files that the scenario names are looked up beside it.
std::variant<Scenario, std::vector<Fault>> read_scenario(const std::string& text, const std::string& file,
                                                         const std::vector<Setting>& settings = {});
std::variant<Scenario, std::vector<Fault>> load_scenario(const std::string& file,
                                                         const std::vector<Setting>& settings = {});
const char* name_of(Policy policy);
const char* name_of(TroubleKind kind);
Settings settings_for(const Scenario& scenario, const std::string& zone, std::uint64_t seed);

}  // namespace woadridge::lab
