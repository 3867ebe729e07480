// Peers for the network's tests: real sockets on loopback, blocking, each doing what its test says. No timing
// is asserted; the limits below only keep a failing test from hanging.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstring>
#include <filesystem>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace woadridge::net::test {

inline const bool kQuiet = (spdlog::set_level(spdlog::level::off), true);  // the log is not what is looked at
constexpr int kPatienceMs = 20'000;

inline std::string number_after(std::string_view text, std::string_view mark) {
  const auto at = text.find(mark);
  if (at == std::string_view::npos) return {};
  const auto from = at + mark.size();
  return std::string(text.substr(from, text.find_first_not_of("0123456789", from) - from));
}

class Peer {  // one end of a connection
 public:
  explicit Peer(int fd = -1) : fd_(fd) {}
  Peer(Peer&& other) noexcept : fd_(std::exchange(other.fd_, -1)), kept_(std::move(other.kept_)) {}
  Peer& operator=(Peer&& other) noexcept {
    close();
    fd_ = std::exchange(other.fd_, -1);
    kept_ = std::move(other.kept_);
    return *this;
  }
  ~Peer() { close(); }

  static Peer connect(std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
      ::close(fd);
      return Peer();
    }
    return Peer(fd);
  }

  bool open() const { return fd_ >= 0; }

  void write(std::string_view text) {
    while (!text.empty()) {
      const auto sent = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
      if (sent <= 0) return;
      text.remove_prefix(static_cast<std::size_t>(sent));
    }
  }

  void write_bytewise(std::string_view text) {
    for (char c : text) write({&c, 1});
  }

  // All until and with the mark; what came with it is kept. Less when the other end has closed.
  std::string read_until(std::string_view mark) {
    auto at = kept_.find(mark);
    while (at == std::string::npos && more()) at = kept_.find(mark);
    return take(at == std::string::npos ? kept_.size() : at + mark.size());
  }

  // A head and the body that its Content-Length tells.
  std::string read_message() {
    std::string text = read_until("\r\n\r\n");
    const std::string length = number_after(text, "Content-Length: ");
    const std::size_t body = length.empty() ? 0 : std::stoul(length);
    while (kept_.size() < body && more()) {
    }
    return text + take(std::min(body, kept_.size()));
  }

  bool has_news(int wait_ms) {
    pollfd ready{fd_, POLLIN, 0};
    return ::poll(&ready, 1, wait_ms) > 0;
  }

  // Waits until the other end has closed, dropping what still comes.
  bool sees_close() {
    while (more()) kept_.clear();
    return ended_;
  }

  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }

  void reset() {
    const linger hard{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
  }

 private:
  std::string take(std::size_t bytes) {
    std::string text = kept_.substr(0, bytes);
    kept_.erase(0, bytes);
    return text;
  }

  bool more() {
    pollfd ready{fd_, POLLIN, 0};
    if (ended_ || ::poll(&ready, 1, kPatienceMs) <= 0) return false;
    char bytes[4096];
    const auto got = ::recv(fd_, bytes, sizeof bytes, 0);
    ended_ = got <= 0;
    if (got > 0) kept_.append(bytes, static_cast<std::size_t>(got));
    return got > 0;
  }

  int fd_;
  std::string kept_;
  bool ended_ = false;
};

class Scratch {  // a folder of its own, gone with its scope
 public:
  Scratch() {
    std::string name = ::testing::TempDir() + "woadridge-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error(std::strerror(errno));
    path_ = name;
  }
  ~Scratch() { std::filesystem::remove_all(path_); }
  Scratch(const Scratch&) = delete;
  Scratch& operator=(const Scratch&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

class Listener {  // on a port that the system picks
 public:
  explicit Listener(int backlog = 16, std::uint16_t port = 0) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const int yes = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd_, backlog) != 0 ||
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) != 0)
      throw std::runtime_error(std::strerror(errno));
    port_ = ntohs(at.sin_port);
  }
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  std::uint16_t port() const { return port_; }
  int descriptor() const { return fd_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  Peer accept() {
    pollfd ready{fd_, POLLIN, 0};
    if (::poll(&ready, 1, kPatienceMs) <= 0) return Peer();
    return Peer(::accept(fd_, nullptr, nullptr));
  }
  bool has_caller(int wait_ms = 0) {
    pollfd ready{fd_, POLLIN, 0};
    return ::poll(&ready, 1, wait_ms) > 0;
  }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }

 private:
  int fd_;
  std::uint16_t port_ = 0;
};

class Vacant {  // a port where nobody listens, held so that no other test gets it
 public:
  Vacant() : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const int yes = 1;  // a process that is started there may bind it beside this
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) != 0)
      throw std::runtime_error(std::strerror(errno));
    port_ = ntohs(at.sin_port);
  }
  ~Vacant() { ::close(fd_); }
  Vacant(const Vacant&) = delete;
  Vacant& operator=(const Vacant&) = delete;
  std::uint16_t port() const { return port_; }

 private:
  int fd_;
  std::uint16_t port_ = 0;
};

inline std::string chunk(std::string_view text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + std::string(text) + "\r\n";
}

inline std::string taken() {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string line(std::string_view id, std::string_view state, std::string_view more = {}) {
  std::string text =
      "{\"id\":\"" + std::string(id) + "\",\"from\":\"w\",\"state\":\"" + std::string(state) + "\"";
  return text + std::string(more) + "}\n";
}

inline std::string done(std::string_view id, std::string_view result) {
  return line(id, "done", ",\"result\":\"" + std::string(result) + "\"");
}

// Answers each connection in a thread of its own, for as long as it is there. An answer that returns false
// ends its connection.
class Server {
 public:
  explicit Server(std::function<bool(Peer&)> answer) : Server(nullptr, std::move(answer)) {}
  Server(Listener& at, std::function<bool(Peer&)> answer) : Server(&at, std::move(answer)) {}
  ~Server() {
    over_ = true;
    thread_.join();
    for (auto& peer : peers_) peer.join();
  }
  Listener& listener() { return listener_; }

 private:
  Server(Listener* at, std::function<bool(Peer&)> answer)
      : own_(at == nullptr ? std::make_unique<Listener>() : nullptr),
        listener_(at == nullptr ? *own_ : *at),
        answer_(std::move(answer)),
        thread_([this] { run(); }) {}
  void run() {
    while (!over_) {
      if (!listener_.has_caller(5)) continue;
      peers_.emplace_back([this, peer = listener_.accept()]() mutable {
        while (!over_)
          if (peer.has_news(5) && !answer_(peer)) return;
      });
    }
  }

  std::unique_ptr<Listener> own_;
  Listener& listener_;
  std::atomic<bool> over_ = false;
  std::function<bool(Peer&)> answer_;
  std::vector<std::thread> peers_;
  std::thread thread_;
};

// A worker's answer to one job, and its count. False: the connection has ended.
inline bool serve_counted(Peer& peer, std::atomic<int>& count) {
  const std::string id = number_after(peer.read_message(), "Request-Id: ");
  if (id.empty()) return false;
  ++count;
  peer.write(taken() + chunk(line(id, "started")) + chunk(done(id, "r")) + "0\r\n\r\n");
  return true;
}

}  // namespace woadridge::net::test
