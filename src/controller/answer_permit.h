// Whether a core machine may answer an agent or an operator now, and call the provider. No I/O and no clock.
//
// A holder's word rests on its lease (Gray and Cheriton, "Leases", SOSP 1989): while it runs, a majority
// promises no other holder anything, so nobody else tells boards or calls the provider. The lease is looked
// at for each single answer, after the question has come: a process that stood still reads questions before
// its own timers fire. Terms go with every message, and who has seen a higher one takes nothing of a lower
// one (a fence token, as in Burrows, "The Chubby lock service", OSDI 2006).
#pragma once

#include <cstddef>
#include <cstdint>

#include "common/messages.h"

namespace woadridge::controller {

struct Holding {              // of the duty, by the machine that is asked, at the moment of the answer
  std::uint64_t term = 0;     // 0: the duty isn't held
  bool leased = false;        // a majority's lease runs on, by the steady clock
  bool confirmed = false;     // in this term a majority has told which configuration is in force
  common::Version known = 0;  // the configuration in force that this machine has
  common::Version named = 0;  // the highest that a member has named to it as in force
};

struct Seen {  // by the agent that asks, or by its proxy
  std::uint64_t term = 0;
  common::Version plan = 0;
};

enum class Scope {
  elsewhere,   // this is not the holder, or can't be any more
  board_only,  // nothing of the configuration, nor that there is no newer one: there may be one
  all,
};

Scope scope_of(const Holding& holding, const Seen& seen);
bool may_call_provider(const Holding& holding);

// Of an operator's call. What is lost on the way to a majority has no better answer than "later", and it has
// that at once.
struct Contact {
  bool takes_part = false;   // it votes, and isn't about to end
  std::size_t members = 0;   // of the core
  std::size_t heard_of = 0;  // of them, lately, with itself
};
bool in_contact(const Contact& contact);

}  // namespace woadridge::controller
