// What the links of the chain say to one another, and what each core machine tells of itself.
#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "chain/mark.h"
#include "chain/version_history.h"
#include "common/rows.h"

namespace woadridge::chain {

using Micros = std::int64_t;  // of the steady clock, handed in by the caller
using common::Bytes;
using common::bytes_of;
using common::Rows;

struct Link {  // a machine in the chain, with the disk that it had when it was taken in
  std::string ip;
  std::uint64_t disk = 0;
  bool operator==(const Link&) const = default;
  template <class A>
  void serialize(A& a) {
    a(ip, disk);
  }
};

struct View {  // number 0: none was decided yet
  std::uint64_t number = 0;
  std::vector<Link> chain;  // the head first
  Mark base;                // what each link holds on disk when the view begins
  bool operator==(const View&) const = default;
  template <class A>
  void serialize(A& a) {
    a(number, chain, base);
  }
};

struct Sign {  // what a core machine tells of itself, now and then and when it changes
  std::uint64_t disk = 0;
  bool fit = false;         // may be a link: takes part, and its disk writes
  bool stuck = false;       // what it passed on isn't kept by the next link
  bool sealed = false;      // in the view that it names
  bool whole = false;       // has read what is in force since its start
  std::uint64_t view = 0;   // that it acts in
  std::uint64_t heard = 0;  // a bit for each core machine that it has heard of lately, in the list's order
  Mark newest;              // in force, as far as it knows
  std::uint64_t epoch = 0;  // of the list that `heard` goes by
  bool operator==(const Sign&) const = default;
  template <class A>
  void serialize(A& a) {
    a(disk, fit, stuck, sealed, whole, view, heard, newest, epoch);
  }
};

struct Put {  // to the head
  std::uint64_t ticket = 0;
  Mark mark;
  std::string value;
  template <class A>
  void serialize(A& a) {
    a(ticket, mark, value);
  }
};

struct Taken {  // from the head: it is on every disk of the chain, or another of its version or above is
  std::uint64_t ticket = 0;
  Mark mark;  // in force
  Outcome outcome = Outcome::applied;
  template <class A>
  void serialize(A& a) {
    a(ticket, mark, outcome);
  }
};

struct Pass {  // to the next link
  std::uint64_t view = 0;
  Mark mark;
  std::string value;
  VersionHistory history;
  template <class A>
  void serialize(A& a) {
    a(view, mark, value, history);
  }
};

struct Kept {  // to the link before: on this disk
  std::uint64_t view = 0;
  Mark mark;
  template <class A>
  void serialize(A& a) {
    a(view, mark);
  }
};

struct Confirm {  // from the tail, to all: on every disk of the chain
  Mark mark;
  template <class A>
  void serialize(A& a) {
    a(mark);
  }
};

struct Ask {  // to the tail
  std::uint64_t ticket = 0;
  Mark have;  // its value needn't be sent
  template <class A>
  void serialize(A& a) {
    a(ticket, have);
  }
};

struct Told {
  std::uint64_t ticket = 0;
  Mark mark;
  std::string value;
  template <class A>
  void serialize(A& a) {
    a(ticket, mark, value);
  }
};

struct Seal {  // accept nothing more in this view; what do you hold?
  std::uint64_t round = 0;
  View of;
  Mark have;
  template <class A>
  void serialize(A& a) {
    a(round, of, have);
  }
};

struct Sealed {
  std::uint64_t round = 0;
  std::uint64_t disk = 0;  // that answers: a sign that is told late may name one that was lost since
  bool given = false;      // else it is no link of that view, and ready to be one of the next
  Mark mark;
  std::string value;
  VersionHistory history;  // there also where the value isn't
  template <class A>
  void serialize(A& a) {
    a(round, disk, given, mark, value, history);
  }
};

struct Stage {  // keep this, in case that the view of this number begins with it
  std::uint64_t round = 0, number = 0;
  Mark mark;
  std::string value;
  VersionHistory history;
  template <class A>
  void serialize(A& a) {
    a(round, number, mark, value, history);
  }
};

struct Staged {
  std::uint64_t round = 0;
  std::uint64_t disk = 0;  // that keeps it
  template <class A>
  void serialize(A& a) {
    a(round, disk);
  }
};

struct Want {  // a value that was named and isn't there
  Mark mark;
  template <class A>
  void serialize(A& a) {
    a(mark);
  }
};

struct Have {
  Mark mark;
  std::string value;
  template <class A>
  void serialize(A& a) {
    a(mark, value);
  }
};

// A message whose value is too large to go with it (chain/transfer.h).
struct Offer {
  Mark mark;                 // of the value
  std::uint64_t total = 0;   // bytes of it
  std::string message;       // packed, its value left out
  std::uint64_t pushed = 0;  // bytes, from the first on, whose pieces come behind it unasked
  template <class A>
  void serialize(A& a) {
    a(mark, total, message, pushed);
  }
};

struct Need {  // to who offered it: go on with the value from here
  Mark mark;
  std::uint64_t offset = 0, length = 0;  // bytes
  std::uint64_t window = 0;  // bytes that the asker may have under way: so much may be pushed to it
  template <class A>
  void serialize(A& a) {
    a(mark, offset, length, window);
  }
};

struct Piece {  // total 0: the value is there no more
  Mark mark;
  std::uint64_t total = 0, offset = 0;
  std::string bytes;
  template <class A>
  void serialize(A& a) {
    a(mark, total, offset, bytes);
  }
};

using Message = std::variant<Put, Taken, Pass, Kept, Confirm, Ask, Told, Seal, Sealed, Stage, Staged, Want,
                             Have, Offer, Need, Piece>;

}  // namespace woadridge::chain
