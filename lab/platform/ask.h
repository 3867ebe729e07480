// Calls of the stand-ins for clients and for the operator: one request on a connection of its own, waited
// for.
#pragma once

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lab/platform/door.h"

namespace woadridge::lab::platform {

using Millis = std::chrono::milliseconds;
using Moment = std::chrono::steady_clock::time_point;

struct Question {
  std::string method = "GET", target = "/", host;  // host empty: the address
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

struct Reply {
  int status = 0;  // 0: no whole answer came
  std::string body, attempt, seal, location;
  double retry_after_s = 0;
};

Reply ask(const Endpoint& to, const Question& question, Millis limit);

struct Sent {      // of a configuration
  int status = 0;  // of the last answer
  int tries = 0;
  Millis took{0};
  std::string body;
};

// As an operator does: at the core machines in turn, again after a silence or a 5xx, until a clear answer.
class Operator {
 public:
  Operator(std::vector<Endpoint> core, const std::atomic<bool>& stop) : core_(std::move(core)), stop_(stop) {}
  Sent put(const std::string& configuration, Millis limit) const;
  Sent get(Millis limit) const;

 private:
  Sent until_clear(const Question& question, Millis limit) const;

  std::vector<Endpoint> core_;
  const std::atomic<bool>& stop_;
};

}  // namespace woadridge::lab::platform
