// Stand-ins and a starter for the review's scripts: the platform's programs as processes on loopback
// addresses, a provider with instances, an operator and clients. POSIX alone, one thread a connection.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

double now_s();  // since the start of this program, by the steady clock
void sleep_s(double seconds);

class Record {  // record.txt: what was sent, answered and run
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void line(const std::string& who, const std::string& what);

 private:
  std::mutex guard_;
  std::ofstream out_;
};

// ---- HTTP/1.1, as much as is needed

struct Message {
  std::string first;                           // request line or status line
  std::map<std::string, std::string> headers;  // names in small letters
  std::string body;
  int status() const;
  std::string method() const;
  std::string target() const;
  std::string header(const std::string& name) const;
};

class Wire {  // a connection
 public:
  explicit Wire(int fd) : fd_(fd) {}
  ~Wire();
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;
  int fd() const { return fd_; }
  bool read(Message& message);  // false: the other end has closed, or it is no message
  bool write(const std::string& bytes);
  bool peer_gone() const;  // the other end has closed

 private:
  int fd_;
  std::string left_;
};

struct ConnectOptions {
  int receive_buffer = 0;   // bytes; 0: as usual
  int segment = 0;          // bytes of a TCP segment at most; 0: as usual
  double silence_s = 10.0;  // a read that takes longer fails
};
int connect_to(const std::string& ip, int port, const ConnectOptions& options = {});  // -1: no connection
int listen_at(const std::string& ip, int port);                                       // -1: not free

// A client that reads its answer at its own pace and never stops reading.
struct Download {
  std::string id;
  int status = 0;
  std::size_t body = 0, length = 0;  // bytes that came, and that were announced
  double sent = 0, began = 0, ended = 0;
  bool whole(std::size_t bytes) const { return status == 200 && length == bytes && body == length; }
};
void download(int fd, const std::string& host, const std::string& target, int deadline_ms, double bytes_per_s,
              Download& client, Record& record);

// ---- the platform's programs

struct Layout {
  std::string net;  // the first three parts of all addresses
  int port = 0;     // the first of those in use, the same at all nodes
  int cores = 3, edges = 2;
  std::string folder;  // settings, logs, disks
  std::string core_ip(int n) const { return net + "." + std::to_string(1 + n); }
  std::string edge_ip(int n) const { return net + "." + std::to_string(101 + n); }
  std::string provider_ip() const { return net + ".200"; }
  std::string instance_ip() const { return net + ".201"; }
  int control() const { return port + 20; }
  int front() const { return port + 21; }
  int readiness() const { return port + 22; }
  int provider() const { return port + 23; }
  int first_instance() const { return port + 30; }
};
Layout free_layout();  // free ports and a temporary folder

class Programs {
 public:
  explicit Programs(Layout layout);
  ~Programs();  // ends all that it started, and removes the folder unless KEEP is set
  void start();
  void signal(const std::string& node, const std::string& role, int signal);
  bool runs(const std::string& node, const std::string& role);

 private:
  struct Process {
    std::string node, role, program, settings;
    pid_t pid = 0;
    bool over = false;
  };
  std::string settings_of(const std::string& node, const std::string& role, int number) const;
  void launch(Process& process) const;
  Layout layout_;
  std::vector<Process> processes_;
};

// ---- the provider and its instances

struct Function {
  std::string name;
  int memory_mb = 1024, startup_ms = 1400, concurrency = 8;
};

struct Run {  // of a request at an instance
  std::string attempt, instance, target;
  double from = 0, to = 0;  // to: 0 while it is at work
  bool answered = false;    // else the caller had closed before the work was done
};

class Provider {
 public:
  struct Work {
    double seconds = 0.08;
    std::size_t bytes = 600;  // of an answer
  };
  using WorkOf = std::function<Work(const Message&)>;

  Provider(Layout layout, std::vector<Function> functions, Record& record, WorkOf work_of);
  ~Provider();
  void open();
  std::vector<Run> runs();
  std::size_t instances();

 private:
  struct Instance {
    std::string id, service, machine, address;
    int port = 0, capacity = 1, memory_mb = 0;
    double up = 0;
    std::atomic<bool> stopped{false};
    std::atomic<bool> listens{false};
    std::atomic<int> busy{0};
    int fd = -1;
  };
  using InstanceRef = std::shared_ptr<Instance>;
  void serve(int fd, const std::function<bool(Wire&, const Message&)>& handle);
  bool call(Wire& wire, const Message& message);
  std::string begin(const std::string& body, int& status);
  std::string list();
  std::string fleet();
  void bring_up(const InstanceRef& instance);
  bool work(Wire& wire, const Message& message, const InstanceRef& instance);

  Layout layout_;
  std::vector<Function> functions_;
  Record& record_;
  WorkOf work_of_;
  std::mutex guard_;
  std::map<std::string, InstanceRef> all_;     // by id
  std::map<std::string, std::string> nonces_;  // service and nonce -> id
  std::vector<Run> runs_;
  int numbers_ = 0, listener_ = -1;
  std::uint64_t fence_ = 0;
  std::atomic<bool> over_{false};
};

// ---- the operator

// Sends the configuration until it is acknowledged. False: it never was.
bool put_configuration(const Layout& layout, const std::string& json, Record& record, double patience_s);
// Until every proxy says that it is ready.
bool wait_ready(const Layout& layout, double patience_s);
std::string json_field(const std::string& json, const std::string& key);  // of a flat object

}  // namespace rig
