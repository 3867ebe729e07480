#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <memory>
#include <random>

namespace rig {
namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point kBegan = Clock::now();

std::string lower(std::string text) {
  for (char& c : text)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c + 32);
  return text;
}

std::string trimmed(const std::string& text) {
  const auto from = text.find_first_not_of(" \t");
  if (from == std::string::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string in_quotes(const std::string& text) {
  return "\"" + text + "\"";
}

std::string answer_of(int status, const std::string& headers, const std::string& body) {
  const char* reason = status == 200 ? "OK" : "Other";
  return "HTTP/1.1 " + std::to_string(status) + " " + reason +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

}  // namespace

double now_s() {
  return std::chrono::duration<double>(Clock::now() - kBegan).count();
}

void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void Record::line(const std::string& who, const std::string& what) {
  const std::lock_guard lock(guard_);
  char at[32];
  std::snprintf(at, sizeof at, "%8.3f ", now_s());
  out_ << at << who << ": " << what << std::endl;
}

// ---- HTTP

int Message::status() const {
  return first.size() >= 12 ? std::atoi(first.c_str() + 9) : 0;
}

std::string Message::method() const {
  return first.substr(0, first.find(' '));
}

std::string Message::target() const {
  const auto one = first.find(' ');
  return one == std::string::npos ? std::string() : first.substr(one + 1, first.find(' ', one + 1) - one - 1);
}

std::string Message::header(const std::string& name) const {
  const auto at = headers.find(lower(name));
  return at == headers.end() ? std::string() : at->second;
}

Wire::~Wire() {
  ::close(fd_);
}

bool Wire::read(Message& message) {
  message = {};
  char bytes[16384];
  std::size_t end = 0;
  while ((end = left_.find("\r\n\r\n")) == std::string::npos) {
    const auto got = ::recv(fd_, bytes, sizeof bytes, 0);
    if (got <= 0) return false;
    left_.append(bytes, static_cast<std::size_t>(got));
  }
  std::size_t from = 0;
  while (from < end) {
    const auto stop = left_.find("\r\n", from);
    const std::string line = left_.substr(from, stop - from);
    from = stop + 2;
    if (message.first.empty()) {
      message.first = line;
      continue;
    }
    const auto colon = line.find(':');
    if (colon != std::string::npos)
      message.headers[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
  }
  left_.erase(0, end + 4);
  const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
  while (left_.size() < length) {
    const auto got = ::recv(fd_, bytes, sizeof bytes, 0);
    if (got <= 0) {
      message.body = left_;
      return false;
    }
    left_.append(bytes, static_cast<std::size_t>(got));
  }
  message.body = left_.substr(0, length);
  left_.erase(0, length);
  return true;
}

bool Wire::write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto put = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (put <= 0) return false;
    sent += static_cast<std::size_t>(put);
  }
  return true;
}

bool Wire::peer_gone() const {
  char byte;
  const auto got = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

int connect_to(const std::string& ip, int port, const ConnectOptions& options) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  if (options.receive_buffer > 0)
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer, sizeof options.receive_buffer);
  if (options.segment > 0)
    ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof options.segment);
  timeval silence{static_cast<time_t>(options.silence_s), 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &silence, sizeof silence);
  const int yes = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  const auto address = address_of(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  ::close(fd);
  return -1;
}

int listen_at(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int yes = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  const auto address = address_of(ip, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 && ::listen(fd, 512) == 0)
    return fd;
  ::close(fd);
  return -1;
}

void download(int fd, const std::string& host, const std::string& target, int deadline_ms, double bytes_per_s,
              Download& client, Record& record) {
  const std::string request =
      "POST " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Woadridge-Attempt-Id: " + client.id +
      "\r\nX-Woadridge-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nContent-Length: 2\r\n\r\n{}";
  client.sent = now_s();
  if (::send(fd, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size()))
    return;
  record.line(client.id, "sent " + target);
  std::string got;
  std::size_t head = std::string::npos;
  char bytes[4096];
  while (head == std::string::npos || client.body < client.length) {
    const ssize_t more = ::recv(fd, bytes, sizeof bytes, 0);
    if (more <= 0) break;
    if (head != std::string::npos) {
      client.body += static_cast<std::size_t>(more);
    } else {
      got.append(bytes, static_cast<std::size_t>(more));
      head = got.find("\r\n\r\n");
      if (head == std::string::npos) continue;
      client.status = std::atoi(got.c_str() + 9);
      const auto at = got.find("Content-Length: ");
      if (at != std::string::npos) client.length = std::strtoul(got.c_str() + at + 16, nullptr, 10);
      client.body = got.size() - head - 4;
      client.began = now_s();
      record.line(client.id, "answer begins, status " + std::to_string(client.status) + ", " +
                                 std::to_string(client.length) + " bytes");
    }
    sleep_s(client.began + static_cast<double>(client.body) / bytes_per_s - now_s());
  }
  client.ended = now_s();
  const bool whole = head != std::string::npos && client.body == client.length;
  record.line(client.id, (whole ? "answer whole, " : "CONNECTION ENDED, ") + std::to_string(client.body) +
                             " of " + std::to_string(client.length) + " bytes");
}

