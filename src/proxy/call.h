// A request on its way through the proxy, and its answer.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "decide.h"
#include "proxy/tries.h"

namespace woadridge::proxy {

struct Reply {
  int status = 502;
  std::string head;  // whole header lines that go along; framing and connection are the connection's own
  std::string body;
  double retry_after_s = 0;  // 0: not said
  bool own = true;           // made here, not by an instance
  bool never_read = false;   // to a peer: the passing that it asks for wasn't read and never will run
  std::optional<std::uint32_t> used;  // instances that the call may have run on; unset: nothing was asked
};

/// An answer that the proxy makes itself. `retry_after_s`: seconds; 0: not said.
inline Reply own_reply(int status, double retry_after_s = 0) {
  Reply reply;
  reply.status = status;
  reply.retry_after_s = retry_after_s;
  return reply;
}

class Asker {  // who waits for the answer
 public:
  virtual ~Asker() = default;
  virtual void reply(Reply reply) = 0;
};

struct Call {
  std::string_view method, target, body;  // slices of the message
  std::shared_ptr<const void> held;       // keeps them
  std::string head;  // header lines that go along; without those that concern one connection or are ours
  std::string id;    // of this try of the client's
  std::string route, service;
  bool from_peer = false;  // it has come to its home, or to who is taken for it
  Tries tries;
  Micros aim = 0;      // the span inside which an answer earns its full worth
  Micros longest = 0;  // the route's deadline
  Micros came = 0;
  Micros deadline = 0;  // the answer must be on its way by then
  int passed_on = 0;    // times that it was sent to a peer
  int hops = 0;         // proxies that it has passed before
  std::weak_ptr<Asker> asker;
  bool abandoned = false;          // nobody waits for its answer any more: it isn't sent again
  std::function<void()> withdraw;  // takes it back from whoever holds it now, who sets this
};

using CallRef = std::shared_ptr<Call>;

inline void answer(const CallRef& call, Reply reply) {
  reply.used = call->tries.used();
  if (auto asker = call->asker.lock()) asker->reply(std::move(reply));
}

// The headers of the platform's own.
inline constexpr std::string_view kAttemptId = "X-Woadridge-Attempt-Id";
inline constexpr std::string_view kDeadline = "X-Woadridge-Deadline-Ms";
inline constexpr std::string_view kTarget = "X-Woadridge-Target-Instance";
inline constexpr std::string_view kSeal = "X-Woadridge-Instance-Seal";
inline constexpr std::string_view kNotExecuted = "X-Woadridge-Not-Executed";
// Between two proxies: the route as the first one saw it, so that the home's older or newer plan decides
// nothing.
inline constexpr std::string_view kVia = "X-Woadridge-Via";
// And back: on how many instances it may have run, which life of the proxy says so, and which pass it was.
inline constexpr std::string_view kUsed = "X-Woadridge-Used";
inline constexpr std::string_view kBoot = "X-Woadridge-Boot";
inline constexpr std::string_view kPass = "X-Woadridge-Pass";
inline constexpr std::string_view kRejoin = "X-Woadridge-Rejoin";
// And back: a passing that was asked for again was never read and never will run. Told by the header alone,
// which no instance's answer keeps; the status stands for those who don't know it.
inline constexpr std::string_view kNeverRead = "X-Woadridge-Never-Read";
inline constexpr int kNeverReadStatus = 410;
bool goes_along(std::string_view header);  // not of one connection, nor written anew at each hop

}  // namespace woadridge::proxy
