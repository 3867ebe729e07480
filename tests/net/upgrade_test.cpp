// Two real processes of one dispatcher on one listener, under load, with bans before, during and after the
// change.
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <fstream>
#include <map>

#include "../service_rig.h"

extern char** environ;

namespace woadridge::net::test {
namespace {

class Process {
 public:
  // On that listening socket as descriptor 3, with further variables of its environment.
  Process(int listener, const std::map<std::string, std::string>& variables) {
    std::vector<std::string> all;
    for (char** entry = environ; *entry != nullptr; ++entry) {
      const std::string text = *entry;
      if (!variables.contains(text.substr(0, text.find('=')))) all.push_back(text);
    }
    for (const auto& [name, value] : variables) all.push_back(name + "=" + value);
    std::vector<char*> environment;
    for (auto& text : all) environment.push_back(text.data());
    environment.push_back(nullptr);
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_adddup2(&files, listener, 3);
    std::string program = WOADRIDGE_PROGRAM;
    char* arguments[] = {program.data(), nullptr};
    if (::posix_spawn(&pid_, program.c_str(), &files, nullptr, arguments, environment.data()) != 0) pid_ = -1;
    ::posix_spawn_file_actions_destroy(&files);
  }
  ~Process() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  int end() {  // its status; -1 if it was killed
    ::kill(pid_, SIGTERM);
    int status = 0;
    ::waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t pid_ = -1;
};

class UpgradeOfProcesses : public ::testing::Test {
 protected:
  ~UpgradeOfProcesses() override { stop_clients(); }

  bool tell_list(Peer& peer) {
    if (peer.read_until("\r\n\r\n").empty()) return false;
    const auto entry = [](const std::string& name, Server& at) {
      return "{\"name\":\"" + name + "\",\"address\":\"" + at.listener().address() +
             R"(","zone":"a","type":"box","weight":4.0,"status":"ready"})";
    };
    peer.write(taken() + chunk("{\"index\":1,\"snapshot\":true,\"endpoints\":[" + entry("v", v_) + "," +
                               entry("w", w_) + "]}\n"));
    return true;
  }

  void write_config() {
    std::ofstream(path_) << R"({"name":"n0","listen":")" << clients_.address() << R"(","discovery":")"
                         << discovery_.listener().address()
                         << R"(","seed":"7","limits":{"sockets":400},"settings":{"tick":2000,"fleet-size":1,)"
                         << R"("az":"a","membership-mode":"push","grades":[{"name":"safe","effect":)"
                         << R"("repeatable","target":9000000,"hard-limit":3000000}],"domain":{"tells-start":)"
                         << R"(true},"limits":{"dial-timeout":2000000,"max-attempts":3},"obligations":)"
                         << R"({"drain-grace":1000000,"cold-from":1.0,"warm-after":0,"overload-factor":0,)"
                         << R"("overload-for":0}}})";
  }

  std::unique_ptr<Process> process(const Vacant& ops) {
    return std::make_unique<Process>(
        clients_.descriptor(),
        std::map<std::string, std::string>{{"EDGE_CONFIG", path_},
                                           {"EDGE_OPS", "127.0.0.1:" + std::to_string(ops.port())},
                                           {"EDGE_INHERITED_FD", "3"},
                                           {"TMPDIR", scratch_.path()},
                                           {"WOADRIDGE_LOG", "off"}});
  }

  static std::string call(const Vacant& ops, const std::string& what) {
    Peer peer = Peer::connect(ops.port());
    if (!peer.open()) return {};
    peer.write(what + " HTTP/1.1\r\n\r\n");
    return peer.read_message();
  }
  static bool says_yes(const Vacant& ops, const std::string& what) {
    return call(ops, what).starts_with("HTTP/1.1 200 ");
  }
  static void await(const std::function<bool()>& done) {
    const auto latest = std::chrono::steady_clock::now() + std::chrono::milliseconds(kPatienceMs);
    while (!done() && std::chrono::steady_clock::now() < latest)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    EXPECT_TRUE(done());
  }
  static void await_disabled(const Vacant& ops, const std::string& count) {
    await([&] {
      return call(ops, "GET /status/metrics").find("targets_disabled:" + count + "|") != std::string::npos;
    });
  }

