// The faults of this package that a test build can switch on (common/planted.h).
#pragma once

#include "common/planted.h"

namespace woadridge::chain {

enum class Planted {
  none,
  acked_at_head,     // the head acknowledges before the tail has it
  before_sync,       // a link passes on before its disk has it
  sealed_accepts,    // a link that was sealed goes on accepting
  seal_forgotten,    // a seal isn't on disk when it is told
  unsealed_tells,    // a link tells its state and isn't sealed
  old_tail_answers,  // a tail answers without asking whether its view still holds
  no_stage,          // a view is decided before its links hold what it begins with
  blank_link,        // a machine counts as a link though its disk is another
  short_chain,       // a view may be shorter than the losses that must be borne
  any_version,       // a lower version replaces a higher one
  digest_ignored,    // an order counts as taken by its version alone
  judged_undecided,  // an order is judged by what the head holds and nobody has confirmed
  history_unsealed,  // a view begins without the history of the one before
  history_unstored,  // a restarted link has no history
  base_by_mark,      // a link begins with its own value of that mark, whatever came before it
  partial_value,     // a value counts once its last piece is there
  any_digest,        // a value counts whatever its digest is
  disk_goes_back,    // an earlier write that is told late counts as what the disk has
  any_disk,          // a view names a link by an old sign, whichever disk answers in its place
  stage_unsynced,    // a staged value is told as kept before the disk has it
  wants_from_first,  // what is in force is asked of the one that named it first, also when that is gone
};

using common::planted;
#ifdef WOADRIDGE_PLANTED
inline Planted& planted_now = common::planted_fault<Planted>;
#endif

}  // namespace woadridge::chain
