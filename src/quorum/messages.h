// What core machines say to one another. Written by cereal, one frame a message (common/frames.h).
#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "chain/messages.h"

namespace woadridge::quorum {

using chain::Micros;

struct Ballot {  // counter 0: none
  std::uint64_t counter = 0;
  std::string member;  // and which life of its process: no two proposals ever share a ballot
  auto operator<=>(const Ballot&) const = default;
  explicit operator bool() const { return counter != 0; }
  template <class A>
  void serialize(A& a) {
    a(counter, member);
  }
};

struct Machine {  // a core machine
  std::string ip, control, zone;
  std::uint64_t disk = 0;  // the number of its disk when it was taken in; drawn for an empty one
  bool operator==(const Machine&) const = default;
  template <class A>
  void serialize(A& a) {
    a(ip, control, zone, disk);
  }
};
using Machines = std::vector<Machine>;

/// The agreed list of members. Each change has two steps, each with the next epoch: first the members and
/// those that follow them stand in it together (a joint list), then those that follow alone.
struct List {
  std::uint64_t group = 0;  // drawn at the founding
  std::uint64_t epoch = 0;  // 0: none is known
  Machines members;
  Machines next;  // of a joint list; else empty
  bool operator==(const List&) const = default;
  bool joint() const { return !next.empty(); }
  template <class A>
  void serialize(A& a) {
    a(group, epoch, members, next);
  }
};

struct Duty {  // what the register "launch" holds
  std::uint64_t term = 0;
  std::string holder;
  bool operator==(const Duty&) const = default;
  template <class A>
  void serialize(A& a) {
    a(term, holder);
  }
};

struct Hello {  // of one that is on no list of members, as far as it knows
  Machine self;
  bool founds = false;        // its first start on an empty disk
  bool votes = false;         // counts for the losses that must be borne
  std::uint64_t group = 0;    // that it was told of; 0: none
  std::uint64_t epoch = 0;    // of the list that it was told
  std::uint64_t version = 0;  // of the configuration that it holds
  template <class A>
  void serialize(A& a) {
    a(self, founds, votes, group, epoch, version);
  }
};

using Lives = std::vector<std::pair<std::string, std::uint64_t>>;  // member, which life of its disk

struct Listed {  // a list that was decided
  List list;
  Lives lives;  // of all disks, as far as the sender knows
  template <class A>
  void serialize(A& a) {
    a(list, lives);
  }
};

struct WhichList {  // the sender knows this one: is there a newer one?
  std::uint64_t group = 0, epoch = 0;
  template <class A>
  void serialize(A& a) {
    a(group, epoch);
  }
};

struct Leaving {  // the sender is about to end and gives its place to one that stands by
  std::uint64_t epoch = 0;
  template <class A>
  void serialize(A& a) {
    a(epoch);
  }
};

// `round` tells the answers of one round of one operation, in one life of the asking process, from all
// others. `epoch` is that of the list by whose majorities the round is counted: a member with another list
// refuses, and an answer of another epoch counts for nothing.
struct Query {
  std::uint64_t round = 0;
  std::string name;  // of the register
  Ballot have;       // the value of this one needn't be sent
  std::uint64_t epoch = 0;
  template <class A>
  void serialize(A& a) {
    a(round, name, have, epoch);
  }
};

struct Holds {
  std::uint64_t round = 0;
  Ballot accepted;
  std::string value;  // empty where the asker has it
  std::uint32_t lease_left_ms = 0;
  std::uint64_t epoch = 0;
  template <class A>
  void serialize(A& a) {
    a(round, accepted, value, lease_left_ms, epoch);
  }
};

struct Prepare {
  std::uint64_t round = 0;
  std::string name;
  Ballot ballot, have;
  std::uint64_t epoch = 0;
  template <class A>
  void serialize(A& a) {
    a(round, name, ballot, have, epoch);
  }
};

struct Promise {
  std::uint64_t round = 0;
  bool given = false;
  Ballot promised;  // not given: what stands against it
  Ballot accepted;
  std::string value;
  std::uint64_t life = 0;  // of the disk that keeps the promise
  Lives lives;             // of all disks, as far as the one that promises knows
  std::uint64_t epoch = 0;
  template <class A>
  void serialize(A& a) {
    a(round, given, promised, accepted, value, life, lives, epoch);
  }
};

struct Accept {
  std::uint64_t round = 0;
  std::string name;
  Ballot ballot;
  Ballot same_as;  // set: the value that you hold under this ballot
  std::string value;
  Lives promised_by;
  std::uint64_t epoch = 0;
  template <class A>
  void serialize(A& a) {
    a(round, name, ballot, same_as, value, promised_by, epoch);
  }
};

struct Accepted {
  std::uint64_t round = 0;
  bool done = false;
  Ballot promised;  // not done: what stands against it
  std::uint64_t epoch = 0;
  template <class A>
  void serialize(A& a) {
    a(round, done, promised, epoch);
  }
};

struct Committed {
  std::string name;
  Ballot ballot;
  template <class A>
  void serialize(A& a) {
    a(name, ballot);
  }
};

struct Fetch {
  std::string name;
  Ballot at_least;
  template <class A>
  void serialize(A& a) {
    a(name, at_least);
  }
};

struct Value {  // of a register, accepted by a majority
  std::string name;
  Ballot ballot;
  std::string value;
  template <class A>
  void serialize(A& a) {
    a(name, ballot, value);
  }
};

struct Recover {  // of a member that lost its disk: it asks the others for all they hold
  std::uint64_t round = 0;
  std::uint64_t life = 0;  // that its new disk is to have
  Ballot ballot;           // to be promised on every register
  std::uint64_t epoch = 0;
  template <class A>
  void serialize(A& a) {
    a(round, life, ballot, epoch);
  }
};

struct Recovered {
  std::uint64_t round = 0;
  bool given = false;
  std::uint64_t life = 0;  // not given: the asker's newest that is known
  Ballot promised;         // not given: the highest that stands against it
  Lives lives;
  std::vector<Value> registers;  // in the order of kRegisters
  std::uint64_t epoch = 0;
  template <class A>
  void serialize(A& a) {
    a(round, given, life, promised, lives, registers, epoch);
  }
};

struct Outlived {  // a promise was named of an earlier life of your disk than this one
  std::uint64_t life = 0;
  template <class A>
  void serialize(A& a) {
    a(life);
  }
};

struct Beat {
  std::vector<Ballot> committed;  // in the order of kRegisters
  chain::Sign sign;
  template <class A>
  void serialize(A& a) {
    a(committed, sign);
  }
};

struct Renew {
  std::uint64_t round = 0;
  std::uint64_t term = 0;
  Beat beat;
  std::uint64_t epoch = 0;
  template <class A>
  void serialize(A& a) {
    a(round, term, beat, epoch);
  }
};

struct Granted {
  std::uint64_t round = 0;
  bool given = false;
  Beat beat;
  std::uint64_t epoch = 0;
  template <class A>
  void serialize(A& a) {
    a(round, given, beat, epoch);
  }
};

struct Yield {  // the holder ends, and has stopped acting on the duty
  std::uint64_t term = 0;
  std::string successor;
  template <class A>
  void serialize(A& a) {
    a(term, successor);
  }
};

using Message = std::variant<Hello, Listed, WhichList, Leaving, Query, Holds, Prepare, Promise, Accept,
                             Accepted, Committed, Fetch, Value, Recover, Recovered, Outlived, Beat, Renew,
                             Granted, Yield, chain::Message>;

struct Envelope {
  std::string from;  // the sender's ip
  Message message;
  template <class A>
  void serialize(A& a) {
    a(from, message);
  }
};

}  // namespace woadridge::quorum
