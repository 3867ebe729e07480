// One dispatcher as a process: its parts, its signals, and how it ends.
#pragma once

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "net/admin.h"
#include "net/intake.h"

namespace woadridge::net {

class Service : private Operations {
 public:
  explicit Service(Config config, std::string source = {});  // the file that it was read from
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
  void go_on_standing_by();

  Budget budget() const;
  std::string open_admin();
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
  BufferSpace space_;  // outlives what the loop still holds at its end
  boost::asio::io_context io_{1};
  Strand strand_;
  Engine engine_;
  Intake intake_;
  Admin admin_;
  boost::asio::signal_set signals_;
  boost::asio::signal_set reload_signal_;
  Timer timer_;
  Timer standby_timer_;
  Micros standby_since_ = 0;  // 0: takes clients
  Micros told_to_end_ = 0;
};

}  // namespace woadridge::net
