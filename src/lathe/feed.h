// The link with the agent on this machine: news in, reports out. Without it the proxy serves on with what it
// has.
#pragma once

#include <memory>

#include "lathe/desk.h"
#include "toolbox/frames.h"

namespace woadridge::lathe {

class Feed {
 public:
  Feed(net::Strand strand, Desk& desk);
  void start();
  void stop();

 private:
  void connect();
  void ended();
  void report(const toolbox::Report& report);

  net::Strand strand_;
  Desk& desk_;
  net::Timer again_;
  std::shared_ptr<toolbox::Wire> wire_;
  int failures_ = 0;
  bool stopped_ = false;
};

}  // namespace woadridge::lathe
