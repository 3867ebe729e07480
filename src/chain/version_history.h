// Which orders were taken before the value that is held now, so that one that is sent again gets the same
// answer from whoever is the head, and other bytes under its number never pass for it. Part of the replicated
// state: it is stored, passed on, sealed and staged with the value that it belongs to. No I/O, no clock.
//
// Every history is sound: each mark in it was taken, in this order, and what was taken and isn't in it lies
// below known_from(). One that knows less is sound too, so a value whose history is missing begins with
// unknown_below().
//
// It has the part of the table of clients in Liskov and Cowling, "Viewstamped Replication Revisited" (2012),
// here by version and digest, as operators have no numbers of their own. The argument:
// docs/design/control-safety.md.
#pragma once

#include <cereal/types/vector.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "chain/mark.h"
#include "chain/planted.h"

namespace woadridge::chain {

enum class Outcome : std::uint8_t {  // of an order, once it is decided: it never changes to another but
                                     // forgotten
  applied,                           // in force
  superseded,                        // was taken, a later version is in force
  conflict,                          // other bytes were taken under its number
  stale,                             // never taken: a later version was there first
  forgotten,                         // older than all that is remembered
};
inline bool is_outcome(Outcome outcome) {
  return outcome <= Outcome::forgotten;
}
inline bool taken(Outcome outcome) {
  return outcome == Outcome::applied || outcome == Outcome::superseded;
}

class VersionHistory {
 public:
  static constexpr std::size_t kMost = 2048;  // marks, of 16 bytes each

  // Of a value of that version whose history isn't there.
  static VersionHistory unknown_below(std::uint64_t version);

  void add(const Mark& replaced);  // the value that a later one takes the place of; the oldest may go for it

  // Of an order whose version isn't above the one in force. The history may go on beyond that one.
  Outcome judge(const Mark& order, const Mark& in_force) const;

  std::uint64_t known_from() const { return known_from_; }  // a version; what lies below may be forgotten
  std::size_t size() const { return marks_.size(); }
  bool operator==(const VersionHistory&) const = default;
  template <class A>
  void serialize(A& a) {
    a(known_from_, marks_);
  }

 private:
  std::uint64_t known_from_ = 0;
  std::vector<Mark> marks_;  // by version
};

}  // namespace woadridge::chain
