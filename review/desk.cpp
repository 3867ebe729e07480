#include "desk.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace desk {
namespace {

const auto kBegan = std::chrono::steady_clock::now();
std::mutex record_guard;
FILE* record = nullptr;

constexpr int kLagMs = 300;  // of the provider's lists
constexpr int kMachines = 3;
constexpr int kMachineMb = 9303;

sockaddr_in place(const std::string& ip, int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  return at;
}

int listen_at(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto at = place(ip, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 && ::listen(fd, 256) == 0) return fd;
  ::close(fd);
  return -1;
}

// A text field of a flat JSON object, as the platform's own calls have them.
std::string field(const std::string& json, const std::string& key) {
  const auto at = json.find("\"" + key + "\":\"");
  if (at == std::string::npos) return {};
  const auto from = at + key.size() + 4;
  return json.substr(from, json.find('"', from) - from);
}

std::string answer(int status, const std::string& lines, const std::string& body, bool keep = true) {
  return "HTTP/1.1 " + std::to_string(status) + " Said\r\n" + lines +
         "Content-Length: " + std::to_string(body.size()) + "\r\n" + (keep ? "" : "Connection: close\r\n") +
         "\r\n" + body;
}

std::string json_answer(int status, const std::string& body) {
  return answer(status, "Content-Type: application/json\r\n", body);
}

}  // namespace

long long now_ms() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now() - kBegan).count();
}

