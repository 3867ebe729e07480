#include "lab/platform/nodes.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace woadridge::lab::platform {
namespace {

namespace fs = std::filesystem;

constexpr int kInternal = 16;       // ports that each node keeps for the platform's own
constexpr int kFirstInstance = 30;  // of the ports
constexpr Millis kLookEvery{10};
constexpr Millis kPeriod{100};  // in which a process may use its part of a core
constexpr double kCoreLinkMbps = 1000;

std::string quoted(const std::string& text) {
  return "\"" + text + "\"";
}

std::string list(const std::vector<std::string>& texts) {
  std::string all;
  for (const auto& text : texts) all += (all.empty() ? "" : ", ") + quoted(text);
  return "[" + all + "]";
}

std::string way_of(int status) {  // of wait(2)
  if (WIFSIGNALED(status)) return "was ended by signal " + std::to_string(WTERMSIG(status));
  return "ended with status " + std::to_string(WEXITSTATUS(status));
}

}  // namespace

std::vector<std::string> Layout::instance_addresses() const {
  std::vector<std::string> all;
  for (int offset = kFirstInstance; offset < kPorts; ++offset)
    for (int last = 201; last <= 250; ++last)
      all.push_back(net + "." + std::to_string(last) + ":" + std::to_string(at(offset)));
  return all;
}

std::vector<Endpoint> Layout::controls() const {
  std::vector<Endpoint> all;
  for (int n = 0; n < cores; ++n) all.push_back(control(n));
  return all;
}

Nodes::Nodes(Layout layout, NodeOptions options) : layout_(std::move(layout)), options_(std::move(options)) {
  for (const char* program : {kController, kAgent, kProxy})
    if (::access((options_.programs / program).c_str(), X_OK) != 0)
      throw std::runtime_error((options_.programs / program).string() +
                               ": no program there (--programs names the folder of a build with "
                               "-DWOADRIDGE_PLATFORM=ON)");
  options_.folder = fs::absolute(options_.folder);
}

void Nodes::start() {
  for (int n = 0; n < layout_.cores; ++n) {
    fs::create_directories(disk(n));
    bootstrap_ = bootstrap_ && fs::is_empty(disk(n));
  }
  for (int n = 0; n < layout_.cores; ++n) add(kController, "core", true, n);
  for (int n = 0; n < layout_.edges; ++n) {
    add(kAgent, "agent", false, n);
    add(kProxy, "proxy", false, n);
  }
  write_settings();
  for (auto& node : nodes_) launch(node);
}

fs::path Nodes::disk(int core) const {
  return options_.folder / ("core-" + std::to_string(core + 1)) / "disk";
}

void Nodes::add(const std::string& program, const std::string& role, bool core, int number) {
  const std::string name = (core ? "core-" : "edge-") + std::to_string(number + 1);
  const auto folder = options_.folder / name;
  fs::create_directories(folder);
  Node node{name,
            program,
            role,
            (folder / (program + ".toml")).string(),
            core,
            number,
            std::make_unique<Process>()};
  nodes_.push_back(std::move(node));
}

void Nodes::write_settings() {
  for (const auto& node : nodes_) {
    const std::string beside = node.settings + ".new";  // a reader sees the old file or the new one
    std::ofstream file(beside, std::ios::binary);
    file << settings_of(node.name, node.role, node.core, node.number);
    file.close();
    if (!file) throw std::runtime_error(beside + ": cannot be written");
    fs::rename(beside, node.settings);
  }
}

void Nodes::founded() {
  bootstrap_ = false;
  write_settings();
}

void Nodes::launch(Node& node) {
  ++node.launches;
  node.frozen = node.throttled = false;
  node.used_ns = 0;
  const auto log = fs::path(node.settings).replace_extension(".log");
  node.process->start((options_.programs / node.program).string(), {}, log.string(),
                      {"--settings=" + node.settings, "--log_level=" + options_.log_level});
}

int Nodes::launches(const std::string& program, int number) {
  const std::lock_guard lock(mutex_);
  return node(program, number).launches;
}

void Nodes::limit_processors() {
  const std::lock_guard lock(mutex_);
  const Moment now = std::chrono::steady_clock::now();
  const bool begins = now >= period_end_;
  if (begins) period_end_ = now + kPeriod;
  for (auto& node : nodes_) {
    const long long used = node.process->processor_ns();
    if (begins || used < node.used_ns) node.used_ns = used;
    const double part = (node.core ? options_.core_processor : options_.edge_processor) *
                        static_cast<double>(std::chrono::nanoseconds(kPeriod).count());
    const bool over = !begins && static_cast<double>(used - node.used_ns) >= part;
    if (over == node.throttled) continue;
    node.throttled = over;
    if (!node.frozen) node.process->signal(over ? SIGSTOP : SIGCONT);
  }
}

std::vector<std::string> Nodes::look_after() {
  const std::lock_guard lock(mutex_);
  const Moment now = std::chrono::steady_clock::now();
  std::vector<std::string> ended;
  for (auto& node : nodes_) {
    if (node.process->running()) continue;
    if (node.again == Moment{}) {
      ended.push_back(node.name + " " + node.program + " " + way_of(node.process->status()));
      node.again = now + std::exchange(node.down, kStartAgain);
    } else if (node.again <= now) {
      node.again = {};
      launch(node);
    }
  }
  return ended;
}

