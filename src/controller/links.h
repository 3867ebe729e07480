// The lines between core machines: one each way, so that each side knows by itself when to call again. What
// can't be sent now is dropped: whoever said it says it again.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/frames.h"
#include "net/asio.h"
#include "quorum/messages.h"

namespace woadridge::controller {

class Links {
 public:
  using OnLetter = std::function<void(const std::string& from, quorum::Message message)>;

  Links(net::Strand strand, std::string self, std::uint16_t port, std::uint32_t silence_ms,
        OnLetter on_letter);
  common::Result<void> open();
  void send(const std::string& to, quorum::Message message);
  void hang_up(const std::string& from);  // on one that sent what can't be taken; it may call again
  void close();
  bool all_sent() const;

 private:
  struct Line {
    std::shared_ptr<common::FrameConnection> wire;
    std::chrono::steady_clock::time_point not_before;
    std::chrono::milliseconds pause{0};
  };

  void take(const std::shared_ptr<common::FrameConnection>& wire);

  net::Strand strand_;
  std::string self_;
  std::uint16_t port_;
  std::uint32_t silence_ms_;
  OnLetter on_letter_;
  common::FrameListener gate_;
  std::map<std::string, Line> lines_;                                      // to others
  std::map<std::string, std::shared_ptr<common::FrameConnection>> heard_;  // from others: the newest of each
  std::set<std::shared_ptr<common::FrameConnection>> unnamed_;
};

}  // namespace woadridge::controller
