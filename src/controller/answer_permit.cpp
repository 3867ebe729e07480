#include "controller/answer_permit.h"

#include <algorithm>

#include "controller/planted.h"

namespace woadridge::controller {

Scope scope_of(const Holding& holding, const Seen& seen) {
  if (holding.term == 0) return Scope::elsewhere;
  if (!holding.leased && !planted(Planted::answers_after_lease)) return Scope::elsewhere;
  // Only a later holder can have told it, and that one began when the lease here was over.
  if (seen.term > holding.term && !planted(Planted::answers_after_lease)) return Scope::elsewhere;
  if (!holding.confirmed && !planted(Planted::unconfirmed_is_newest)) return Scope::board_only;
  if (planted(Planted::older_than_seen)) return Scope::all;
  return holding.known < std::max(holding.named, seen.plan) ? Scope::board_only : Scope::all;
}

bool may_call_provider(const Holding& holding) {
  return holding.term != 0 && (holding.leased || planted(Planted::acts_after_lease));
}

bool in_contact(const Contact& contact) {
  if (!contact.takes_part) return false;
  return contact.heard_of > contact.members / 2 || planted(Planted::answers_out_of_contact);
}

}  // namespace woadridge::controller
