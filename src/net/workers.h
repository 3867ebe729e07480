// Connections to workers: the pool, the attempts that they carry, and probes. Each attempt ends exactly once,
// unless it is called off; its end says how far it had come.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/coroutine.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/asio.h"
#include "net/http.h"

namespace woadridge::net {

// How far an attempt had come. What is known of whether it ran rests on this.
enum class Reached { no_connection, connected, all_written, taken, started, last_line };
enum class LastLine { none, done, failed, returned, lost };

struct AttemptEnd {
  Reached reached = Reached::no_connection;
  int status = 0;            // of the answer; 0: none came
  bool not_started = false;  // the answer says that the job never began
  LastLine last = LastLine::none;
  std::string result;  // of a job that is done, decoded
};

// The table of PROTOCOL.md. `full` and `no_connection` claim that the attempt never ran: nothing else does.
Result result_of(const AttemptEnd& end);

struct AttemptKey {
  RequestId id = 0;
  int number = 0;
  auto operator<=>(const AttemptKey&) const = default;
};

// What is to be sent: slices of the client's message, with what keeps them.
struct WorkerRequest {
  std::string_view method, target, request_id, idempotency_key, body;
  std::int64_t timeout_ms = 0;
  std::shared_ptr<const void> held;
};

class WorkerEvents {  // implemented by the engine
 public:
  virtual ~WorkerEvents() = default;
  virtual void job_written(AttemptKey key) = 0;  // whole: the system has its last byte
  virtual void job_taken(AttemptKey key) = 0;
  virtual void job_started(AttemptKey key) = 0;
  virtual void job_progress(AttemptKey key, double done) = 0;
  virtual void attempt_ended(AttemptKey key, AttemptEnd end) = 0;
  virtual void probe_ended(const WorkerId& worker, Micros age, bool ok) = 0;
};

class WorkerPool;

// One connection to a worker: connected once, then one request at a time, and read all the while so that its
// close is seen also while it is idle.
class WorkerConnection : public std::enable_shared_from_this<WorkerConnection>,
                         private boost::asio::coroutine {
 public:
  WorkerConnection(WorkerPool& pool, WorkerId worker, Tcp::endpoint peer);

  void carry(AttemptKey key, const WorkerRequest& request);
  void probe(const std::string& headers);
  void abandon();     // closes at once and reports nothing more
  bool still_open();  // asks the system, so that a close that was not read yet is seen
  const WorkerId& worker() const { return worker_; }
  Micros idle_since() const { return idle_since_; }

 private:
  friend class WorkerPool;
  enum class Task { none, job, probe };

  bool idle() const { return task_ == Task::none && reader_.state() == HttpReader::State::head; }
  void begin();
  void run(Fault fault);
  void connect();
  void write();
  std::array<boost::asio::const_buffer, 2> unsent() const;
  void read(Fault& fault);
  void acknowledge();
  void ended();
  void digest();
  void digest_status();
  void digest_lines();
  bool digest_line(std::string_view line);
  void last_line(LastLine last, std::string result);
  void release();
  void broke();
  void end_task(bool message_complete);
  template <typename Step>
  void guarded(Step step);

  WorkerPool& pool_;
  WorkerId worker_;
  Tcp::endpoint peer_;
  Socket socket_;
  Timer connect_limit_;
  HttpReader reader_;
  Task task_ = Task::none;
  AttemptKey key_;
  AttemptEnd end_;
  std::string request_id_;  // outlives the client's message: stray lines are told by it
  std::string head_;
  std::string_view body_;
  std::shared_ptr<const void> body_held_;
  std::size_t sent_ = 0;
  Micros probe_sent_ = 0;
  Micros idle_since_ = 0;
  bool connected_ = false;
  bool closed_ = false;
  bool fresh_ = true;  // has carried nothing before
  bool status_seen_ = false;
  bool answered_ = false;                                         // what it carries has its end
  std::list<std::shared_ptr<WorkerConnection>>::iterator place_;  // in the pool's book
  bool is_idle_ = false;
  std::list<std::shared_ptr<WorkerConnection>>::iterator idle_place_;  // then in that of the idle ones
};

class WorkerPool {
 public:
  WorkerPool(Strand strand, const Clock& clock, BufferSpace& space, WorkerEvents& events);
  void configure(Micros connect_timeout, Micros idle_limit, int most_connections);

  void locate(const WorkerId& worker, const Address& address);  // where the list finds it now
  void forget(const WorkerId& worker);                          // it is gone
  void drop_idle(const WorkerId& worker);                       // it has restarted
  void send(AttemptKey key, const WorkerId& worker, const WorkerRequest& request);
  void probe(const WorkerId& worker, const std::string& headers);  // whole lines, or none
  void call_off(AttemptKey key);
  void sweep();  // now and then: drops what has stood idle long
  void close_all();
  std::size_t open_connections() const { return connections_.size(); }
  std::size_t opened() const { return opened_; }

 private:
  friend class WorkerConnection;
  using Connection = std::shared_ptr<WorkerConnection>;
  struct Site {
    Address address;
    Tcp::endpoint peer;            // the same, read once
    std::vector<Connection> idle;  // the latest used last
  };

  Connection connection_to(const WorkerId& worker, bool fresh);
  Connection open(const WorkerId& worker, const Tcp::endpoint& peer);
  bool make_room();
  void idle(Connection connection);
  void closed(WorkerConnection& connection);
  void drop(Connection connection);

  Strand strand_;
  const Clock& clock_;
  BufferSpace& space_;
  WorkerEvents& events_;
  Micros connect_timeout_ = 0;
  Micros idle_limit_ = 0;
  std::size_t most_ = 0;
  std::size_t opened_ = 0;
  std::map<WorkerId, Site> sites_;
  std::list<Connection> connections_;
  std::list<Connection> idle_;  // of all workers, the longest idle first
  std::map<AttemptKey, Connection> carrying_;
};

}  // namespace woadridge::net
