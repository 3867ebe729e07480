// Between the connections and the decision module: hands it every event, carries out its actions, and keeps
// the books of requests, attempts and timers. Decides nothing.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net/discovery.h"
#include "net/metrics.h"
#include "net/workers.h"

namespace woadridge::net {

struct Job {  // a client's request: slices of its message, with what keeps them
  std::string_view method, target, request_id, idempotency_key, body;
  std::string_view class_name, tenant;
  Micros time_left = 0;
  std::optional<Micros> hint;
  std::optional<std::uint64_t> key;  // of what it is about, as a number
  double slots = 1;
  bool repeated = false;
  std::shared_ptr<const void> held;
};

struct Answer {
  enum class Kind { served, refused, failed };
  Kind kind = Kind::failed;
  std::string body;     // of what is served
  Micros hold_off = 0;  // 0: no advice
};

class Client {  // who waits for an answer; the connection of any protocol
 public:
  virtual ~Client() = default;
  virtual void answered(Answer answer) = 0;
};

// Others that read the list of workers, or probe them, for this dispatcher too: src/peer. None: it does so
// itself.
class Sharing {
 public:
  virtual ~Sharing() = default;
  virtual bool watches_list() = 0;                   // whether this dispatcher is to ask discovery now
  virtual void list_heard(const Members& news) = 0;  // from discovery itself
  virtual void probed(const WorkerId& worker, Micros age, bool ok) = 0;  // by this dispatcher
};

class Engine : private WorkerEvents, private DiscoveryEvents {
 public:
  Engine(Strand strand, const Config& config, int most_worker_connections, BufferSpace& space);

  void start();
  // Crowded: its connection can't be held until an answer comes from a worker.
  RequestId take(const Job& job, std::shared_ptr<Client> client, bool crowded = false);
  void left(RequestId id);
  void end_at(Micros at);  // what is left then must be answered: the process is about to be killed
  void answer_all();       // it is that time
  void stop();             // closes everything
  // The list is had elsewhere from now on. What is known stays in force until the new address has answered.
  void move_discovery(const Address& address);
  // The configuration holds other settings from now on: the module goes on with them, open requests included.
  void change_settings();
  // Staff take a worker out, or put it back. Named: a list has told of it, now or before.
  void maintain(const WorkerId& worker, bool out);
  bool has_named(const WorkerId& worker) const { return roster_.ever_named(worker); }
  void beside(const Beside& another) { give(another); }
  void limit_connections(int most);  // to workers

  void share(Sharing* sharing) { sharing_ = sharing; }  // outlived by it
  void watch_list(bool yes);                            // what `sharing` says has changed
  void hear_list(Members news);                         // from another dispatcher
  void hear_probe(const WorkerId& worker, Micros age, bool ok) { give(Probed{worker, age, ok, {}}); }
  void probe(const WorkerId& worker, const std::string& headers) { workers_.probe(worker, headers); }
  Members whole_list() const;
  Micros discovery_heard() const { return discovery_.last_heard(); }

  bool has_heard_list() const { return heard_list_; }  // from discovery itself, or what changed since
  bool holds_list() const { return in_force_ && !roster_.empty(); }  // one that it acts on
  bool knows_workers() const { return !roster_.empty(); }            // maybe of old: jobs wait for discovery
  const ClassSettings* class_named(std::string_view name) const;     // null: unknown
  bool knows_tenant(std::string_view name) const;                    // any, where the settings name none
  void count_turned_away(std::string_view class_name);  // no log line each: they come by thousands
  Metrics& metrics() { return metrics_; }
  std::string figures();
  bool has_open(std::string_view request_id) const { return names_.contains(request_id); }
  std::size_t unanswered() const { return unanswered_; }
  const Clock& clock() const { return clock_; }

 private:
  struct Try {
    WorkerId worker;
    bool out = true;
  };
  struct Open {
    std::string name;                // the client's own: outlives the message
    std::shared_ptr<Client> client;  // none once it has its answer or is gone
    ClassCounts* counts = nullptr;
    Job job;  // slices; not used after the answer
    Micros deadline = 0;
    int most_attempts = 1;  // as the settings were when it came
    std::vector<Try> tries;
    int out = 0;
  };
  struct Due {
    Micros at = 0;
    std::uint64_t order = 0;  // of two at the same time the first set comes first
    bool attempt = false;     // an attempt's time-out, else one of the module's timers
    std::uint64_t token = 0;
    AttemptKey key;
    bool operator>(const Due& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
  };

  void job_written(AttemptKey key) override;
  void job_taken(AttemptKey key) override;
  void job_started(AttemptKey key) override;
  void job_progress(AttemptKey key, double done) override;
  void attempt_ended(AttemptKey key, AttemptEnd end) override;
  void probe_ended(const WorkerId& worker, Micros age, bool ok) override;
  void listed(Members news) override;
  void watch_failed(bool unreachable) override;

  Micros now();
  void give(Event event);
  void handle(const Event& event);
  void carry_out(const Send& action);
  void carry_out(const Refuse& action);
  void carry_out(const Fail& action);
  void carry_out(const Cancel& action);
  void carry_out(const Probe& action);
  void carry_out(const Tell& action);
  void carry_out(const Subscribe& action);
  void carry_out(const SetTimer& action);
  void carry_out(const Remark& action);

  void end_attempt(AttemptKey key, Result result);
  void final_answer(RequestId id, Answer answer);
  void forget_if_over(RequestId id);
  Settings module_settings() const;
  void show_classes();  // from 0, before their first job
  void learn_members(const Members& news);
  void await_first_list();
  void act_on_remembered_list();
  void hand_on();
  void watch();
  void set_due(Due due);
  void arm();
  void fire();
  void time_out(AttemptKey key);
  void sweep();
  void report();

  Strand strand_;
  Clock clock_;
  const Config& config_;
  int most_worker_connections_;
  Dispatcher dispatcher_;
  WorkerPool workers_;
  Discovery discovery_;
  Sharing* sharing_ = nullptr;
  Timer timer_;
  Timer sweeper_;
  Timer first_list_timer_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> dues_;
  Micros armed_for_ = 0;  // 0: not armed
  std::uint64_t orders_ = 0;
  std::deque<Event> events_;
  std::vector<Action> actions_;
  bool giving_ = false;
  bool stopped_ = false;
  bool heard_list_ = false;
  bool in_force_ = false;  // the module has the list
  Micros begun_ = 0;
  Micros last_now_ = 0;
  std::map<RequestId, Open> requests_;
  std::set<std::string, std::less<>> names_;  // of all these: one name, one request
  RequestId last_id_ = 0;
  std::size_t unanswered_ = 0;
  roster::Roster roster_;
  bool handing_on_ = false;
  std::int64_t version_ = 0;
  int failed_watches_ = 0;
  std::minstd_rand jitter_;
  Metrics metrics_;
  Micros reported_ = 0;
};

}  // namespace woadridge::net