void pause_ms(long long ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool trouble() {
  const char* told = std::getenv("TROUBLE");
  return told == nullptr || std::string(told) != "0";
}

void open_record(const std::string& path) {
  record = std::fopen(path.c_str(), "w");
}

void note(const std::string& line) {
  const std::lock_guard lock(record_guard);
  if (record == nullptr) return;
  std::fprintf(record, "%7.3f %s\n", static_cast<double>(now_ms()) / 1000, line.c_str());
  std::fflush(record);
}

// ---- messages

std::string Message::header(const std::string& name) const {
  std::size_t at = 0;
  while (at < head.size()) {
    const auto end = head.find("\r\n", at);
    const auto line = head.substr(at, end - at);
    const auto colon = line.find(':');
    if (colon == name.size() && strncasecmp(line.c_str(), name.c_str(), colon) == 0) {
      const auto from = line.find_first_not_of(" \t", colon + 1);
      return from == std::string::npos ? std::string() : line.substr(from);
    }
    if (end == std::string::npos) break;
    at = end + 2;
  }
  return {};
}

std::string Message::target() const {
  const auto from = first.find(' ');
  return from == std::string::npos ? std::string()
                                   : first.substr(from + 1, first.find(' ', from + 1) - from - 1);
}

int Message::status() const {
  const auto from = first.find(' ');
  return from == std::string::npos ? 0 : std::atoi(first.c_str() + from + 1);
}

bool Line::connect(const std::string& ip, int port, int receive_buffer) {
  close();
  rest_.clear();
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const auto at = place(ip, port);
  if (::connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) return true;
  close();
  return false;
}

void Line::close() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

bool Line::send(const std::string& bytes) {
  std::size_t sent = 0;
  while (fd_ >= 0 && sent < bytes.size()) {
    const auto n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return fd_ >= 0;
}

bool Line::gone() const {
  char byte;
  const auto n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Message Line::read(long long until_ms, bool no_body, long long bytes_per_s) {
  Message message;
  std::string all = std::move(rest_);
  rest_.clear();
  std::size_t head_end = all.find("\r\n\r\n");
  long long wanted = -1;
  const long long began = now_ms();
  long long taken = 0;
  while (fd_ >= 0) {
    if (head_end == std::string::npos) head_end = all.find("\r\n\r\n");
    if (head_end != std::string::npos && wanted < 0) {
      const auto line_end = all.find("\r\n");
      message.first = all.substr(0, line_end);
      message.head = line_end < head_end ? all.substr(line_end + 2, head_end - line_end - 2) : std::string();
      message.told = std::atoll(message.header("Content-Length").c_str());
      wanted = static_cast<long long>(head_end) + 4 + (no_body ? 0 : message.told);
    }
    if (wanted >= 0 && static_cast<long long>(all.size()) >= wanted) {
      message.whole = true;
      break;
    }
    const long long left = until_ms - now_ms();
    if (left <= 0) break;
    if (bytes_per_s > 0) {
      const long long due = began + taken * 1000 / bytes_per_s;
      if (due > now_ms()) pause_ms(std::min(due - now_ms(), left));
    }
    pollfd wait{fd_, POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(std::min<long long>(left, 200))) <= 0) continue;
    char piece[16384];
    const auto n = ::recv(fd_, piece, sizeof piece, 0);
    if (n <= 0) break;
    all.append(piece, static_cast<std::size_t>(n));
    taken += n;
  }
  if (head_end == std::string::npos || wanted < 0) return message;
  const auto body_end = std::min(all.size(), static_cast<std::size_t>(wanted));
  message.body = all.substr(head_end + 4, body_end - head_end - 4);
  rest_ = all.substr(body_end);
  return message;
}

// ---- servers

Server::Server(const std::string& ip, int port, Handle handle) : fd_(listen_at(ip, port)) {
  if (fd_ < 0) return;
  accepts_ = std::thread([this, handle = std::move(handle)] {
    while (!over_) {
      pollfd wait{fd_, POLLIN, 0};
      if (::poll(&wait, 1, 50) <= 0) continue;
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([fd, handle] {
        Line line(fd);
        while (line.is_open()) {
          const Message asked = line.read(now_ms() + 30'000);
          if (!asked.whole) return;
          handle(line, asked);
        }
      }).detach();
    }
  });
}

Server::~Server() {
  stop();
}

void Server::stop() {
  if (over_.exchange(true)) return;
  if (accepts_.joinable()) accepts_.join();
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

// ---- a way in the middle

struct Way::Pair {
  int in = -1, out = -1;
  std::atomic<bool> reset{false}, over{false};
};

Way::Way(const std::string& ip, int port, const std::string& on_ip, int on_port, std::string from,
         std::string to)
    : from_(std::move(from)), to_(std::move(to)), fd_(listen_at(ip, port)) {
  accepts_ = std::thread([this, on_ip, on_port] {
    while (!over_) {
      pollfd wait{fd_, POLLIN, 0};
      if (::poll(&wait, 1, 50) <= 0) continue;
      auto pair = std::make_shared<Pair>();
      pair->in = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (pair->in < 0) continue;
      pair->out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const auto at = place(on_ip, on_port);
      if (::connect(pair->out, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        ::close(pair->in);
        ::close(pair->out);
        continue;
      }
      const int on = 1;
      setsockopt(pair->in, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      setsockopt(pair->out, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard lock(mutex_);
      std::erase_if(pairs_, [](const auto& p) { return p->over.load(); });
      pairs_.push_back(pair);
      std::thread([this, pair] { carry(pair); }).detach();
    }
  });
}

Way::~Way() {
  over_ = true;
  accepts_.join();
  ::close(fd_);
}

int Way::reset(double part) {
  const std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<Pair>> open;
  for (const auto& pair : pairs_)
    if (!pair->over) open.push_back(pair);
  const auto count = static_cast<std::size_t>(part * static_cast<double>(open.size()));
  for (std::size_t n = 0; n < count; ++n) open[n]->reset = true;
  return static_cast<int>(count);
}

void Way::carry(const std::shared_ptr<Pair>& pair) const {
  bool open = true;
  while (open && !pair->reset) {
    pollfd ends[2] = {{pair->in, POLLIN, 0}, {pair->out, POLLIN, 0}};
    if (::poll(ends, 2, 5) <= 0) continue;
    for (int n = 0; n < 2 && open; ++n) {
      if (ends[n].revents == 0) continue;
      char piece[65536];
      const auto got = ::recv(ends[n].fd, piece, sizeof piece, 0);
      open = got > 0;
      if (!open) break;
      std::string bytes(piece, static_cast<std::size_t>(got));
      const auto at = n == 0 && !from_.empty() ? bytes.find(from_) : std::string::npos;
      if (at != std::string::npos) bytes.replace(at, from_.size(), to_);
      std::size_t sent = 0;
      while (open && sent < bytes.size()) {
        const auto gone = ::send(ends[1 - n].fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        open = gone > 0;
        if (open) sent += static_cast<std::size_t>(gone);
      }
    }
  }
  const linger hard{1, 0};
  for (const int fd : {pair->in, pair->out}) {
    if (pair->reset) setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(fd);
  }
  pair->over = true;
}

// ---- the platform

struct Stage::Life {
  std::string id, address, machine;
  Service service;
  long long up_at = 0, gone_at = -1;  // gone: stopped
  std::atomic<int> busy{0};
  std::unique_ptr<Server> server;
};

Stage::Stage(int cores, int edges, std::vector<Service> services, int way_to)
    : cores_(cores), edges_(edges), way_to_(way_to) {
  for (auto& service : services) services_[service.name] = service;
  char name[] = "/tmp/review-XXXXXX";
  folder_ = ::mkdtemp(name);
  net_ = "127." + std::to_string(20 + ::getpid() % 200);
  for (port_ = 21000 + ::getpid() % 300 * 64;; port_ += 64) {  // ports that nobody has at these addresses
    bool free = true;
    for (int n = 0; n < 3 && free; ++n)
      for (int port : {0, 1, 2, 3, 20, 21, 22, 30}) {
        for (const char* part : {".1.", ".2.", ".3."}) {
          const int fd = listen_at(net_ + part + std::to_string(n + 1), port_ + port);
          free = free && fd >= 0;
          if (fd >= 0) ::close(fd);
        }
      }
    if (free) break;
  }
  for (int n = 0; n < cores_; ++n)
    add("core-" + std::to_string(n + 1), "target/woadridge-controller", true, n);
  for (int n = 0; n < edges_; ++n) {
    add("edge-" + std::to_string(n + 1), "target/woadridge-agent", false, n);
    add("edge-" + std::to_string(n + 1), "target/woadridge-proxy", false, n);
  }
}

Stage::~Stage() {
  end();
}

std::string Stage::settings_of(const std::string& name, bool core, bool serves, int number,
                               bool first) const {
  const std::string zones[] = {"jnia-t3", "kurasini-bond", "msasani-office"};
  const auto port = [&](int offset) { return std::to_string(port_ + offset); };
  const std::string ip = net_ + (core ? ".2." : ".1.") + std::to_string(number + 1);
  std::string seeds;
  for (int n = 0; n < std::min(3, cores_); ++n)
    seeds +=
        (n > 0 ? "," : "") + std::string("\"") + net_ + ".2." + std::to_string(n + 1) + ":" + port(22) + "\"";
  std::string out =
      "node-name = \"" + name + "\"\nrole = \"" +
      (core     ? "core"
       : serves ? "proxy"
                : "agent") +
      "\"\nmachine-class = \"" + (core ? "core" : "edge") + "\"\nserves = [" +
      (core     ? "\"control\""
       : serves ? "\"edge\""
                : "") +
      "]\nip = \"" + ip + "\"\nzone = \"" + zones[number % 3] +
      "\"\nregion = \"dar-es-salaam\"\ninternal-ports = [" + port(0) + "," + port(15) + "]\nseed-nodes = [" +
      seeds + "]\nbootstrap = " + (core && first ? "true" : "false") +
      "\nquorum-member = " + (core ? "true" : "false") +
      "\ndiscovery = \"provider\"\nentry-kind = \"virtual_ip\"\nheartbeat-ms = 1200\n"
      "guarantees = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"functions\"]\n"
      "config_mode = \"highest\"\n";
  if (core) out += "data-path = \"" + folder_ + "/" + name + "\"\n";
  out +=
      "[zones]\njnia-t3 = \"dar-es-salaam\"\nkurasini-bond = \"dar-es-salaam\"\nmsasani-office = "
      "\"dar-es-salaam\"\n[bind-addrs]\n";
  if (core) out += "control-plane = \"" + ip + ":" + port(22) + "\"\n";
  const std::string feed_ip = serves && number == way_to_ ? net_ + ".5." + std::to_string(number + 1) : ip;
  if (!core)
    out += "feed = \"" + feed_ip + ":" + port(2) + "\"\n";  // all edges share this machine's 127.0.0.1
  if (serves)
    out += "front-http = \"" + ip + ":" + port(20) + "\"\nreadiness = \"" + ip + ":" + port(21) + "\"\n";
  out +=
      std::string("[limits]\ncpu-fraction = ") + (core ? "0.6" : "0.25") +
      "\ncpu-cores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = " +
      (core ? "128" : "0") +
      "\n[fault-budget]\nmachine-losses = 1\nzones = 0\nregion-losses = 0\n[bounds]\nseed-staleness-s = 3\n"
      "addr-reuse-s = 2\ncontact-ms = 4000\norder-ack-ms = 5000\nsync-s = 4\ndrain-ms = 3000\ngrace-s = 6\n"
      "loss-slack-ms = 200\napply-ms = 3000\nrevert-slack-ms = 250\nstretch-ms = 12000\nretry-ratio = 0.2\n"
      "retry-window-s = 10\nretry-slack = 52\nrecovery-s = 12\nshed-slack = 10\n[provider]\naddress = \"" +
      net_ + ".3.1:" + port(30) +
      "\"\nrate-per-s = 26.0\nduties = [\"launch\"]\nmax-lag-ms = 800\nduty-per-s = 150.0\n";
  return out;
}

void Stage::add(const std::string& name, const std::string& program, bool core, int number) {
  Node node{name, program, folder_ + "/" + name + program.substr(program.find('-')) + ".toml"};
  std::filesystem::create_directories(folder_ + "/" + name);
  std::ofstream(node.settings) << settings_of(name, core, program.ends_with("proxy"), number);
  nodes_.push_back(node);
}

void Stage::start() {
  provider_ = std::make_unique<Server>(net_ + ".3.1", port_ + 30,
                                       [this](Line& line, const Message& asked) { call(line, asked); });
  if (way_to_ >= 0) {  // what the proxy tells of its place at its agent names the way's
    const std::string own = edge_ip(way_to_), way = net_ + ".5." + std::to_string(way_to_ + 1);
    const std::string peers = ":" + std::to_string(port_ + 1);
    feed_way_ = std::make_unique<Way>(way, port_ + 2, own, port_ + 2, own + peers, way + peers);
    peers_way_ = std::make_unique<Way>(way, port_ + 1, own, port_ + 1);
  }
  for (auto& node : nodes_) launch(node);
}

void Stage::launch(Node& node) {
  node.over = false;
  node.pid = ::fork();
  if (node.pid != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // none outlives the script
  const int log = ::open((node.settings + ".log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  ::dup2(log, 1);
  ::dup2(log, 2);
  ::setenv("WOADRIDGE_CONFIG", node.settings.c_str(), 1);
  ::execl(node.program.c_str(), node.program.c_str(), nullptr);
  ::_exit(127);
}

void Stage::restart_cores() {
  for (auto& node : nodes_)
    if (node.program.ends_with("controller")) ::kill(node.pid, SIGKILL);
  for (int n = 0; n < cores_; ++n) {
    Node& node = nodes_[static_cast<std::size_t>(n)];
    ::waitpid(node.pid, nullptr, 0);
    std::ofstream(node.settings) << settings_of(node.name, true, false, n, false);
    launch(node);
  }
}

int Stage::read_back(long long within_ms) const {
  const long long until = now_ms() + within_ms;
  for (int n = 0; now_ms() < until; ++n) {
    Line line;
    const bool asked = line.connect(net_ + ".2." + std::to_string(n % cores_ + 1), port_ + 22) &&
                       line.send("GET /api/configuration HTTP/1.1\r\nHost: control\r\n\r\n");
    const Message said = asked ? line.read(now_ms() + 1500) : Message{};
    if (said.whole && said.status() == 200) return std::atoi(said.body.c_str() + said.body.find(':') + 1);
    pause_ms(100);
  }
  return 0;
}

bool Stage::ready(long long within_ms) {
  const long long until = now_ms() + within_ms;
  while (now_ms() < until) {
    int there = 0;
    for (int n = 0; n < edges_; ++n) {
      Line line;
      if (!line.connect(edge_ip(n), port_ + 21)) continue;
      line.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
      there += line.read(now_ms() + 500).status() == 200 ? 1 : 0;
    }
    if (there == edges_) return true;
    pause_ms(100);
  }
  return false;
}

int Stage::put(const std::string& configuration, long long within_ms) {
  const long long until = now_ms() + within_ms;
  for (int n = 0; now_ms() < until; ++n) {
    Line line;
    const std::string ip = net_ + ".2." + std::to_string(n % cores_ + 1);
    if (line.connect(ip, port_ + 22) &&
        line.send("PUT /api/configuration HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                  "Content-Length: " +
                  std::to_string(configuration.size()) + "\r\n\r\n" + configuration)) {
      const Message said = line.read(now_ms() + 1500);
      const int status = said.whole ? said.status() : 0;
      if (status == 200 || (status >= 400 && status < 500)) return status;
    }
    pause_ms(100);
  }
  return 0;
}

int Stage::silent_cores() const {
  int silent = 0;
  for (int n = 0; n < cores_; ++n) {
    Line line;
    const bool asked = line.connect(net_ + ".2." + std::to_string(n + 1), port_ + 22) &&
                       line.send("GET /api/status HTTP/1.1\r\nHost: control\r\n\r\n");
    const Message said = asked ? line.read(now_ms() + 3000) : Message{};
    note("core-" + std::to_string(n + 1) + ": " + (said.whole ? said.body : std::string("no answer")));
    silent += said.whole ? 0 : 1;
  }
  return silent;
}

pid_t Stage::proxy(int n) const {
  for (const auto& node : nodes_)
    if (node.name == "edge-" + std::to_string(n + 1) && node.program.ends_with("proxy")) return node.pid;
  return -1;
}

void Stage::signal(pid_t pid, int signal) const {
  ::kill(pid, signal);
}

bool Stage::ended(pid_t pid) {
  for (auto& node : nodes_)
    if (node.pid == pid && !node.over) node.over = ::waitpid(pid, nullptr, WNOHANG) == pid;
  for (const auto& node : nodes_)
    if (node.pid == pid) return node.over;
  return true;
}

void Stage::end() {
  for (const auto& node : nodes_)
    if (node.pid > 0 && !node.over) ::kill(node.pid, SIGKILL);
  for (auto& node : nodes_) {
    if (node.pid > 0 && !node.over) ::waitpid(node.pid, nullptr, 0);
    node.over = true;
  }
  if (provider_) provider_->stop();
  {
    const std::lock_guard lock(mutex_);
    for (auto& [id, life] : lives_)
      if (life->server) life->server->stop();
  }
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder_, ignored);
  else std::fprintf(stderr, "kept: %s\n", folder_.c_str());
}

std::vector<Arrival> Stage::arrivals() const {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

int Stage::instances(const std::string& service) const {
  const std::lock_guard lock(mutex_);
  int up = 0;
  for (const auto& [id, life] : lives_)
    up += life->service.name == service && life->gone_at < 0 && now_ms() >= life->up_at ? 1 : 0;
  return up;
}

// ---- the provider

void Stage::call(Line& line, const Message& asked) {
  const std::string target = asked.target();
  const long long now = now_ms();
  if (target.starts_with("/instances")) {
    std::string list;
    const std::lock_guard lock(mutex_);
    for (const auto& [id, life] : lives_) {
      if (now < life->up_at + kLagMs || (life->gone_at >= 0 && now > life->gone_at + kLagMs)) continue;
      list += (list.empty() ? "" : ",") + std::string("{\"service\":\"") + life->service.name +
              "\",\"address\":\"" + life->address +
              "\",\"zone\":\"jnia-t3\",\"version\":\"v1\",\"capacity\":" +
              std::to_string(life->service.concurrency) +
              ",\"state\":\"ready\",\"cold-left-ms\":0,\"machine\":\"" + life->machine + "\",\"id\":\"" + id +
              "\"}";
    }
    line.send(json_answer(200, "{\"instances\":[" + list + "],\"next-token\":null}"));
    return;
  }
  if (target.starts_with("/api/workers")) {
    std::string list;
    const std::lock_guard lock(mutex_);
    for (int n = 0; n < kMachines; ++n) {
      int spare = kMachineMb;
      for (const auto& [id, life] : lives_)
        if (life->machine == "w-" + std::to_string(n + 1) && life->gone_at < 0)
          spare -= life->service.memory_mb;
      list += (n == 0 ? "" : ",") + std::string("{\"name\":\"w-") + std::to_string(n + 1) +
              "\",\"zone\":\"jnia-t3\",\"memory-mb\":" + std::to_string(kMachineMb) +
              ",\"spare-mb\":" + std::to_string(spare) + ",\"state\":\"ready\"}";
    }
    line.send(json_answer(200, "{\"fleet\":[" + list + "]}"));
    return;
  }
  const auto token = std::strtoull(asked.header("X-Woadridge-Fence-Token").c_str(), nullptr, 10);
  {
    const std::lock_guard lock(mutex_);
    if (token < fence_) {
      line.send(json_answer(403, "{}"));
      return;
    }
    fence_ = token;
  }
  if (target == "/api/begin") {
    line.send(begin(asked));
  } else if (target == "/api/stop") {
    std::shared_ptr<Life> life;
    {
      const std::lock_guard lock(mutex_);
      const auto at = lives_.find(field(asked.body, "id"));
      if (at != lives_.end()) life = at->second;
      if (life && life->gone_at < 0) life->gone_at = now;
    }
    if (life && life->server) life->server->stop();
    if (life) note("provider: stop " + life->id);
    line.send(json_answer(life ? 200 : 404, "{}"));
  } else {
    line.send(json_answer(404, "{}"));
  }
}

std::string Stage::begin(const Message& asked) {
  const std::string service = field(asked.body, "service"),
                    nonce = service + "/" + field(asked.body, "nonce");
  const std::lock_guard lock(mutex_);
  const auto told = [this](const std::string& id) {
    return json_answer(200, "{\"id\":\"" + id + "\",\"address\":\"" + lives_[id]->address + "\"}");
  };
  if (nonces_.contains(nonce)) return told(nonces_[nonce]);
  if (!services_.contains(service)) return json_answer(400, "{}");
  auto life = std::make_shared<Life>();
  const int number = ++numbers_;
  life->id = "i-" + std::to_string(number);
  const std::string ip = net_ + ".4." + std::to_string(number % 250 + 1);
  const int port = port_ + 40 + number / 250;
  life->address = ip + ":" + std::to_string(port);
  life->machine = field(asked.body, "machine");
  life->service = services_[service];
  life->up_at = now_ms() + life->service.startup_ms;
  lives_[life->id] = life;
  nonces_[nonce] = life->id;
  note("provider: begin " + life->id + " of " + service);
  std::thread([this, life, ip, port] {
    pause_ms(life->up_at - now_ms());
    const std::lock_guard lock(mutex_);
    if (life->gone_at >= 0) return;
    life->server =
        std::make_unique<Server>(ip, port, [this, life](Line& l, const Message& m) { run(life, l, m); });
  }).detach();
  return told(life->id);
}

// ---- an instance

void Stage::run(const std::shared_ptr<Life>& life, Line& line, const Message& asked) {
  const std::string id = asked.header("X-Woadridge-Attempt-Id");
  const std::string wanted = asked.header("X-Woadridge-Target-Instance");
  const std::string echo = "X-Woadridge-Attempt-Id: " + id + "\r\n";
  const std::string not_run = echo + "X-Woadridge-Not-Executed: 1\r\n";
  if (id.empty() || (!wanted.empty() && wanted != life->id)) {
    line.send(answer(id.empty() ? 400 : 421, not_run, {}));
    return;
  }
  if (++life->busy > life->service.concurrency) {
    --life->busy;
    line.send(answer(503, not_run, {}));
    return;
  }
  std::size_t at;
  {
    const std::lock_guard lock(mutex_);
    at = arrivals_.size();
    arrivals_.push_back({id, life->service.name, life->id, asked.target(), now_ms(), -1, false});
  }
  note("instance " + life->id + " of " + life->service.name + ": runs " + id + " " + asked.target() + ", " +
       std::to_string(asked.body.size()) + " bytes");
  const auto deadline = std::atoll(asked.header("X-Woadridge-Deadline-Ms").c_str());
  const long long end = now_ms() + std::min<long long>(life->service.work_ms, deadline);
  bool dropped = false;
  while (now_ms() < end && !dropped) {  // one whose connection has closed is dropped
    pause_ms(std::min<long long>(10, std::max<long long>(1, end - now_ms())));
    dropped = line.gone();
  }
  --life->busy;
  {
    const std::lock_guard lock(mutex_);
    arrivals_[at].ended = now_ms();
    arrivals_[at].dropped = dropped;
  }
  if (dropped) {
    note("instance " + life->id + ": drops " + id);
    return line.close();
  }
  if (life->service.work_ms > deadline) {
    line.send(answer(504, echo, {}));
    return;
  }
  if (life->service.status != 200) {
    line.send(answer(life->service.status, echo, "gone\n"));
    return;
  }
  const std::string mark = life->service.name + "." + id + ".";
  std::string body;
  while (body.size() < life->service.answer_bytes) body += mark;
  body.resize(life->service.answer_bytes);
  line.send(answer(200, echo + "X-Woadridge-Instance-Seal: " + life->id + "." + id + "\r\n", body));
}

// ---- texts

std::string limits_json(int max_body_bytes) {
  return "{\"max-header-bytes\":16384,\"max-body-bytes\":" + std::to_string(max_body_bytes) +
         ",\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}";
}

std::string service_json(const Service& s) {
  return "{\"name\":\"" + s.name +
         "\",\"health-path\":null,\"max-conns\":134,\"protocol\":\"h1\",\"tls\":false," +
         "\"memory-mb\":" + std::to_string(s.memory_mb) + ",\"startup-ms\":" + std::to_string(s.startup_ms) +
         ",\"concurrency\":" + std::to_string(s.concurrency) + "}";
}

std::string route_json(const std::string& name, const std::string& host, const std::string& prefix,
                       const std::string& service, bool mutating, int deadline_ms) {
  return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"path-prefix\":\"" + prefix +
         "\",\"kind\":\"" + (mutating ? "mutating" : "idempotent") +
         "\",\"deadline-ms\":" + std::to_string(deadline_ms) +
         ",\"target-ms\":500,\"priority\":1,\"service\":\"" + service +
         "\",\"max-tries\":" + (mutating ? "1" : "2") + "}";
}

std::string configuration_json(int version, const std::vector<std::string>& routes,
                               const std::vector<Service>& services, int max_body_bytes) {
  std::string out = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (std::size_t n = 0; n < routes.size(); ++n) out += (n == 0 ? "" : ",") + routes[n];
  out += "],\"services\":[";
  for (std::size_t n = 0; n < services.size(); ++n) out += (n == 0 ? "" : ",") + service_json(services[n]);
  return out + "],\"limits\":" + limits_json(max_body_bytes) + "}";
}

std::string request(const std::string& method, const std::string& path, const std::string& host,
                    const std::string& id, int deadline_ms, const std::string& body) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Woadridge-Attempt-Id: " + id +
         "\r\nX-Woadridge-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
         (body.empty() && method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

}  // namespace desk
