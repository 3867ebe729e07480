// The whole interface of the decision module: settings and events go in, actions come out.
// No I/O, no clock: the caller hands every event over together with its time.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace woadridge {

using Micros = std::int64_t;  // a point in time or a span, in whole microseconds
using RequestId = std::uint64_t;
using WorkerId = std::string;

enum class Effect { safe, keyed, unsafe };          // may a request be repeated?
enum class Scope { all, zone, group };              // which workers drop a keyed repeat
enum class ReportSource { none, answers, probes };  // how load reports reach the dispatcher
enum class Weights { none, nominal, rough, live };  // what the list's weights are; live: see WorkerInfo
enum class ListMode { pushed, asked };              // how the list of workers reaches it
enum class Phase { serving, draining, gone };       // a worker's state in the list
enum class ListKind { changes, full, remembered, failed };  // what a list event holds
enum class Result { ok, error, rejected, full, timed_out, no_connection, broken, cancelled, never_sent };

struct ClassSettings {
  std::string name;
  Effect effect = Effect::safe;
  Scope scope = Scope::all;
  Micros memory = 0;      // how long the group remembers a key, from the earliest send
  Micros aim = 0;         // full worth up to here ...
  double stretch = 0;     // ... plus so many times the request's own work
  Micros deadline = 0;    // the client's whole patience
  double late_worth = 0;  // share of the worth earned after the aim
  double worth = 1;
  std::string worker_kind;  // the only kind that can run it; empty: any
  int max_attempts = 0;     // 0: the settings' own
  bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
  std::string name;
  double share = 0;        // its part of the service
  double quota_per_s = 0;  // its requests per second over all dispatchers
  bool operator==(const TenantSettings&) const = default;
};

struct Settings {
  std::uint64_t seed = 0;
  int fleet_size = 1;  // how many dispatchers share the workers
  std::string zone;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_share_worth = 1;
  ListMode list_mode = ListMode::pushed;
  Weights weights = Weights::nominal;
  ReportSource reports = ReportSource::none;
  bool tells_taken = false;   // workers say at once that they have a job
  bool tells_start = false;   // workers say when a job starts
  bool tells_slots = false;   // the list says what each worker holds at once, see WorkerInfo
  Micros progress_every = 0;  // and how far it is; 0: never
  Micros tick = 0;            // the least time between two events
  int max_attempts = 1;
  bool may_cancel = false;
  bool may_probe = false;
  bool may_copy = false;  // two attempts of one request may be out together
  bool may_tell = false;  // dispatchers may send one another short messages
  bool may_hold_off = false;
  Micros max_hold_off = 0;
  Micros connect_timeout = 0;
  Micros drain_grace = 0;
  Micros must_ask_in = 0;  // asked lists: older news count as told; 0: never
  double cold_from = 1;    // a started worker has at least this share of its capacity
  Micros warm_after = 0;   // and is warm after this long
  double overload_factor = 0;
  Micros overload_span = 0;
  bool operator==(const Settings&) const = default;
};

struct Report {  // a worker's word on its load: late and a little noisy
  std::optional<double> free_slots;
};

struct WorkerInfo {
  WorkerId id;
  std::string kind;
  std::string zone;
  std::int64_t group = 0;
  double size = 1;     // live weights: the nominal size divided by 1 + requests held a core
  Micros started = 0;  // time of the last start; 0: long ago
  Phase phase = Phase::serving;
  double slots = 0;  // what it is known to hold at once, never exceeded by own jobs; 0: not told
};

struct Start {
  Settings settings;
};
struct Change {  // other settings for a dispatcher that runs; its seed stays. A whole list follows.
  Settings settings;
};
struct Stop {};  // killed: everything is forgotten
struct Ending {  // to be killed: what is open then must be answered at that time
  Micros at = 0;
};
struct Beside {         // another process of this same dispatcher: to the rules they are one
  bool began = false;   // it was there when this one began
  bool shares = false;  // it is there and has not let go of the clients: it may send workers something
  bool serves = false;  // it takes clients
};
struct Maintain {  // staff take a worker out, or put it back as one that has just started, whatever the list
                   // says
  WorkerId worker;
  bool out = false;
};
struct WorkerList {
  ListKind kind = ListKind::full;
  std::vector<WorkerInfo> workers;
};
struct Arrival {
  RequestId id = 0;
  std::string class_name;
  std::string tenant;
  Micros time_left = 0;        // until the client gives this try up
  std::optional<Micros> hint;  // expected work, on a standard core
  double slots = 1;
  std::optional<std::uint64_t> key;  // what the job is about: workers keep what such jobs need for a while
  bool repeated = false;             // the client says that it has asked before
  bool crowded = false;              // the dispatcher has no descriptor to hold it with
};
struct Outcome {
  RequestId id = 0;
  int attempt = 0;
  WorkerId worker;
  Result result = Result::ok;
  bool finished = false;  // the client has its final answer
  Report report;
};
struct Taken {  // the worker has it, started or not
  RequestId id = 0;
  int attempt = 0;
};
struct Started {
  RequestId id = 0;
  int attempt = 0;
};
struct Progress {
  RequestId id = 0;
  int attempt = 0;
  double done = 0;  // share of the job
};
struct ClientLeft {
  RequestId id = 0;
};
struct Probed {
  WorkerId worker;
  Micros age = 0;
  bool ok = false;
  Report report;
};
struct PeerTold {  // another dispatcher's message, late if it comes at all
  int peer = 0;    // its number
  std::string bytes;
};
struct TimerFired {
  std::uint64_t token = 0;
};
using Event = std::variant<Start, Change, Stop, Ending, Beside, Maintain, WorkerList, Arrival, Outcome, Taken,
                           Started, Progress, ClientLeft, Probed, PeerTold, TimerFired>;

struct Send {
  RequestId id = 0;
  WorkerId worker;
  Micros timeout = 0;  // 0: until the client gives up
};
struct Refuse {
  RequestId id = 0;
  Micros hold_off = 0;  // 0: no advice
};
struct Fail {
  RequestId id = 0;
};
struct Cancel {
  RequestId id = 0;
  int attempt = 0;
};
struct Probe {
  WorkerId worker;
};
struct Tell {  // all other dispatchers
  std::string bytes;
};
struct Subscribe {};
struct SetTimer {
  Micros at = 0;
  std::uint64_t token = 0;
};
struct Remark {
  std::string text;
};
using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, Tell, Subscribe, SetTimer, Remark>;

class Dispatcher {
 public:
  Dispatcher() = default;
  Dispatcher(Dispatcher&&) noexcept = default;
  Dispatcher& operator=(Dispatcher&&) noexcept = default;
  // Takes one event at its time and appends what is to be done about it.
  void handle(Micros now, const Event& event, std::vector<Action>& out);
  std::size_t avoided(Micros now) const;  // listed workers that serve and get nothing from it at that time

 private:
  struct State;
  std::shared_ptr<State> state_;  // one owner; shared_ptr needs no complete type here
};

}  // namespace woadridge
