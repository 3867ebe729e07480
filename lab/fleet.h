// The model of what a dispatcher serves: workers, the keys that they remember, the list of workers, and their
// troubles. No sockets and no clock: the caller hands over what comes in with its time, asks next() when
// something is due, and gets what goes out through FleetOut. Both runs, virtual and on sockets, use this one.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <unordered_map>

#include "lab/records.h"
#include "lab/scenario.h"

namespace woadridge::lab {

struct AttemptRef {
  DispatcherId dispatcher = 0;
  RequestId request = 0;
  int attempt = 0;
  auto operator<=>(const AttemptRef&) const = default;
};

struct Offer {  // a request whose last byte has come to a worker
  AttemptRef ref;
  std::uint64_t key = 0;  // 0: none
  int class_index = 0;
  double work = 0;
  Micros first_byte = 0;
  bool fresh = false;  // on a new connection
};

enum class Said {  // what a worker's side of an attempt says
  connected,       // the connection is up, though nobody answers
  taken,
  started,
  progress,
  done,
  failed,
  returned,
  lost,     // the last word, the connection stays usable
  refused,  // the connection was refused: never ran
  broken    // it broke
};
inline bool is_last(Said said) {
  return said >= Said::done;
}

struct Note {
  AttemptRef ref;
  WorkerIndex worker = 0;
  Said said = Said::taken;
  double share = 0;       // progress
  int free_slots = -1;    // -1: no report
  bool trickled = false;  // the answer comes byte by byte
};

struct ListNews {
  std::int64_t version = 0;
  ListKind kind = ListKind::full;
  std::shared_ptr<const std::vector<WorkerIndex>>
      workers;  // whose entries it holds, as they are at that time
  std::shared_ptr<const std::vector<WorkerInfo>> entries;
};

class FleetOut {
 public:
  virtual ~FleetOut() = default;
  virtual void note(const Note& note) = 0;
  // The list's word to one dispatcher. `after`: how much later than now it is to be written.
  virtual void news(DispatcherId to, const ListNews& news, Micros after) = 0;
  // A worker's machine accepts new connections from now on, or refuses them. `died`: those that were open are
  // gone.
  virtual void door(WorkerIndex worker, bool open, bool died) { (void)worker, (void)open, (void)died; }
};

// What a worker is doing, for the plots and for the baseline that sees all.
enum class Doing : char {
  serving = '.',
  cold = 'c',
  draining = 'd',
  slow = 's',
  hung = 'h',
  odd = 'o',
  fallen = 'f',
  down = 'x'
};

// What one dispatcher was told of each worker: only changes are written down, as the judge wants them.
class ToldBook {
 public:
  explicit ToldBook(std::size_t workers = 0) : phases_(workers, Phase::serving) {}
  void forget() { std::fill(phases_.begin(), phases_.end(), Phase::serving); }  // a new process knows nothing
  void learn(DispatcherId dispatcher, const ListNews& news, Micros now, std::vector<Told>& into);

 private:
  void learn(DispatcherId dispatcher, WorkerIndex worker, Phase phase, Micros now, std::vector<Told>& into);
  std::vector<Phase> phases_;
};

// The zone of a dispatcher: they are dealt out in turn.
const std::string& zone_of(const Scenario& scenario, DispatcherId dispatcher);
// Whom each trouble of dispatchers strikes, picked by the seed; by trouble, empty for the others.
std::vector<std::vector<DispatcherId>> struck_dispatchers(const Scenario& scenario);

class Fleet {
 public:
  // Workers are drawn from the scenario's seed; `begin` is the clock at the run's start.
  Fleet(const Scenario& scenario, Micros begin, FleetOut& out);

  Micros next() const { return due_.empty() ? INT64_MAX : due_.top().at; }
  void advance(Micros now);  // carries out what is due up to now

  // From the dispatchers. An offer is answered through FleetOut by at least one note, at once or later,
  // unless the worker is out of reach or silent.
  void offer(Micros now, WorkerIndex worker, const Offer& offer);
  void close(Micros now, WorkerIndex worker, const AttemptRef& ref);  // the dispatcher's end of it is shut
  void ask_list(Micros now, DispatcherId who);                        // one whole list, then its changes
  void forget_watch(DispatcherId who) { watchers_.erase(who); }
  bool accepts(WorkerIndex worker) const;  // new connections come up
  bool reachable(WorkerIndex worker, const std::string& from_zone) const;
  bool list_up() const { return list_outages_ == 0; }
  int probe(WorkerIndex worker) const;  // free slots, or -1 for no answer

  const std::vector<WorkerFacts>& facts() const { return records_.workers; }
  WorkerIndex index_of(const std::string& name) const;  // facts().size(): unknown
  WorkerInfo entry(WorkerIndex worker) const;           // as the list has it
  // The truth, for the baseline that sees all and for plots.
  int free_slots(WorkerIndex worker) const;
  double speed_now(Micros now, WorkerIndex worker) const;
  Doing doing(Micros now, WorkerIndex worker) const;
  int jobs_at(WorkerIndex worker) const;

