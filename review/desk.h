// What the scripts of this review share: the platform's processes on loopback with the commands of the deploy
// file, and small stand-ins for provider, instances, operator and clients. Blocking sockets, a thread each.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace desk {

long long now_ms();  // since the program began
void pause_ms(long long ms);
bool trouble();  // false: TROUBLE=0

// record.txt, a line an event.
void open_record(const std::string& path);
void note(const std::string& line);

struct Message {  // an HTTP/1.1 message that was read
  bool whole = false;
  std::string first;   // line
  std::string head;    // all header lines
  std::string body;    // what came of it
  long long told = 0;  // Content-Length
  std::string header(const std::string& name) const;
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const;
  int status() const;
};

class Line {  // one connection
 public:
  Line() = default;
  explicit Line(int fd) : fd_(fd) {}
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;
  ~Line() { close(); }
  bool connect(const std::string& ip, int port, int receive_buffer = 0);
  bool send(const std::string& bytes);
  // Bytes a second: 0 as fast as they come. Bytes behind the message are kept for the next one.
  Message read(long long until_ms, bool no_body = false, long long bytes_per_s = 0);
  bool gone() const;  // the other end has closed
  void close();
  bool is_open() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
  std::string rest_;
};

class Server {
 public:
  using Handle = std::function<void(Line&, const Message&)>;
  Server(const std::string& ip, int port, Handle handle);
  ~Server();
  bool listening() const { return fd_ >= 0; }
  void stop();  // takes no more connections

 private:
  int fd_ = -1;
  std::atomic<bool> over_{false};
  std::thread accepts_;
};

struct Service {
  std::string name;
  int memory_mb = 128, startup_ms = 900;
  long long concurrency = 1;
  int work_ms = 80;
  std::size_t answer_bytes = 200;
  int status = 200;  // of its answers; another one has no seal
};

// A way in the middle: what comes to its address goes on to another one, and back.
class Way {
 public:
  // `from` is replaced by `to`, of the same length, in what goes on; empty: nothing is.
  Way(const std::string& ip, int port, const std::string& on_ip, int on_port, std::string from = {},
      std::string to = {});
  ~Way();
  // So large a part of its connections is reset, at both ends: how many. New ones are taken.
  int reset(double part);

 private:
  struct Pair;
  void carry(const std::shared_ptr<Pair>& pair) const;
  std::string from_, to_;
  int fd_ = -1;
  std::atomic<bool> over_{false};
  std::mutex mutex_;
  std::vector<std::shared_ptr<Pair>> pairs_;
  std::thread accepts_;
};

struct Arrival {  // a request that an instance began to work on
  std::string id, service, instance, path;
  long long at = 0;
  long long ended = -1;  // answered, or dropped as its connection had closed
  bool dropped = false;
};

class Stage {
 public:
  // `cores` core machines and `edges` edges with an agent and a proxy each.
  // `way_to`: the number of an edge whose proxy the other proxies reach by a way in the middle; -1: none.
  Stage(int cores, int edges, std::vector<Service> services, int way_to = -1);
  ~Stage();
  void start();
  bool ready(long long within_ms);  // every proxy says that it is ready
  // Until it has a clear answer or the time is over: its status, else 0.
  int put(const std::string& configuration, long long within_ms);
  // Reads the configuration back, again and again, at each core machine in turn: its version, 0 if none
  // comes.
  int read_back(long long within_ms) const;
  void restart_cores();      // SIGKILL, and started again with their disks
  int silent_cores() const;  // that don't answer for their status within 3 s
  std::string edge_ip(int n) const { return net_ + ".1." + std::to_string(n + 1); }
  int front_port() const { return port_ + 20; }
  int reset_way(double part) { return peers_way_ ? peers_way_->reset(part) : 0; }
  pid_t proxy(int n) const;
  void signal(pid_t pid, int signal) const;
  bool ended(pid_t pid);
  std::vector<Arrival> arrivals() const;
  int instances(const std::string& service) const;  // that are up
  void end();

 private:
  struct Node {
    std::string name, program, settings;
    pid_t pid = -1;
    bool over = false;
  };
  struct Life;
  void launch(Node& node);
  void add(const std::string& name, const std::string& program, bool core, int number);
  std::string settings_of(const std::string& name, bool core, bool serves, int number,
                          bool first = true) const;
  void call(Line& line, const Message& asked);
  void run(const std::shared_ptr<Life>& life, Line& line, const Message& asked);
  std::string begin(const Message& asked);

  int cores_, edges_, way_to_, port_ = 0;
  std::string net_, folder_;
  std::map<std::string, Service> services_;
  std::vector<Node> nodes_;
  mutable std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Life>> lives_;  // by id
  std::map<std::string, std::string> nonces_;
  std::vector<Arrival> arrivals_;
  std::uint64_t fence_ = 0;
  int numbers_ = 0;
  std::unique_ptr<Server> provider_;
  std::unique_ptr<Way> feed_way_, peers_way_;
};

std::string limits_json(int max_body_bytes);
std::string service_json(const Service& service);
std::string route_json(const std::string& name, const std::string& host, const std::string& prefix,
                       const std::string& service, bool mutating, int deadline_ms = 8000);
std::string configuration_json(int version, const std::vector<std::string>& routes,
                               const std::vector<Service>& services, int max_body_bytes = 262144);
std::string request(const std::string& method, const std::string& path, const std::string& host,
                    const std::string& id, int deadline_ms, const std::string& body);

}  // namespace desk
