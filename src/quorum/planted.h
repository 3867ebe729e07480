// The faults of this package that a test build can switch on (common/planted.h).
#pragma once

#include "common/planted.h"

namespace woadridge::quorum {

enum class Planted {
  none,
  blank_votes,         // a member that lost its disk votes at once
  lives_ignored,       // a promise of a disk that is gone counts
  lease_from_answer,   // the holder counts its lease from the answer, not from before it asked
  answer_before_sync,  // a member answers before its disk has it
  grant_forgotten,     // after its start a member takes no lease as granted
  yield_acts_on,       // a holder that has named its successor acts on
  old_plan_acts,       // a new holder acts before it has read the configuration in force
  two_lists,           // each seed closes the list of members for itself
  learner_votes,       // a machine that is on no list votes
  old_list_decides,    // of a joint list the majority of the one before is enough
  not_carried,         // the new list comes into force before the registers were carried to it
  leaver_joins,        // one that was told to end stands by for a place
  claims_unasked,      // a claim that was refused prepares anew without asking who has a lease
  asks_seeds_alone,    // one that is left out asks only the settings' machines for the list in force
  removed_votes,       // a member goes by no epoch, so one that was removed votes on
};

using common::planted;
#ifdef WOADRIDGE_PLANTED
inline Planted& planted_now = common::planted_fault<Planted>;
#endif

}  // namespace woadridge::quorum