  // Jobs one after the other on connections that are kept, as the protocol has clients do: one that crosses
  // the close of its connection is sent once more on a new one.
  void client(int number) {
    Peer peer;
    for (int i = 0; !over_; ++i) {
      const std::string id = std::to_string(number * 1'000'000 + i);
      std::string answer;
      for (int n = 0; n < 2 && answer.empty(); ++n) {
        if (!peer.open()) peer = Peer::connect(clients_.port());
        peer.write("POST /api HTTP/1.1\r\nRequest-Id: " + id + "\r\nRequest-Class: safe\r\n" +
                   "Request-Timeout-Ms: 3000\r\nWork-Hint: 1000\r\nContent-Length: 0\r\n\r\n");
        answer = peer.read_message();
        if (answer.empty() || answer.find("Connection: close") != std::string::npos) peer = Peer();
      }
      ++(answer.starts_with("HTTP/1.1 200 ") ? good_ : bad_);
    }
  }
  void start_clients(int count) {
    for (int n = 1; n <= count; ++n) threads_.emplace_back([this, n] { client(n); });
  }
  void stop_clients() {
    over_ = true;
    for (auto& thread : std::exchange(threads_, {})) thread.join();
  }
  void await_jobs(int more) {
    await([this, until = good_ + more] { return good_ >= until; });
  }
  // Nothing comes to the one that is out, while the clients go on.
  void expect_left_out(std::atomic<int>& count) {
    await_jobs(20);  // what was out there when the call was answered has ended
    const int before = count;
    await_jobs(60);
    EXPECT_EQ(count, before);
  }

  Scratch scratch_;
  std::string path_ = scratch_.path() + "/config.json";
  std::atomic<int> at_v_ = 0, at_w_ = 0, good_ = 0, bad_ = 0;
  std::atomic<bool> over_ = false;
  Listener clients_{256};
  Server v_{[this](Peer& peer) { return serve_counted(peer, at_v_); }};
  Server w_{[this](Peer& peer) { return serve_counted(peer, at_w_); }};
  Server discovery_{[this](Peer& peer) { return tell_list(peer); }};
  std::vector<std::thread> threads_;
};

TEST_F(UpgradeOfProcesses, NoJobIsLostAndBansHoldBeforeDuringAndAfter) {
  write_config();
  const Vacant old_ops, new_ops;
  const auto before = process(old_ops);
  await([&] { return says_yes(old_ops, "GET /status"); });
  start_clients(4);
  await_jobs(50);
  EXPECT_TRUE(says_yes(old_ops, "POST /maintenance/enter/w"));
  expect_left_out(at_w_);

  const auto after = process(new_ops);
  await([&] { return says_yes(new_ops, "GET /status"); });
  await_disabled(new_ops, "1");
  expect_left_out(at_w_);
  EXPECT_TRUE(says_yes(new_ops, "POST /maintenance/exit/w"));  // at the one, for both
  await_disabled(old_ops, "0");
  EXPECT_TRUE(says_yes(old_ops, "POST /maintenance/enter/v"));
  await_disabled(new_ops, "1");
  expect_left_out(at_v_);

  EXPECT_EQ(before->end(), 0);
  expect_left_out(at_v_);
  EXPECT_TRUE(says_yes(new_ops, "POST /maintenance/exit/v"));
  await([&, seen = at_v_.load()] { return at_v_ > seen; });
  stop_clients();
  EXPECT_EQ(bad_, 0);
  EXPECT_EQ(after->end(), 0);
}

TEST_F(UpgradeOfProcesses, OneThatCannotStartLeavesTheOtherServing) {
  write_config();
  const Vacant old_ops;
  const auto before = process(old_ops);
  await([&] { return says_yes(old_ops, "GET /status"); });
  start_clients(2);
  const auto second = process(old_ops);  // the operators' address is taken
  await_jobs(100);
  EXPECT_NE(second->end(), 0);
  await_jobs(100);
  stop_clients();
  EXPECT_EQ(bad_, 0);
  EXPECT_EQ(before->end(), 0);
}

}  // namespace
}  // namespace woadridge::net::test
