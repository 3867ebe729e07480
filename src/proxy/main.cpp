// The proxy: takes clients' requests and sends them on, by what its agent tells.
#include <absl/flags/flag.h>

#include <boost/asio/signal_set.hpp>
#include <boost/outcome/try.hpp>
#include <csignal>
#include <iostream>

#include "common/flags.h"
#include "common/log.h"
#include "proxy/feed.h"
#include "proxy/front.h"

ABSL_FLAG(std::string, settings, "",
          "the node's settings file (TOML); else the one that WOADRIDGE_CONFIG names");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace woadridge::proxy {
namespace {

constexpr Micros kSteeredAway =
    2'600'000;                         // two missed looks a second apart, and what they take: no new clients
constexpr Micros kEndAhead = 700'000;  // before the grace ends everything is answered
constexpr auto kLook = std::chrono::milliseconds(50);

class Proxy {
 public:
  Proxy(boost::asio::io_context& loop, common::Settings settings)
      : strand_(boost::asio::make_strand(loop)),
        dispatch_(strand_, std::move(settings)),
        front_(strand_, dispatch_),
        feed_(strand_, dispatch_),
        signals_(strand_, SIGTERM, SIGINT, SIGHUP),
        look_(strand_) {}

  common::Result<void> open() {
    const auto& s = dispatch_.settings();
    BOOST_OUTCOME_TRYV(front_.open(Door::clients, s.front));
    if (s.readiness.port != 0) {
      BOOST_OUTCOME_TRYV(front_.open(Door::readiness, s.readiness));
    }
    BOOST_OUTCOME_TRYV(front_.open(Door::peers, s.peer_link()));
    feed_.start();
    listen();
    return boost::outcome_v2::success();
  }

 private:
  void listen() {
    signals_.async_wait([this](net::Fault stopped, int signal) {
      if (stopped) return;
      if (signal == SIGHUP) reload();
      else if (!dispatch_.leaving()) leave();
      else return end();  // asked twice
      listen();
    });
  }

  void reload() {
    auto read = common::load_settings_or(absl::GetFlag(FLAGS_settings));
    if (!read) return common::warning("settings not taken", {{"why", read.error().what}});
    dispatch_.change(read.value());
    common::info("settings read again");
  }

  // Not ready any more: new clients are steered elsewhere, those that are here are answered, then it ends.
  void leave() {
    common::info("leaving");
    left_at_ = dispatch_.now();
    const auto grace = static_cast<Micros>(dispatch_.settings().grace_s) * 1'000'000;
    end_by_ = left_at_ + std::max<Micros>(grace - kEndAhead, grace / 2);
    dispatch_.leave(end_by_);
    front_.leave();
    look();
  }

  void look() {
    look_.expires_after(kLook);
    look_.async_wait([this](net::Fault stopped) {
      if (stopped) return;
      const Micros now = dispatch_.now();
      const bool steered = now - left_at_ >= std::min(kSteeredAway, (end_by_ - left_at_) / 2);
      if (steered) front_.close_door(Door::clients);
      if ((steered && front_.busy() == 0) || now >= end_by_) return end();
      look();
    });
  }

  void end() {
    dispatch_.leave(dispatch_.now());  // whoever still waits is answered
    feed_.stop();
    front_.stop();
    dispatch_.stop();
    signals_.cancel();
    look_.cancel();
  }

  net::Strand strand_;
  Dispatch dispatch_;
  Front front_;
  Feed feed_;
  boost::asio::basic_signal_set<net::Strand> signals_;
  net::Timer look_;
  Micros left_at_ = 0, end_by_ = 0;
};

int serve(const std::string& file, const std::string& level) {
  auto settings = common::load_settings_or(file);
  if (!settings) {
    std::cerr << "proxy: " << settings.error().what << "\n";
    return 2;
  }
  if (settings.value().front.port == 0) {
    std::cerr << "proxy: bind-addrs.front-http: is not there\n";
    return 2;
  }
  const auto least = common::level_named(level);
  if (!least) {
    std::cerr << "proxy: --log_level: debug, info, warning or error\n";
    return 2;
  }
  common::open_log("proxy", settings.value().node_name, *least);
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context loop(1);
  Proxy proxy(loop, std::move(settings.value()));
  if (const auto opened = proxy.open(); !opened) {
    std::cerr << "proxy: cannot listen: " << opened.error().what << "\n";
    return 1;
  }
  loop.run();
  return 0;
}

}  // namespace
}  // namespace woadridge::proxy

int main(int count, char** words) {
  const char* usage = "the platform's proxy: takes clients' requests and sends them to functions";
  if (!woadridge::common::parse_flags(usage, "src/proxy/", count, words)) return 2;
  return woadridge::proxy::serve(absl::GetFlag(FLAGS_settings), absl::GetFlag(FLAGS_log_level));
}
