// A voter is replaced by a new process on the listener that both inherit, and processes that stand in one
// another's way: real processes, asked through their operators' address.
#include <gtest/gtest.h>
#include <signal.h>

#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "../net_rig.h"
#include "lab/chaos/report.h"
#include "lab/chaos/stand_ins.h"
#include "lab/process.h"

namespace woadridge::peer {
namespace {

using Json = nlohmann::json;

class ThreeVoters : public ::testing::Test {
 protected:
  ThreeVoters() : strand_(io_.get_executor()), stand_ins_(strand_, 4, 1) {
    stand_ins_.run();
    thread_ = std::thread([this] { io_.run(); });
    for (int i = 0; i < 3; ++i) {
      groups_.push_back(lab::free_port());
      ops_.push_back(lab::free_port());
      clients_.push_back(std::make_unique<net::test::Listener>(64));
      processes_.push_back(std::make_unique<lab::Process>());
    }
    for (int i = 0; i < 3; ++i) {
      write_files(i);
      lab::Process founder;
      founder.start(WOADRIDGE_PROGRAM, "", log(i), {"group", "found", "--group", path(i, ".toml")});
      while (founder.running()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  ~ThreeVoters() override {
    for (auto& p : processes_) p->end(SIGKILL);
    io_.stop();
    thread_.join();
  }

  std::string path(int i, const std::string& ending) const {
    return scratch_.path() + "/n" + std::to_string(i) + ending;
  }
  std::string log(int i) const { return path(i, ".log"); }

  void write_files(int i) {
    std::ofstream(path(i, ".json"))
        << R"({"name":"n)" << i << R"(","listen":")" << clients_[at(i)]->address() << R"(","discovery":")"
        << net::to_text(stand_ins_.discovery()) << R"(","ops":"127.0.0.1:)" << ops_[at(i)]
        << R"(","seed":"7","limits":{"sockets":2000},"settings":{"tick":2000,)"
        << R"("fleet-size":1,"az":"z","membership-mode":"ask","grades":[{"name":)"
        << R"("safe","effect":"repeatable","target":9000000,"hard-limit":1000000}],)"
        << R"("limits":{"dial-timeout":2000000,"max-attempts":3,"peers":true},)"
        << R"("obligations":{"drain-grace":1000000,"cold-from":1.0,"warm-after":0,)"
        << R"("overload-factor":0,"overload-for":0}}})";
    std::ofstream toml(path(i, ".toml"));
    toml << "name = \"n" << i << "\"\nzone = \"z\"\nmachine = \"m" << i
         << "\"\nlisten = \"127.0.0.1:" << groups_[at(i)] << "\"\nfolder = \"" << path(i, "-folder")
         << "\"\n";
    for (int v = 0; v < 3; ++v)
      toml << "[[voters]]\nname = \"n" << v << "\"\naddress = \"127.0.0.1:" << groups_[at(v)] << "\"\n";
  }
  static std::size_t at(int i) { return static_cast<std::size_t>(i); }

  void start(lab::Process& p, int i, std::uint16_t ops) {
    ::setenv("WOADRIDGE_LOG", "debug", 1);
    ::setenv("EDGE_OPS", ("127.0.0.1:" + std::to_string(ops)).c_str(), 1);
    ::setenv("TMPDIR", scratch_.path().c_str(), 1);
    p.start(WOADRIDGE_PROGRAM, path(i, ".json"), log(i), {"--group", path(i, ".toml")},
            clients_[at(i)]->descriptor());
    ::unsetenv("TMPDIR");
    ::unsetenv("EDGE_OPS");
  }

  Json ask(std::uint16_t ops) {
    return Json::parse(lab::body_of({"127.0.0.1", ops}, "/group"), nullptr, false);
  }
  template <typename Condition>
  bool comes(Condition condition) {
    const auto latest =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(3 * net::test::kPatienceMs);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > latest) return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
  }
  bool well(std::uint16_t ops) {
    const Json j = ask(ops);
    return j.is_object() && j.value("on", false) && j["has_session"] == true && j["voter"]["leader"] != "";
  }
  bool logged(int i, const std::string& text) {
    std::ifstream file(log(i));
    const std::string all((std::istreambuf_iterator<char>(file)), {});
    return all.find(text) != std::string::npos;
  }
  // Of all that receivers have met, in their order.
  lab::ChaosReport judged() {
    lab::ActJudge judge;
    lab::ChaosReport report;
    for (int i = 0; i < 3; ++i) {
      std::ifstream file(log(i));
      for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::string word, taken;
        lab::ChaosAct act;
        words >> word >> word >> word;
        if (word != "act") continue;
        words >> act.duty >> word >> act.number >> word >> act.holder >> taken;
        act.receiver = std::to_string(i);
        act.taken = taken == "taken";
        judge.judge(act, report);
      }
    }
    return report;
  }

