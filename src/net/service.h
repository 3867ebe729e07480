// One dispatcher as a process: its parts, its signals, and how it ends.
#pragma once

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "net/admin.h"
#include "net/companion.h"
#include "net/handover.h"
#include "net/intake.h"
#include "net/maintenance.h"

namespace woadridge::net {

class Service : private Operations {
 public:
  // Source: the file that it was read from. Companion: none unless it was asked for.
  explicit Service(Config config, std::string source = {}, CompanionCall companion = {});
  std::string open();  // begins to listen; an empty text, or why that is not possible
  void run();          // until it was told to end, and has
  void end();          // from any thread
  void reload();       // reads the file again and takes what can change while it serves; from any thread
  std::uint16_t port() const { return intake_.port(); }
  std::uint16_t ops_port() const { return admin_.port(); }

 private:
  Reply status() override;
  std::string figures() override { return engine_.figures(); }
  Reply standby() override;
  Reply active() override;
  Reply maintain(const std::string& worker, bool out) override;
  Reply group() override;
  Reply take_out(const std::string& worker);
  Reply put_back(const std::string& worker);
  void go_on_standing_by();

  Budget budget() const;
  std::string open_admin();
  std::string open_presence();
  std::string path_of(const char* kind) const;  // of a file of this dispatcher that outlives the process
  std::string listen();
  bool may_listen() const;
  void look_round();
  void look_for_another();
  void learn_bans();
  void share_limits();
  bool hand_over();
  void await_reload();
  void read_again();
  void take_over(const Config& fresh);
  void take_settings(const Config& fresh);
  void begin_ending();
  void go_on_ending();
  Micros patience() const;  // from the signal to the last answers
  void finish();

  Config config_;
  std::string source_;
  int companion_descriptors_;
  bool beside_another_ = false;  // before what is built with budget(), which reads both
  BufferSpace space_;            // outlives what the loop still holds at its end
  boost::asio::io_context io_{1};
  Strand strand_;
  Engine engine_;
  Intake intake_;
  Bans bans_;
  Presence presence_;
  Admin admin_;
  std::unique_ptr<Companion> companion_;  // none: nothing stands beside
  boost::asio::signal_set signals_;
  boost::asio::signal_set reload_signal_;
  Timer timer_;
  Timer standby_timer_;
  Timer round_timer_;
  Micros begun_ = 0;
  bool other_served_ = false;  // ... and has taken clients
  Beside told_beside_;
  bool finished_ = false;  // everything is closed, the loop runs out
  bool handed_over_ = false;
  Micros standby_since_ = 0;  // 0: takes clients
  Micros told_to_end_ = 0;
};

}  // namespace woadridge::net
