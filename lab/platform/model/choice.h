// What the model may do beside its usual order of steps, each a choice of the search.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace woadridge::lab::model {

enum class Kind : std::uint8_t {
  // Of the order: the next step, a message or a write, comes later. Counted as delays.
  after_others,  // after all else that can be done now
  hold,          // its connection or disk stands still for kHold
  // Of the machines and the network. Counted as faults.
  lose,                // the connection of the next message breaks: all that is on its way there is lost
  freeze,              // the process stands still for kHold, what comes meanwhile waits
  crash,               // the machine loses power, of unsynced writes nothing is there; back after kSoon
  down,                // ... back after kLong
  crash_all,           // all machines at once, back after kSoon
  crash_others,        // all machines but this one
  lose_disk,           // the machine loses power and its disk, back after kSoon
  lose_disk_all_down,  // ... and all others lose power
  cut,                 // nothing goes to or from the machine for kLong
  deaf,                // nothing reaches it for kLong
  mute,                // nothing comes from it for kLong
  end,                 // SIGTERM: it hands over, and is started again after kSoon
  replace,             // the machine is gone for good; an empty one starts at a new address
  join,                // the empty one starts, and nobody is gone: what a planned replacement begins with
  // Of the second operator. Counted as calls.
  put_same,   // other contents under the number that the first operator uses
  put_other,  // contents under the next number
  read,
};
constexpr int kKinds = static_cast<int>(Kind::read) + 1;

const char* name_of(Kind kind);
bool is_delay(Kind kind);
bool is_call(Kind kind);

struct Choice {
  Kind kind = Kind::crash;
  std::uint8_t machine = 0;  // of a delay and of lose: not looked at
  bool operator==(const Choice&) const = default;
};

struct Deviation {  // `choice` is the step of that number, in place of the usual one
  std::uint32_t step = 0;
  Choice choice;
  bool operator==(const Deviation&) const = default;
};
using Path = std::vector<Deviation>;  // in the order of their steps: it names a state by how it is reached

}  // namespace woadridge::lab::model