// ---- the platform's programs

Layout free_layout() {
  std::random_device chance;
  Layout layout;
  for (int tries = 0; tries < 100; ++tries) {
    layout.net = "127." + std::to_string(20 + chance() % 200) + "." + std::to_string(1 + chance() % 250);
    layout.port = static_cast<int>(12000 + chance() % 18000);
    bool free = true;
    for (int offset = 0; offset < 100 && free; ++offset) {
      const int fd = listen_at(layout.instance_ip(), layout.port + offset);
      free = fd >= 0;
      if (fd >= 0) ::close(fd);
    }
    if (free) break;
  }
  char name[] = "/tmp/woadridge-review-XXXXXX";
  if (::mkdtemp(name) != nullptr) layout.folder = name;
  return layout;
}

Programs::Programs(Layout layout) : layout_(std::move(layout)) {}

Programs::~Programs() {
  for (auto& process : processes_)
    if (process.pid > 0 && !process.over) {
      ::kill(process.pid, SIGCONT);
      ::kill(process.pid, SIGKILL);
      ::waitpid(process.pid, nullptr, 0);
    }
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr && !layout_.folder.empty())
    std::filesystem::remove_all(layout_.folder, ignored);
}

// The commands are those of the deploy file: no arguments, the settings file named by WOADRIDGE_CONFIG.
void Programs::start() {
  const auto add = [&](const std::string& node, const std::string& role, const std::string& program, int n) {
    const std::string folder = layout_.folder + "/" + node;
    ::mkdir(folder.c_str(), 0755);
    Process process{node, role, program, folder + "/" + role + ".toml"};
    std::ofstream(process.settings) << settings_of(node, role, n);
    processes_.push_back(process);
  };
  for (int n = 0; n < layout_.cores; ++n) {
    const std::string node = "core-" + std::to_string(n + 1);
    add(node, "core", "target/woadridge-controller", n);
    ::mkdir((layout_.folder + "/" + node + "/disk").c_str(), 0755);
  }
  for (int n = 0; n < layout_.edges; ++n) {
    add("edge-" + std::to_string(n + 1), "agent", "target/woadridge-agent", n);
    add("edge-" + std::to_string(n + 1), "proxy", "target/woadridge-proxy", n);
  }
  for (auto& process : processes_) {
    launch(process);
    process.over = false;
  }
}

