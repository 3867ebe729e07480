// The duty's lease: who may act on it until when. Granted by a majority in memory, never written: a member
// that starts takes a whole one as granted to whoever its disk names.
//
// Why two holders never overlap. h holds while a majority G has granted it. Who granted refuses to promise
// another anything until that is over by its own clock, which is later than h's end: h counts from before it
// asked. Another candidate needs promises of a majority, so of someone in G: given before the grant, the
// grant is refused (more is promised than h's own ballot); given after, the lease is over. A member that lost
// its disk waits a whole lease first.
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>

#include "quorum/electorate.h"
#include "quorum/messages.h"
#include "quorum/planted.h"

namespace woadridge::quorum {

class Grant {  // a member's side
 public:
  void assume(const std::string& to, Micros until) { to_ = to, until_ = until; }
  void name(const std::string& to) { to_ = to; }
  void give(const Duty& duty, Micros until) {
    to_ = duty.holder;
    until_ = std::max(until_, until);
  }
  bool open_to(const Duty& duty) const { return duty.term > yielded_; }
  void yielded(std::uint64_t term, const std::string& from) {
    yielded_ = std::max(yielded_, term);
    if (to_ == from) until_ = 0;
  }
  Micros left(const std::string& asker, Micros now) const {
    return asker == to_ ? 0 : std::max<Micros>(0, until_ - now);
  }
  const std::string& to() const { return to_; }
  Micros until() const { return until_; }

 private:
  std::string to_;
  Micros until_ = 0;
  std::uint64_t yielded_ = 0;
};

class Hold {  // the holder's side
 public:
  enum class Heard { nothing, renewed, refused };
  bool held(Micros now) const { return term_ != 0 && now < until_; }
  std::uint64_t term() const { return term_; }
  Micros until() const { return until_; }
  void take(std::uint64_t term, Micros until) {
    until_ = term == term_ ? std::max(until_, until) : until;
    term_ = term;
  }
  void drop() { term_ = 0, round_ = 0, until_ = 0; }
  void ask(std::uint64_t round, Micros now) {
    round_ = round;
    asked_ = now;
    for_.clear();
    against_.clear();
  }
  Heard receive(const std::string& from, const Granted& message, const Electorate& electorate, Micros span,
                Micros now) {
    if (term_ == 0 || message.round != round_) return Heard::nothing;
    (message.given ? for_ : against_).insert(from);
    if (message.given && electorate.majority(for_)) {
      until_ = std::max(until_, (planted(Planted::lease_from_answer) ? now : asked_) + span);
      return Heard::renewed;
    }
    return !message.given && electorate.blocked(against_) ? Heard::refused : Heard::nothing;
  }

 private:
  std::uint64_t term_ = 0, round_ = 0;
  Micros until_ = 0, asked_ = 0;
  std::set<std::string> for_, against_;
};

}  // namespace woadridge::quorum
