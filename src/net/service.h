// One dispatcher as a process: its parts, its signals, and how it ends.
#pragma once

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "net/intake.h"

namespace woadridge::net {

class Service {
 public:
  explicit Service(Config config);
  int run();  // the exit status

 private:
  void await_signals();
  void begin_ending();
  void go_on_ending();
  void finish();

  Config config_;
  boost::asio::io_context io_{1};
  Strand strand_;
  Engine engine_;
  Intake intake_;
  boost::asio::signal_set signals_;
  Timer timer_;
  Micros told_to_end_ = 0;
};

}  // namespace woadridge::net
