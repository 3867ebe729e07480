// controller: a core machine's program.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <sys/stat.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "common/log.h"
#include "common/settings.h"
#include "controller/calls.h"
#include "controller/core.h"

ABSL_FLAG(std::string, settings, "",
          "the node's settings file (TOML); else the one that WOADRIDGE_CONFIG names");
ABSL_FLAG(std::string, log_level, "info", "least level that is logged: debug, info, warning, error");

namespace woadridge::controller {
namespace {

using Code = boost::system::error_code;

constexpr int kBadSettings = 2, kCannotServe = 3;
constexpr auto kLookAtFile = std::chrono::seconds(2);

std::string path_of_settings() {
  const std::string given = absl::GetFlag(FLAGS_settings);
  const char* named = std::getenv("WOADRIDGE_CONFIG");
  return !given.empty() || named == nullptr ? given : named;
}

class Program {
 public:
  Program(net::Strand strand, std::string path, const common::Settings& settings)
      : path_(std::move(path)),
        core_(strand, settings),
        ends_(strand, SIGTERM, SIGINT),
        changes_(strand, SIGHUP),
        look_(strand),
        seen_(stamp()) {}

  common::Result<void> open() {
    wait_for_end();
    wait_for_change();
    wait_to_look();
    return core_.open();
  }

 private:
  void wait_for_end() {
    ends_.async_wait([this](Code stopped, int) {
      if (stopped) return;
      common::info("told to end");
      // The store's thread may stand in a sync that takes seconds: nothing is waited for any more.
      core_.stop([] { std::_Exit(EXIT_SUCCESS); });
      wait_for_end();
    });
  }

  void wait_for_change() {
    changes_.async_wait([this](Code stopped, int) {
      if (stopped) return;
      reread();
      wait_for_change();
    });
  }

  void wait_to_look() {  // the file may change without a signal
    look_.expires_after(kLookAtFile);
    look_.async_wait([this](Code stopped) {
      if (stopped) return;
      if (stamp() != seen_) reread();
      wait_to_look();
    });
  }

  std::pair<std::int64_t, std::int64_t> stamp() const {
    struct stat told {};
    if (::stat(path_.c_str(), &told) != 0) return {};
    return {std::int64_t{told.st_mtim.tv_sec} * 1'000'000'000 + told.st_mtim.tv_nsec,
            std::int64_t{told.st_size}};
  }

  void reread() {
    const auto now = stamp();
    const auto settings = common::load_settings(path_);
    if (!settings) {  // half written, maybe: it is looked at again
      common::warning("the settings stay as they were", {{"why", settings.error().what}});
      return;
    }
    seen_ = now;
    core_.reread(settings.value());
  }

  std::string path_;
  Core core_;
  boost::asio::basic_signal_set<net::Strand> ends_, changes_;
  net::Timer look_;
  std::pair<std::int64_t, std::int64_t> seen_;
};

int run() {
  const auto level = common::level_named(absl::GetFlag(FLAGS_log_level));
  if (!level) {
    std::cerr << "controller: --log_level: one of debug, info, warning, error\n";
    return kBadSettings;
  }
  const std::string path = path_of_settings();
  const auto settings = common::load_settings_or(path);
  if (!settings) {
    std::cerr << "controller: " << settings.error().what << '\n';
    return kBadSettings;
  }
  const auto& s = settings.value();
  for (const auto& [missing, what] : {std::pair(s.data_path.empty(), "data-path"),
                                      std::pair(s.control.port == 0, "bind-addrs.control-plane")}) {
    if (!missing) continue;
    std::cerr << "controller: " << path << ": " << what << ": is not there\n";
    return kBadSettings;
  }
  common::open_log("controller", s.node_name, *level);
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(1);
  Program program(boost::asio::make_strand(context), path, s);
  if (const auto opened = program.open(); !opened) {
    common::error("can't serve", {{"why", opened.error().what}});
    return kCannotServe;
  }
  context.run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace woadridge::controller

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "controller: a core machine of the platform. It keeps the operator's configuration and the duty with "
      "the "
      "other core "
      "machines, and holds the duty when it is its turn.\n\nSIGTERM: names a successor and ends within a "
      "second. "
      "SIGHUP: reads the settings file again.\nEnds with 2 for bad settings, 3 where it can't "
      "serve.\n\nCalls at "
      "bind-addrs.control-plane:\n" +
      woadridge::controller::calls_as_text());
  absl::ParseCommandLine(argc, argv);
  return woadridge::controller::run();
}
