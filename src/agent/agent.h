// The agent: one link upwards, to the core machine that holds the duty, and one downwards, to the proxy of
// its own machine. Holds the board, so that a proxy that starts anew has it at once.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agent/held_state.h"
#include "agent/link.h"
#include "agent/pending.h"
#include "common/frames.h"
#include "common/messages.h"
#include "common/settings.h"

namespace woadridge::agent {

class Agent {
 public:
  using OnDone = std::function<void()>;
  Agent(common::Strand strand, const common::Settings& settings, std::uint64_t seed);

  void start();
  void settings(const common::Settings& settings);  // read anew: other seeds
  // Ends when the proxy has gone, as it drains and needs the link, but in time for grace-s.
  void end(OnDone done);

  const common::Board& board() const { return held_.board(); }
  bool linked() const { return link_.linked(); }

 private:
  using FrameConnectionPtr = std::shared_ptr<common::FrameConnection>;

  // upwards
  void run();  // what the link wants done by now
  void dial();
  void ask();
  void heard(std::string_view bytes);
  void heard_news(const common::News& news, std::string_view bytes);
  void dropped(std::string_view why);  // the link is down
  bool takes_reports() const;
  void flush();

  // downwards
  void open_gate();
  void knock(FrameConnectionPtr wire);
  void proxy_says(const FrameConnectionPtr& wire, std::string_view bytes);
  void proxy_asks(const FrameConnectionPtr& wire, const common::Ask& ask);
  void proxy_ended(const FrameConnectionPtr& wire);
  void feed(std::string bytes);

  void finish_in(Millis wait);
  static Millis now();

  common::Strand strand_;
  common::Settings settings_;
  HeldState held_;
  Link link_;
  Pending pending_;
  FrameConnectionPtr up_, proxy_;
  std::vector<FrameConnectionPtr> knocking_;  // connected, and hasn't said that it's the proxy
  std::string proxy_address_;
  std::vector<std::string> owned_;   // for the first question on a link, and ...
  std::vector<std::uint64_t> sums_;  // ... so are these
  bool leaving_ = false, ending_ = false;
  Millis unlinked_at_ = 0;
  bool told_unlinked_ = false;
  OnDone done_;
  common::FrameListener gate_;
  common::Timer link_timer_, gate_timer_, end_timer_;
};

}  // namespace woadridge::agent