Nodes::Node& Nodes::node(const std::string& program, int number) {
  for (auto& node : nodes_)
    if (node.program == program && node.number == number) return node;
  throw std::runtime_error("no " + program + " has the number " + std::to_string(number + 1));
}

void Nodes::kill(const std::string& program, int number, Millis down) {
  const std::lock_guard lock(mutex_);
  Node& killed = node(program, number);
  killed.down = down;
  killed.process->signal(SIGKILL);
}

void Nodes::empty_disk(int core) {
  const std::lock_guard lock(mutex_);
  node(kController, core).process->end(SIGKILL);
  for (const auto& entry : fs::directory_iterator(disk(core))) fs::remove_all(entry.path());
}

void Nodes::signal(const std::string& program, int number, int signal) {
  const std::lock_guard lock(mutex_);
  Node& signalled = node(program, number);
  if (signal == SIGSTOP || signal == SIGCONT) signalled.frozen = signal == SIGSTOP;
  if (signal == SIGCONT && signalled.throttled) return;  // it goes on with the next tenth of a second
  signalled.process->signal(signal);
}

std::vector<std::string> Nodes::end() {
  const Moment limit = std::chrono::steady_clock::now() + std::chrono::seconds(options_.grace_s);
  for (auto& node : nodes_) {
    node.process->signal(SIGTERM);
    node.process->signal(SIGCONT);
  }
  const auto runs = [](Node& node) { return node.process->running(); };
  while (std::any_of(nodes_.begin(), nodes_.end(), runs) && std::chrono::steady_clock::now() < limit)
    std::this_thread::sleep_for(kLookEvery);
  std::vector<std::string> faults;
  for (auto& node : nodes_) {
    const std::string name = node.name + " " + node.program;
    if (node.process->running()) faults.push_back(name + " is still there after its grace");
    else if (node.process->status() != 0) faults.push_back(name + " " + way_of(node.process->status()));
    node.process->end(SIGKILL);
  }
  nodes_.clear();
  return faults;
}

std::string Nodes::settings_of(const std::string& name, const std::string& role, bool core,
                               int number) const {
  const std::string ip = core ? layout_.core_ip(number) : layout_.edge_ip(number);
  const std::string region = "here";
  std::vector<std::string> seeds;
  for (const auto& place : layout_.controls())
    if (seeds.size() < 3) seeds.push_back(text_of(place));
  std::string out = "# A node of the platform on loopback, written by woadridge-lab.\n";
  const auto line = [&out](const std::string& key, const std::string& value) {
    out += key + " = " + value + "\n";
  };
  const auto yes = [](bool value) { return std::string(value ? "true" : "false"); };
  line("node-name", quoted(name));
  line("role", quoted(role));
  line("machine-class", quoted(core ? "core" : "edge"));
  line("serves", role == "agent" ? "[]" : list({core ? "control" : "edge"}));
  line("ip", quoted(ip));
  line("zone", quoted(layout_.zone(number)));
  line("region", quoted(region));
  line("internal-ports",
       "[" + std::to_string(layout_.at(0)) + ", " + std::to_string(layout_.at(kInternal - 1)) + "]");
  line("seed-nodes", list(seeds));
  line("bootstrap", yes(bootstrap_));
  line("quorum-member", yes(core));
  if (core) line("data-path", quoted((options_.folder / name / "disk").string()));
  line("discovery", quoted("provider"));
  line("entry-kind", quoted("virtual_ip"));
  line("heartbeat-ms", "1200");
  line("config_mode", quoted("highest"));
  out += "\n[zones]\n";
  for (const auto& zone : layout_.zones()) line(zone, quoted(region));
  out += "\n[bind-addrs]\n";
  if (role == "core") line("control-plane", quoted(text_of(layout_.control(number))));
  if (role == "proxy") {
    line("front-http", quoted(text_of(layout_.front(number))));
    line("readiness", quoted(text_of(layout_.readiness(number))));
  }
  if (!core)
    line("feed", quoted(ip + ":" + std::to_string(layout_.at(2))));  // 127.0.0.1 is the same for all here
  out += "\n[limits]\n";
  line("cpu-fraction", std::to_string(core ? options_.core_processor : options_.edge_processor));
  line("memory-mb", "260");
  line("max-fds", "1024");
  line("link-mbps", std::to_string(core ? kCoreLinkMbps : options_.edge_link_mbps));
  line("disk-mb", core ? "128" : "0");
  out += "\n[fault-budget]\n";
  line("machine-losses", std::to_string((layout_.cores - 1) / 2));
  line("zones", "0");
  line("region-losses", "0");
  out += "\n[bounds]\n";
  line("contact-ms", std::to_string(options_.contact_ms));
  line("order-ack-ms", "5000");
  line("drain-ms", std::to_string(options_.drain_ms));
  line("grace-s", std::to_string(options_.grace_s));
  line("apply-ms", std::to_string(options_.apply_ms));
  line("retry-ratio", std::to_string(options_.retry_ratio));
  line("retry-window-s", std::to_string(options_.retry_window_s));
  line("retry-slack", std::to_string(options_.retry_slack));
  out += "\n[provider]\n";
  line("address", quoted(text_of(layout_.provider())));
  line("rate-per-s", std::to_string(options_.rate_per_s));
  line("duty-per-s", std::to_string(options_.duty_per_s));
  line("max-lag-ms", std::to_string(options_.lag_ms));
  line("duties", list({"launch"}));
  return out;
}

}  // namespace woadridge::lab::platform