  ListNews whole_list() const;
  Records& records() { return records_; }

 private:
  enum class What {
    job_ends,
    progress,
    warm_step,
    trouble_begins,
    trouble_ends,
    restart,
    listed_gone,
    publish,
    poll,
    release_step
  };
  struct Due {
    Micros at = 0;
    std::uint64_t order = 0;  // of two at the same instant the first set comes first
    What what = What::publish;
    std::uint64_t a = 0;  // worker, trouble or dispatcher
    std::uint64_t b = 0;  // job or generation
    bool operator>(const Due& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
  };
  struct Job {
    Offer offer;
    std::size_t run = 0;  // its record, once begun
    std::size_t sent = 0;
    bool running = false;
    bool follows = false;  // its key runs elsewhere: it waits for that answer
    bool said_taken = false;
    bool orphan = false;  // its connection is gone: nobody hears of it
    double left = 0;      // work
    Micros settled = 0;   // time up to which `left` counts
  };
  struct Worker {
    int slots = 1;
    double speed = 1;
    Micros started = 0;         // 0: long ago
    Micros listed_started = 0;  // as the list has it
    double rate = 0;            // work done a microsecond in each slot
    std::uint64_t generation = 0;
    bool up = true;
    bool fallen = false;
    Phase listed = Phase::serving;
    double slow = 1;
    int hung = 0, silent = 0, refusing = 0, resetting = 0, trickling = 0, failing = 0;  // troubles in force
    int running = 0;
    std::map<std::uint64_t, Job> jobs;  // by number, in the order of their coming
    std::deque<std::uint64_t> queue;    // those that wait
    std::map<AttemptRef, std::uint64_t> by_ref;
    std::deque<std::pair<Micros, double>> recent;  // work received while cold
    double recent_work = 0;
  };
  struct Memory {      // of one key in one scope
    Micros first = 0;  // when it began
    bool ended = false;
    std::pair<WorkerIndex, std::uint64_t> holder;  // the job that runs
    std::vector<std::pair<WorkerIndex, std::uint64_t>> followers;
  };
  using KeyPlace = std::pair<std::uint64_t, std::uint64_t>;  // key, scope

  void set(Micros at, What what, std::uint64_t a = 0, std::uint64_t b = 0);
  void carry_out(Micros now, const Due& due);
  void build(Stream& random);

  void begin_waiting(Micros now, WorkerIndex w);
  void begin(Micros now, WorkerIndex w, std::uint64_t number);
  bool dropped(Micros now, WorkerIndex w, std::uint64_t number);
  void remember(Micros now, const KeyPlace& place, WorkerIndex w, std::uint64_t number);
  void release_key(Micros now, WorkerIndex w, const Job& job, std::uint64_t number, bool ran);
  std::uint64_t scope_of(WorkerIndex w, const ClassSettings& rules) const;
  const ClassSettings& rules_of(const Job& job) const;
  void settle(Micros now, Worker& w);
  void replan(Micros now, WorkerIndex w);
  void end_job(Micros now, WorkerIndex w, std::uint64_t number, Said said);
  void say(WorkerIndex w, const Job& job, Said said, double share = 0);
  void remove(WorkerIndex w, std::uint64_t number);
  double warm_part(Micros now, const Worker& w) const;
  void count_cold(Micros now, WorkerIndex w, double work);

  void die(Micros now, WorkerIndex w);
  void restart(Micros now, WorkerIndex w);
  void begin_trouble(Micros now, std::size_t index);
  void end_trouble(Micros now, std::size_t index);
  void apply(Micros now, WorkerIndex w, const Trouble& trouble, bool on);
  std::vector<WorkerIndex> targets(const Trouble& trouble);
  void release_step(Micros now, std::size_t index, std::uint64_t step);
  void end_partition();
  bool cut(WorkerIndex w, DispatcherId d) const;

  void list_changed(Micros now, WorkerIndex w, Phase phase);
  void publish(Micros now);
  void news_to(Micros now, DispatcherId to, const ListNews& news);
  Micros lag(DispatcherId to, Micros now);

  const Scenario& scenario_;
  FleetOut& out_;
  Records records_;
  std::vector<Worker> workers_;
  std::map<std::string, WorkerIndex> names_;
  std::map<KeyPlace, Memory> memory_;
  std::deque<std::pair<Micros, KeyPlace>> remembered_;  // in the order of their beginning, to forget them
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t orders_ = 0;
  std::uint64_t numbers_ = 0;
  Stream list_random_;
  Stream trouble_random_;
  std::vector<std::vector<WorkerIndex>> trouble_targets_;
  std::multiset<std::string> cut_zones_;
  std::set<std::pair<WorkerIndex, AttemptRef>> unsaid_;  // last words lost to a cut: broken when it ends
  struct Watch {
    Micros last = 0;  // news of one watch come in order
  };
  std::map<DispatcherId, Watch> watchers_;
  std::set<WorkerIndex> changed_;
  bool publish_due_ = false;
  int list_outages_ = 0;
  std::int64_t version_ = 1;
};

}  // namespace woadridge::lab
