// The platform's own processes on one machine: each node with a loopback address of its own, a settings file
// as on real machines, and a log.
#pragma once

#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "lab/platform/ask.h"
#include "lab/process.h"

namespace woadridge::lab::platform {

struct Layout {                 // where everything stands
  std::string net = "127.0.1";  // the first three parts of all addresses
  std::uint16_t port = 7600;    // the first of those in use; the same at all nodes
  int cores = 3, edges = 2;

  static constexpr int kMostNodes = 90;  // of each kind
  static constexpr int kPorts = 100;     // counted from the first

  std::string core_ip(int n) const { return net + "." + std::to_string(1 + n); }
  std::string edge_ip(int n) const { return net + "." + std::to_string(101 + n); }
  std::string provider_ip() const { return net + ".200"; }
  std::uint16_t at(int offset) const { return static_cast<std::uint16_t>(port + offset); }
  // The platform's own: at(0) to at(15).
  Endpoint control(int core) const { return endpoint_at(core_ip(core) + ":" + std::to_string(at(20))); }
  Endpoint front(int edge) const { return endpoint_at(edge_ip(edge) + ":" + std::to_string(at(21))); }
  Endpoint readiness(int edge) const { return endpoint_at(edge_ip(edge) + ":" + std::to_string(at(22))); }
  Endpoint provider() const { return endpoint_at(provider_ip() + ":" + std::to_string(at(23))); }
  std::vector<std::string> instance_addresses() const;  // several thousand
  std::vector<Endpoint> controls() const;
  std::vector<std::string> zones() const { return {"hall-a", "hall-b", "hall-c"}; }
  std::string zone(int n) const { return zones()[static_cast<std::size_t>(n) % zones().size()]; }
};

constexpr const char* kController = "woadridge-controller";
constexpr const char* kAgent = "woadridge-agent";
constexpr const char* kProxy = "woadridge-proxy";

struct NodeOptions {
  std::filesystem::path folder;    // settings, logs, disks
  std::filesystem::path programs;  // where proxy, agent and controller are
  std::string log_level = "info";
  std::uint32_t lag_ms = 300, drain_ms = 3000, grace_s = 6, contact_ms = 4000, apply_ms = 3000;
  double edge_processor = 1, core_processor = 1;  // parts of a core that the settings name
  double edge_link_mbps = 1000;
  double rate_per_s = 50, duty_per_s = 100;
  std::uint32_t retry_window_s = 10, retry_slack = 50;
  double retry_ratio = 0.2;
};

class Nodes {
 public:
  static constexpr Millis kStartAgain{300};  // after a process has ended by itself

  Nodes(Layout layout, NodeOptions options);  // throws std::runtime_error where a program is missing

  void start();  // writes the settings files too
  // Those that have ended by themselves since the last look, and how; they are started again.
  std::vector<std::string> look_after();
  /// SIGKILL; it is started again after `down`.
  void kill(const std::string& program, int number, Millis down = kStartAgain);
  /// Of a core machine that was killed, once its process has ended.
  void empty_disk(int core);
  void signal(const std::string& program, int number, int signal);
  int launches(const std::string& program, int number);
  /// One look: who has used its part of a core for this tenth of a second stands still until the next one
  /// begins. For a thread of its own, every few milliseconds.
  void limit_processors();
  /// The core has taken a configuration: who is started from now on founds nothing.
  void founded();
  std::filesystem::path disk(int core) const;
  // SIGTERM to all, and SIGKILL to those that are still there when the grace is over. What went wrong.
  std::vector<std::string> end();

 private:
  struct Node {
    std::string name, program, role, settings;
    bool core = false;
    int number = 0;
    std::unique_ptr<Process> process;
    Moment again{};  // when it is started again; none: it runs
    Millis down = kStartAgain;
    int launches = 0;
    bool frozen = false;     // by signal()
    bool throttled = false;  // has used its part
    long long used_ns = 0;   // when this tenth of a second began
  };
  Node& node(const std::string& program, int number);
  void write_settings();
  void add(const std::string& program, const std::string& role, bool core, int number);
  void launch(Node& node);
  std::string settings_of(const std::string& name, const std::string& role, bool core, int number) const;

  std::mutex mutex_;  // of what follows
  Layout layout_;
  NodeOptions options_;
  Moment period_end_{};
  bool bootstrap_ = true;  // no core machine holds anything yet
  std::vector<Node> nodes_;
};

}  // namespace woadridge::lab::platform