  net::test::Scratch scratch_;
  boost::asio::io_context io_{1};
  net::Strand strand_;
  lab::StandIns stand_ins_;
  std::thread thread_;
  std::vector<std::uint16_t> groups_, ops_;
  std::vector<std::unique_ptr<net::test::Listener>> clients_;
  std::vector<std::unique_ptr<lab::Process>> processes_;
};

TEST_F(ThreeVoters, EachIsReplacedOnItsListenerAndTheGroupGoesOn) {
  for (int i = 0; i < 3; ++i) start(*processes_[at(i)], i, ops_[at(i)]);
  for (int i = 0; i < 3; ++i) ASSERT_TRUE(comes([&] { return well(ops_[at(i)]); })) << i;
  for (int i = 0; i < 3; ++i) {
    auto fresh = std::make_unique<lab::Process>();
    const std::uint16_t ops = lab::free_port();
    start(*fresh, i, ops);
    ASSERT_TRUE(comes([&] { return logged(i, "group: waits for the process before"); }));
    processes_[at(i)]->signal(SIGTERM);
    ASSERT_TRUE(comes([&] { return !processes_[at(i)]->running(); }));
    processes_[at(i)] = std::move(fresh);
    ops_[at(i)] = ops;
    ASSERT_TRUE(comes([&] { return well(ops); })) << i;
    EXPECT_EQ(ask(ops)["voter"]["boot"], 2);  // the same folder
  }
  ASSERT_TRUE(comes([&] {
    int holders = 0;
    for (const auto ops : ops_) holders += ask(ops).contains("held") ? 1 : 0;
    return holders == 1;
  }));
  for (auto& p : processes_) p->end(SIGKILL);
  const auto report = judged();
  EXPECT_EQ(report.violations, std::vector<std::string>());
  EXPECT_GT(report.acts_taken, 3u);
}

TEST_F(ThreeVoters, ASecondProcessOnOneAddressOrFolderEndsWithASentence) {
  start(*processes_[0], 0, ops_[0]);
  ASSERT_TRUE(comes([&] { return ask(ops_[0]).is_object(); }));
  const auto says = [&](const std::string& from, const std::string& to) {
    std::ifstream in(path(0, ".toml"));
    std::string text((std::istreambuf_iterator<char>(in)), {});
    for (auto found = text.find(from); found != std::string::npos; found = text.find(from, found + to.size()))
      text.replace(found, from.size(), to);
    std::ofstream(path(0, "-second.toml")) << text;
    std::ifstream config(path(0, ".json"));
    std::string json((std::istreambuf_iterator<char>(config)), {});
    for (const auto port : {ops_[0], clients_[0]->port()}) {
      const std::string old = ":" + std::to_string(port) + "\"";
      json.replace(json.find(old), old.size(), ":" + std::to_string(lab::free_port()) + "\"");
    }
    std::ofstream(path(0, "-second.json")) << json;
    lab::Process second;
    second.start(WOADRIDGE_PROGRAM, path(0, "-second.json"), path(0, "-second.log"),
                 {"--group", path(0, "-second.toml")});
    EXPECT_TRUE(comes([&] { return !second.running(); }));
    std::ifstream said(path(0, "-second.log"));
    return std::string((std::istreambuf_iterator<char>(said)), {});
  };
  EXPECT_NE(says("x", "x").find("Address already in use"), std::string::npos);
  const std::string group = "127.0.0.1:" + std::to_string(groups_[0]);
  const std::string other = "127.0.0.1:" + std::to_string(lab::free_port());
  EXPECT_NE(says(group, other).find("in use by another process"), std::string::npos);
}

}  // namespace
}  // namespace woadridge::peer
