// agent, the agent beside each proxy.
#include <absl/flags/flag.h>
#include <sys/stat.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <tuple>

#include "agent/agent.h"
#include "common/flags.h"
#include "common/log.h"

ABSL_FLAG(std::string, settings, "",
          "the node's settings file (TOML); else the one that WOADRIDGE_CONFIG names");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace {

using namespace woadridge;

constexpr int kBadSettings = 2;
constexpr auto kLookAgain = std::chrono::seconds(2);

// The settings file changes with SIGHUP or without any signal.
class Watch {
 public:
  Watch(common::Strand strand, std::string path, agent::Agent& agent)
      : timer_(strand), path_(std::move(path)), agent_(agent), seen_(stamp()) {
    look_later();
  }

  void reread() {
    const auto now = stamp();
    const auto read = common::load_settings(path_);
    if (!read) {  // it may be half written: looked at again, and told once
      if (std::exchange(told_, read.error().what) != told_)
        common::warning("the settings stay as they were", {{"why", told_}});
      return;
    }
    seen_ = now;
    told_.clear();
    agent_.settings(read.value());
    common::info("settings read", {{"seeds", std::to_string(read.value().seeds.size())}});
  }

  void stop() { timer_.cancel(); }

 private:
  using Stamp = std::tuple<std::int64_t, std::int64_t, std::int64_t, std::uint64_t>;

  Stamp stamp() const {
    struct stat s {};
    if (::stat(path_.c_str(), &s) != 0) return seen_;  // gone for a moment
    return {s.st_mtim.tv_sec, s.st_mtim.tv_nsec, s.st_size, s.st_ino};
  }

  void look_later() {
    timer_.expires_after(kLookAgain);
    timer_.async_wait([this](common::Code stopped) {
      if (stopped) return;
      if (stamp() != seen_) reread();
      look_later();
    });
  }

  common::Timer timer_;
  std::string path_, told_;
  agent::Agent& agent_;
  Stamp seen_{};
};

int run(const std::string& path, const common::Settings& settings) {
  boost::asio::io_context io(1);
  common::Strand strand(io.get_executor());
  agent::Agent agent(strand, settings, std::random_device{}());
  Watch watch(strand, path, agent);
  boost::asio::signal_set signals(strand, SIGTERM, SIGINT, SIGHUP);
  std::function<void()> listen = [&] {
    signals.async_wait([&](common::Code stopped, int signal) {
      if (stopped) return;
      if (signal == SIGHUP) {
        watch.reread();
      } else {
        common::info("told to end");
        agent.end([&] { io.stop(); });
      }
      listen();
    });
  };
  listen();
  agent.start();
  common::info("started");
  io.run();
  common::info("ended");
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  const char* usage =
      "the agent beside a proxy: keeps the link to the core machines, feeds the proxy over loopback";
  if (!common::parse_flags(usage, "src/agent/", argc, argv)) return kBadSettings;
  const auto level = common::level_named(absl::GetFlag(FLAGS_log_level));
  if (!level) {
    std::fprintf(stderr, "agent: --log_level: debug, info, warning or error\n");
    return kBadSettings;
  }
  std::signal(SIGPIPE, SIG_IGN);  // a write to a closed connection is an error there, not an end here
  std::string path = absl::GetFlag(FLAGS_settings);
  const auto settings = common::load_settings_or(path);
  if (!settings) {
    std::fprintf(stderr, "agent: %s\n", settings.error().what.c_str());
    return kBadSettings;
  }
  if (path.empty()) path = std::getenv("WOADRIDGE_CONFIG");
  common::open_log("agent", settings.value().node_name, *level);
  return run(path, settings.value());
}
