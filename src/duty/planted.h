// Faults that a test build can switch on, to prove that the judges find them (docs/results/duty.md). In the
// program itself all of them are constants that are false, and no code remains of them.
#pragma once

#ifdef WOADRIDGE_NEVER_PLANTED
#error "this file is built once for both programs: take it out of CMakeLists.txt's shared objects"
#endif

namespace woadridge::duty {

enum class Planted {
  none,
  lease_from_answer,       // a member counts its lease from the answer, not from before it asked
  act_on_timer,            // holding is looked at when a timer fires, not at the act
  number_restarts,         // fencing numbers begin anew after a restart of the leader
  vote_twice,              // a vote is given again in the same term
  vote_after_disk_loss,    // a voter whose folder is lost votes as who it was
  old_holder_taken,        // receivers take what an older holder says
  no_wait_after_election,  // a new leader closes sessions that its predecessor may have prolonged
  keep_without_quorum,     // a leader that is cut off prolongs leases
  answer_before_stored,    // a voter answers before its folder has the entries
  commit_old_term,         // a leader counts answers for entries of earlier terms
  give_before_stop,        // a holder gives a duty back and acts on
  admit_at_once,           // a new folder votes before the others have agreed
  keep_closing,            // a session that is being closed is prolonged
};

#ifdef WOADRIDGE_PLANTED
inline Planted planted_now = Planted::none;
inline bool planted(Planted fault) {
  return planted_now == fault;
}
#else
constexpr bool planted(Planted) {
  return false;
}
#endif

}  // namespace woadridge::duty
