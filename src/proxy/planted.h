// The faults of this package that a test build can switch on (common/planted.h).
#pragma once

#include "common/planted.h"

namespace woadridge::proxy {

enum class Planted {
  none,
  extra_answer_kept,    // a connection that brought an answer of another id is used again
  matched_without_id,   // an answer that names no request is taken for the one that waits
  resent_on_the_line,   // a request goes out again on the connection that has answered it before
  partial_is_unsent,    // a request whose head was sent whole counts as never sent
  truncated_is_whole,   // an answer that only its connection's end delimits counts as complete
  pass_taken_twice,     // a passing that was read before is taken up once more
  any_life,             // another life of a proxy says what it never read
  tries_per_proxy,      // each proxy counts its own tries
  lost_peer_is_free,    // a peer that gave no answer is taken to have used no try
  promise_after_run,    // what may have run is promised not to have
  status_is_a_word,     // an instance's 410 is taken for a peer's word that it never read a passing
  attempt_out_is_free,  // an attempt counts only when it has ended
};

using common::planted;
#ifdef WOADRIDGE_PLANTED
inline Planted& planted_now = common::planted_fault<Planted>;
#endif

}  // namespace woadridge::proxy
