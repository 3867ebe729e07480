// Which instances of the functions there should be, and the calls that bring this about. No I/O and no clock:
// times are handed in, in microseconds. The wanted number of instances of each function follows from demand;
// what is there follows from the provider's lists, the answers to calls and what proxies see; work() closes
// the gap.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "autoscaler/demand_estimate.h"
#include "autoscaler/machine_ledger.h"
#include "autoscaler/need.h"
#include "common/messages.h"

namespace woadridge::autoscaler {

struct Policy {
  Prices prices;
  double margin = 1.25;        // traffic reckoned with, over what is seen
  double keep = 0.7;           // of the time that a start is worth, an idle instance is kept
  double rare = 0.5;           // below this part of break-even a function is let go as soon as it is idle
  double share_of_duty = 0.6;  // of the provider's starts and stops a second
  double linger = 0.45;        // of drain-ms: a leaving instance works on while its replacement starts
  std::uint32_t calls_at_once = 8;
  Micros keep_least = 2'000'000, keep_most = 30'000'000;  // an idle instance is kept
  Micros settle = 5'000'000;     // of a term: nothing is stopped, the reports must come in first
  Micros prewarm = 15'000'000;   // after traffic began: a function that was never called is let go
  Micros old_grace = 5'000'000;  // instances of a service that the plan doesn't have (now)
  Micros quiet_least = 500'000;  // between telling the proxies of an end and the call: their requests end
  Micros quiet_most = 3'000'000;
};

struct Bounds {              // of the deployment
  Micros lag = 1'000'000;    // the lists are late by
  Micros drain = 3'000'000;  // an instance that leaves serves on for
  double duty_per_s = 100;
};

struct Listed {  // an instance in the provider's list
  std::string id, service, address, zone, machine;
  std::uint32_t capacity = 1;
  bool draining = false;
};

struct Order {  // a call to the provider
  std::uint64_t ticket = 0;
  bool start = true;
  std::string service, machine, nonce;  // of a start
  std::string id;                       // of a stop
};

enum class Outcome { done, no_room, unknown, too_many, silent, refused };

struct Changes {  // of the board
  std::vector<common::Instance> changed;
  std::vector<std::string> gone;
};

class Autoscaler {
 public:
  Autoscaler(Policy options, Bounds bounds, std::uint64_t seed);
  ~Autoscaler();

  void begin(Micros now, std::uint64_t term);  // forgets everything
  void plan(Micros now, std::shared_ptr<const common::Plan> plan);
  void peers(Micros now, std::vector<common::Peer> peers);
  void report(Micros now, const std::string& proxy, const common::Report& report);
  void listed(Micros now, Micros asked, const std::vector<Listed>& instances);  // all pages
  void machines(Micros now, Micros asked, const std::vector<Machine>& machines);
  void answered(Micros now, std::uint64_t ticket, Outcome outcome, const std::string& id = {},
                const std::string& address = {});

  std::vector<Order> work(Micros now);  // the calls to be made now; each is answered by its ticket
  Changes changes();                    // of the board, since the last time
  bool knows_instances() const { return listed_; }
  const MachineLedger& floor() const { return machine_ledger_; }
  std::size_t instances_of(const std::string& service) const;  // that serve or will, not leaving

 private:
  struct Function;
  enum class Stage { ordered, starting, ready, leaving, stopping };
  struct Life {  // of an instance, from the decision to start it
    Function* function = nullptr;
    Stage stage = Stage::ordered;
    std::string id, address, zone, machine, nonce;
    std::uint32_t capacity = 1, memory_mb = 0;
    std::uint64_t ticket = 0;  // of its start or stop
    bool calls = false;        // the call is out
    bool old = false;          // of a service that the plan doesn't have
    bool held_room = false;    // in the books of its machine
    bool seen = false;         // in a list
    std::uint32_t missed = 0;  // lists since that didn't have it
    Micros since = 0;          // its stage began
    Micros born = 0, seen_at = 0, reached_at = 0;
    bool drains = false;      // a list showed that it's leaving by the provider's will ...
    Micros drains_since = 0;  // ... at the earliest since then; 0: since before this term
    Micros call_at = 0;       // not before
    std::uint32_t tries = 0;
    bool told = false;
    common::Instance last_told;
  };
  struct Function {
    std::string name;
    bool planned = false, routed = false;
    Trade trade;
    std::uint32_t memory_mb = 0, startup_ms = 0;
    DemandEstimate gauge;
    std::string home, home_zone;
    std::vector<Life*> lives;
    std::vector<Micros> wanted_at;  // [k]: when k + 1 instances were last worth it
    Micros unplanned_at = 0, planned_at = 0, no_start_before = 0;
    bool dirty = false;
  };
  struct Buried {  // an id that is gone, whatever late lists show
    Micros at = 0;
    bool lost = false;  // it wasn't stopped: if it should live on, it must not cost memory for ever
    bool to_stop = false, calls = false;
  };
  struct Wish {
    // 0: requests wait and nothing is there; 1: requests wait; 2: demand; 3: ahead of demand.
    int urgency = 0;
    Function* function = nullptr;
    std::uint32_t count = 0;
  };

  Function& function(const std::string& name);
  double guess_s(const Function& function) const;
  void find_home(Function& function);
  Life& add(Micros now, Function& function);
  void drop(Life& life);  // of the books and lists: the reference is dead then
  void bury(Micros now, const std::string& id, bool lost);
  void stage(Micros now, Life& life, Stage stage);
  void tell(Life& life);
  void untell(Life& life);
  void adopt(Micros now, const Listed& listed);
  void match(Micros now, Life& life, const Listed& listed);
  void lose(Micros now, Life& life);
  void look_after(Micros now);
  bool counts(const Micros now, const Life& life) const;  // serves or will, for long enough
  void weigh(Micros now, Function& function, std::vector<Wish>& wishes);
  Life* to_end(Micros now, Function& function);
  void let_go(Micros now, Function& function, std::uint32_t have);
  void grant(Micros now, std::vector<Wish>& wishes);
  bool start(Micros now, Function& function);
  bool make_room(Micros now, std::uint32_t memory_mb);
  void call(Micros now, std::vector<Order>& orders);
  bool may_stop(Micros now) const;

  Policy options_;
  Bounds bounds_;
  std::mt19937_64 random_;
  MachineLedger machine_ledger_;
  std::shared_ptr<const common::Plan> plan_;
  std::vector<common::Peer> peers_;
  std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
  std::map<std::uint64_t, std::unique_ptr<Life>> lives_;  // by number, oldest first
  std::unordered_map<std::string, Life*> by_id_;
  std::unordered_map<std::uint64_t, Life*> by_ticket_;
  std::unordered_map<std::string, Buried> buried_;
  std::unordered_map<std::uint64_t, std::string> burials_;  // stops of buried ones, by ticket
  std::unordered_set<Life*> untold_;
  std::vector<std::string> gone_;
  std::unordered_set<std::string> reporters_;  // proxies heard in this term
  std::uint64_t term_ = 0, numbers_ = 0;
  Micros began_ = 0, traffic_at_ = 0, looked_at_ = 0, tokens_at_ = 0;
  double tokens_ = 0;
  std::uint32_t out_ = 0;  // calls
  bool listed_ = false;
  Micros listed_at_ = 0;  // when the newest list was asked for; 0: none in this term
};

}  // namespace woadridge::autoscaler
