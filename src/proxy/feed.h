// The link with the agent on this machine: news in, reports out. Without it the proxy serves on with what it
// has.
#pragma once

#include <memory>

#include "common/frames.h"
#include "proxy/dispatch.h"

namespace woadridge::proxy {

class Feed {
 public:
  Feed(net::Strand strand, Dispatch& dispatch);
  void start();
  void stop();

 private:
  void connect();
  void ended();
  void report(const common::Report& report);

  net::Strand strand_;
  Dispatch& dispatch_;
  net::Timer again_;
  std::shared_ptr<common::FrameConnection> wire_;
  int failures_ = 0;
  bool up_ = false;  // the agent has said something
  bool stopped_ = false;
};

}  // namespace woadridge::proxy
