#include "lab/process.h"

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace woadridge::lab {

// Below those that the system deals out by itself: a connection that goes out in the meantime can't take it.
std::uint16_t free_port() {
  constexpr int kFirst = 10'000, kCount = 20'000;
  static int drawn = 0;
  boost::asio::io_context io;
  for (int tries = 0; tries < kCount; ++tries) {
    const int port = kFirst + (static_cast<int>(::getpid()) * 97 + ++drawn) % kCount;
    net::Tcp::acceptor probe(io);
    net::Fault fault;
    probe.open(net::Tcp::v4(), fault);
    probe.bind(net::Tcp::endpoint(boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)),
               fault);
    if (!fault) return static_cast<std::uint16_t>(port);
  }
  throw std::runtime_error("no free port");
}

Process::~Process() {
  end(SIGKILL);
}

bool Process::start(const std::string& program, const std::string& config, const std::string& log,
                    const std::vector<std::string>& words, int listener) {
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  pid_ = ::fork();
  if (pid_ == 0) {
    ::setenv("EDGE_CONFIG", config.c_str(), 1);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    if (listener >= 0) ::dup2(listener, 3), ::setenv("EDGE_INHERITED_FD", "3", 1);
    for (int fd = listener >= 0 ? 4 : 3; fd < 4096; ++fd) ::close(fd);
    std::vector<char*> all{const_cast<char*>(program.c_str())};
    for (const auto& word : words) all.push_back(const_cast<char*>(word.c_str()));
    all.push_back(nullptr);
    ::execv(program.c_str(), all.data());
    ::_exit(127);
  }
  if (out >= 0) ::close(out);
  ticks_ = 0;
  return pid_ > 0;
}

bool Process::running() {
  if (pid_ <= 0) return false;
  if (::waitpid(pid_, &status_, WNOHANG) != pid_) return true;
  pid_ = 0;
  return false;
}

void Process::signal(int number) {
  if (running()) ::kill(pid_, number);
}

void Process::end(int number) {
  if (!running()) return;
  ::kill(pid_, number);
  ::waitpid(pid_, &status_, 0);
  pid_ = 0;
}

bool Process::look(double& cpu_us, double& memory_mb, int& descriptors) {
  if (!running()) return false;
  std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  const auto behind = text.rfind(')');
  if (behind == std::string::npos) return false;
  std::istringstream fields(text.substr(behind + 2));
  std::string field;
  long long user = 0, system = 0, pages = 0;
  for (int i = 3; fields >> field && i <= 24; ++i) {  // the numbers of proc(5)
    if (i == 14) user = std::stoll(field);
    if (i == 15) system = std::stoll(field);
    if (i == 24) pages = std::stoll(field);
  }
  const double ticks = static_cast<double>(user + system);
  cpu_us = (ticks - std::exchange(ticks_, ticks)) * 1e6 / static_cast<double>(::sysconf(_SC_CLK_TCK));
  memory_mb = static_cast<double>(pages) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
  descriptors = 0;
  if (DIR* folder = ::opendir(("/proc/" + std::to_string(pid_) + "/fd").c_str())) {
    while (::readdir(folder) != nullptr) ++descriptors;
    ::closedir(folder);
  }
  return true;
}

long long Process::processor_ns() const {
  long long used = 0;
  if (pid_ <= 0) return used;
  char path[40];
  std::snprintf(path, sizeof path, "/proc/%d/schedstat", static_cast<int>(pid_));
  const int file = ::open(path, O_RDONLY | O_CLOEXEC);
  if (file < 0) return used;
  char text[64] = {};
  if (::read(file, text, sizeof text - 1) > 0) used = std::strtoll(text, nullptr, 10);
  ::close(file);
  return used;
}

int Process::threads() const {
  int count = 0;
  if (pid_ <= 0) return 0;
  if (DIR* folder = ::opendir(("/proc/" + std::to_string(pid_) + "/task").c_str())) {
    while (const dirent* entry = ::readdir(folder)) count += entry->d_name[0] != '.' ? 1 : 0;
    ::closedir(folder);
  }
  return count;
}

std::string body_of(const net::Address& address, const std::string& path) {
  boost::asio::io_context io;
  net::Tcp::socket socket(io);
  net::Fault fault;
  socket.connect(net::endpoint_of(address), fault);
  if (fault) return {};
  timeval limit{0, 300'000};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  boost::asio::write(socket, boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: lab\r\n\r\n"), fault);
  std::string answer;
  char bytes[16'384];
  for (ssize_t got = 0; (got = ::recv(socket.native_handle(), bytes, sizeof bytes, 0)) > 0;)
    answer.append(bytes, static_cast<std::size_t>(got));
  const auto body = answer.find("\r\n\r\n");
  return body == std::string::npos ? std::string() : answer.substr(body + 4);
}

bool healthy(const net::Address& address) {
  boost::asio::io_context io;
  net::Tcp::socket socket(io);
  net::Fault fault;
  socket.connect(net::endpoint_of(address), fault);
  if (fault) return false;
  timeval limit{1, 0};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  boost::asio::write(
      socket, boost::asio::buffer(std::string_view("GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n")), fault);
  char bytes[64] = {};
  const ssize_t got = ::recv(socket.native_handle(), bytes, sizeof bytes - 1, 0);
  return got > 12 && std::string_view(bytes, 12) == "HTTP/1.1 200";
}

}  // namespace woadridge::lab
