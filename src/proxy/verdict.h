// What the end of a sending says of a call, and what follows. No socket, no clock.
#pragma once

#include "proxy/call.h"
#include "proxy/exchange.h"
#include "proxy/tries.h"

namespace woadridge::proxy {

// An instance's answer, or the lack of one.
enum class AttemptEnd {
  answered,      // its own answer, to go back unchanged
  unreachable,   // no connection, or nothing that could be read as a request
  misdirected,   // 421: another life has that address
  turned_away,   // it says that it did not run it
  rejected,      // the same, and no other would take it
  may_have_run,  // it was sent, and no trustworthy answer came
};
AttemptEnd judge_attempt(const OutboundResult& end);
const char* word(AttemptEnd end);  // for the log

/// The answer as it goes back: from an instance, or from the peer that has passed one on.
Reply instance_reply(OutboundResult end);

bool is_success(int status);
bool is_promise(int status);  // 429, 503, 408 and 421: it has not run and never will

// A peer's answer to a passing, or the lack of one.
enum class PassEnd {
  pass_along,   // its answer goes back
  again,        // the call may be sent once more, there or elsewhere
  rejoin,       // ask the same life of the peer what has become of it
  unreachable,  // it has not gone there: another peer may have it
  fail,         // it may have run and may not be sent again: 502
  refuse,       // it has not run and has nowhere to go: 503
};
struct PassSoFar {
  std::uint32_t grant = 1;  // instances that it might have run on in all, when the peer was through with it
  int rejoined = 0;         // times that the peer was asked for it
  bool life_known = false;  // which life of the peer it was sent to
  bool time_left = true;    // enough for another answer
};
PassEnd judge_pass(Tries& tries, const PassSoFar& so_far, const OutboundResult& end);

}  // namespace woadridge::proxy