void Programs::launch(Process& process) const {
  const std::string named = "WOADRIDGE_CONFIG=" + process.settings;
  const std::string log = process.settings + ".log";
  const char* path = std::getenv("PATH");
  const std::string path_line = std::string("PATH=") + (path != nullptr ? path : "/usr/bin:/bin");
  process.pid = ::fork();
  if (process.pid != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // none outlives this program, however that ends
  const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(fd, 1);
  ::dup2(fd, 2);
  char* const arguments[] = {const_cast<char*>(process.program.c_str()), nullptr};
  char* const variables[] = {const_cast<char*>(named.c_str()), const_cast<char*>(path_line.c_str()), nullptr};
  ::execve(process.program.c_str(), arguments, variables);
  ::_exit(127);
}

void Programs::signal(const std::string& node, const std::string& role, int signal) {
  for (auto& process : processes_)
    if (process.node == node && process.role == role && runs(node, role)) ::kill(process.pid, signal);
}

bool Programs::runs(const std::string& node, const std::string& role) {
  for (auto& process : processes_) {
    if (process.node != node || process.role != role) continue;
    if (!process.over && ::waitpid(process.pid, nullptr, WNOHANG) == process.pid) process.over = true;
    return !process.over;
  }
  return false;
}

std::string Programs::settings_of(const std::string& node, const std::string& role, int number) const {
  const bool core = role == "core";
  const std::string ip = core ? layout_.core_ip(number) : layout_.edge_ip(number);
  const std::vector<std::string> zones = {"jnia-t3", "kurasini-bond", "msasani-office"};
  std::string seeds, out;
  for (int n = 0; n < std::min(3, layout_.cores); ++n)
    seeds += (n > 0 ? ", " : "") + in_quotes(layout_.core_ip(n) + ":" + std::to_string(layout_.control()));
  const auto line = [&out](const std::string& key, const std::string& value) {
    out += key + " = " + value + "\n";
  };
  line("node-name", in_quotes(node));
  line("role", in_quotes(role));
  line("machine-class", in_quotes(core ? "core" : "edge"));
  line("serves", role == "agent" ? "[]" : core ? "[\"control\"]" : "[\"edge\"]");
  line("ip", in_quotes(ip));
  line("zone", in_quotes(zones[static_cast<std::size_t>(number) % zones.size()]));
  line("region", in_quotes("dar-es-salaam"));
  line("internal-ports", "[" + std::to_string(layout_.port) + ", " + std::to_string(layout_.port + 15) + "]");
  line("seed-nodes", "[" + seeds + "]");
  line("bootstrap", "true");
  line("quorum-member", core ? "true" : "false");
  if (core) line("data-path", in_quotes(layout_.folder + "/" + node + "/disk"));
  line("discovery", in_quotes("provider"));
  line("entry-kind", in_quotes("virtual_ip"));
  line("heartbeat-ms", "1200");
  line("guarantees", R"(["base","drain","config","cost","retry","recover","functions"])");
  line("config_mode", in_quotes("highest"));
  out += "[zones]\n";
  for (const auto& zone : zones) line(zone, in_quotes("dar-es-salaam"));
  out += "[bind-addrs]\n";
  if (core) line("control-plane", in_quotes(ip + ":" + std::to_string(layout_.control())));
  if (role == "proxy") {
    line("front-http", in_quotes(ip + ":" + std::to_string(layout_.front())));
    line("readiness", in_quotes(ip + ":" + std::to_string(layout_.readiness())));
  }
  // Several edges share this machine's 127.0.0.1, so each has its own place for what DEPLOY.md leaves to it.
  if (!core) line("feed", in_quotes(ip + ":" + std::to_string(layout_.port + 2)));
  out += "[limits]\n";
  line("cpu-fraction", core ? "0.6" : "0.25");
  line("cpu-cores", "1");
  line("memory-mb", core ? "256" : "260");
  line("max-fds", "1024");
  line("link-mbps", "1000.0");
  line("disk-mb", core ? "128" : "0");
  out += "[fault-budget]\nmachine-losses = 1\nzones = 0\nregion-losses = 0\n";
  out +=
      "[bounds]\nseed-staleness-s = 3\naddr-reuse-s = 2\ncontact-ms = 4000\norder-ack-ms = 5000\n"
      "sync-s = 4\ndrain-ms = 3000\ngrace-s = 6\nloss-slack-ms = 200\napply-ms = 3000\n"
      "revert-slack-ms = 250\nstretch-ms = 12000\nretry-ratio = 0.2\nretry-window-s = 10\n"
      "retry-slack = 52\nrecovery-s = 12\nshed-slack = 10\n";
  out += "[provider]\n";
  line("address", in_quotes(layout_.provider_ip() + ":" + std::to_string(layout_.provider())));
  out += "rate-per-s = 26.0\nduties = [\"launch\"]\nmax-lag-ms = 800\nduty-per-s = 150.0\n";
  return out;
}

// ---- the provider

Provider::Provider(Layout layout, std::vector<Function> functions, Record& record, WorkOf work_of)
    : layout_(std::move(layout)),
      functions_(std::move(functions)),
      record_(record),
      work_of_(std::move(work_of)) {}

void Provider::open() {
  listener_ = listen_at(layout_.provider_ip(), layout_.provider());
  std::thread([this] {
    serve(listener_, [this](Wire& wire, const Message& message) { return call(wire, message); });
  }).detach();
}

// The process ends right after: its threads end with it.
Provider::~Provider() {
  over_ = true;
}

void Provider::serve(int listener, const std::function<bool(Wire&, const Message&)>& handle) {
  while (!over_) {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    std::thread([fd, handle] {
      Wire wire(fd);
      Message message;
      while (wire.read(message))
        if (!handle(wire, message)) return;
    }).detach();
  }
}

bool Provider::call(Wire& wire, const Message& message) {
  const std::string target = message.target();
  const std::string path = target.substr(0, target.find('?'));
  int status = 200;
  std::string body = "{}";
  const std::string fence = message.header("X-Woadridge-Fence-Token");
  if (message.method() == "POST") {
    const std::lock_guard lock(guard_);
    const std::uint64_t told = std::strtoull(fence.c_str(), nullptr, 10);
    if (told < fence_) status = 412;
    fence_ = std::max(fence_, told);
  }
  if (path == "/instances") body = list();
  else if (path == "/api/workers") body = fleet();
  else if (status == 200 && path == "/api/begin") body = begin(message.body, status);
  else if (status == 200 && path == "/api/stop") {
    const std::lock_guard lock(guard_);
    const auto at = all_.find(json_field(message.body, "id"));
    if (at == all_.end()) {
      status = 404;
    } else if (!at->second->stopped.exchange(true)) {
      if (at->second->fd >= 0) ::shutdown(at->second->fd, SHUT_RDWR);
      record_.line("provider", "stopped " + at->first);
    }
  } else if (path != "/api/begin") status = status == 200 ? 404 : status;
  return wire.write(answer_of(status, "Content-Type: application/json\r\n", body));
}

std::string Provider::begin(const std::string& body, int& status) {
  const std::lock_guard lock(guard_);
  const std::string service = json_field(body, "service"), machine = json_field(body, "machine");
  const auto function = std::find_if(functions_.begin(), functions_.end(),
                                     [&](const Function& f) { return f.name == service; });
  if (function == functions_.end() || machine.empty()) return status = 400, "{}";
  auto& known = nonces_[service + " " + json_field(body, "nonce")];
  if (known.empty()) {
    if (numbers_ >= 60) return status = 409, "{}";  // as many addresses as are kept
    auto instance = std::make_shared<Instance>();
    instance->id = known = "i-" + std::to_string(++numbers_);
    instance->service = service;
    instance->machine = machine;
    instance->capacity = function->concurrency;
    instance->memory_mb = function->memory_mb;
    instance->port = layout_.first_instance() + numbers_;
    instance->address = layout_.instance_ip() + ":" + std::to_string(instance->port);
    instance->up = now_s() + function->startup_ms / 1000.0;
    all_[known] = instance;
    record_.line("provider", "starts " + known + " of " + service);
    std::thread([this, instance] { bring_up(instance); }).detach();
  }
  return "{\"id\":" + in_quotes(known) + ",\"address\":" + in_quotes(all_[known]->address) + "}";
}

std::string Provider::list() {
  const std::lock_guard lock(guard_);
  std::string out;
  for (const auto& [id, instance] : all_) {
    if (!instance->listens || instance->stopped) continue;
    out += (out.empty() ? "" : ",") + ("{\"id\":" + in_quotes(id)) +
           ",\"service\":" + in_quotes(instance->service) + ",\"address\":" + in_quotes(instance->address) +
           ",\"zone\":\"jnia-t3\",\"version\":\"v1\"" + ",\"machine\":" + in_quotes(instance->machine) +
           ",\"capacity\":" + std::to_string(instance->capacity) + ",\"state\":\"ready\",\"cold-left-ms\":0}";
  }
  return "{\"instances\":[" + out + "],\"next-token\":null}";
}

std::string Provider::fleet() {
  const std::lock_guard lock(guard_);
  std::string out;
  for (const char* machine : {"w-1", "w-2", "w-3"}) {
    int spare = 9303;
    for (const auto& [id, instance] : all_)
      if (instance->machine == machine && !instance->stopped) spare -= instance->memory_mb;
    out += std::string(out.empty() ? "" : ",") + "{\"name\":" + in_quotes(machine) +
           ",\"zone\":\"jnia-t3\",\"memory-mb\":9303,\"spare-mb\":" + std::to_string(std::max(0, spare)) +
           ",\"state\":\"ready\"}";
  }
  return "{\"fleet\":[" + out + "]}";
}

void Provider::bring_up(const InstanceRef& instance) {
  sleep_s(instance->up - now_s());
  {
    const std::lock_guard lock(guard_);
    if (instance->stopped) return;
    instance->fd = listen_at(layout_.instance_ip(), instance->port);
    instance->listens = instance->fd >= 0;
  }
  record_.line(instance->id, "is up");
  serve(instance->fd,
        [this, instance](Wire& wire, const Message& message) { return work(wire, message, instance); });
}

// Works as PROTOCOL.md says: 421 for another's, 503 beyond its capacity, both not run; a request whose
// connection closes is dropped.
bool Provider::work(Wire& wire, const Message& message, const InstanceRef& instance) {
  const std::string attempt = message.header("X-Woadridge-Attempt-Id");
  const std::string aim = message.header("X-Woadridge-Target-Instance");
  const std::string echo = "X-Woadridge-Attempt-Id: " + attempt + "\r\n";
  const auto turn_away = [&](int status) {
    record_.line(instance->id, "turns away " + attempt + " with " + std::to_string(status));
    return wire.write(answer_of(status, echo + "X-Woadridge-Not-Executed: 1\r\n", ""));
  };
  if (attempt.empty()) return turn_away(400);
  if (!aim.empty() && aim != instance->id) return turn_away(421);
  if (++instance->busy > instance->capacity) {
    --instance->busy;
    return turn_away(503);
  }
  const Work work = work_of_(message);
  Run run{attempt, instance->id, message.target(), now_s(), 0, true};
  std::size_t number = 0;
  {
    const std::lock_guard lock(guard_);
    number = runs_.size();
    runs_.push_back(run);
  }
  record_.line(instance->id, "runs " + attempt + " " + message.target() + ", deadline " +
                                 message.header("X-Woadridge-Deadline-Ms") + " ms");
  while (run.answered && now_s() < run.from + work.seconds) {
    sleep_s(std::min(0.02, run.from + work.seconds - now_s()));
    run.answered = !wire.peer_gone();
  }
  run.to = now_s();
  --instance->busy;
  record_.line(instance->id, (run.answered ? "has run " : "drops, its connection is closed, ") + attempt);
  {
    const std::lock_guard lock(guard_);
    runs_[number] = run;
  }
  if (!run.answered) return false;
  const std::string body(work.bytes, 'x');
  return wire.write(
      answer_of(200, echo + "X-Woadridge-Instance-Seal: " + instance->id + "." + attempt + "\r\n", body));
}

std::vector<Run> Provider::runs() {
  const std::lock_guard lock(guard_);
  return runs_;
}

std::size_t Provider::instances() {
  const std::lock_guard lock(guard_);
  return static_cast<std::size_t>(std::count_if(
      all_.begin(), all_.end(), [](const auto& at) { return at.second->listens && !at.second->stopped; }));
}

// ---- the operator

std::string json_field(const std::string& json, const std::string& key) {
  const auto at = json.find("\"" + key + "\":\"");
  if (at == std::string::npos) return {};
  const auto from = at + key.size() + 4;
  return json.substr(from, json.find('"', from) - from);
}

bool put_configuration(const Layout& layout, const std::string& json, Record& record, double patience_s) {
  const double until = now_s() + patience_s;
  for (int n = 0; now_s() < until; ++n) {
    const std::string ip = layout.core_ip(n % layout.cores);
    const int fd = connect_to(ip, layout.control(), {0, 0, 1.0});
    if (fd >= 0) {
      Wire wire(fd);
      Message answer;
      wire.write("PUT /api/configuration HTTP/1.1\r\nHost: " + ip +
                 "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(json.size()) +
                 "\r\n\r\n" + json);
      if (wire.read(answer) && answer.status() == 200) {
        record.line("operator", "configuration acknowledged by " + ip);
        return true;
      }
    }
    sleep_s(0.2);
  }
  return false;
}

bool wait_ready(const Layout& layout, double patience_s) {
  const double until = now_s() + patience_s;
  std::set<int> ready;
  while (now_s() < until && static_cast<int>(ready.size()) < layout.edges) {
    for (int n = 0; n < layout.edges; ++n) {
      const int fd = connect_to(layout.edge_ip(n), layout.readiness(), {0, 0, 1.0});
      if (fd < 0) continue;
      Wire wire(fd);
      Message answer;
      wire.write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
      if (wire.read(answer) && answer.status() == 200) ready.insert(n);
    }
    sleep_s(0.1);
  }
  return static_cast<int>(ready.size()) == layout.edges;
}

}  // namespace rig
