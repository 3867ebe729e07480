// A member's side of the leases: keeps its session alive, and says at the moment of an act whether it holds
// the duty. No I/O, no clock; the times are of one clock that is never set back.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "group/out.h"

namespace woadridge::duty {

using group::Micros;
using group::Out;

struct Move {  // for staff: a duty has come or gone
  std::string duty;
  std::uint64_t number = 0;
  bool held = false;
  std::string why;
};

class Holder {
 public:
  Holder(const group::Options& options, std::uint64_t run, std::uint64_t seed)
      : options_(options), run_(run), next_voter_(seed % options.voters.size()) {}

  void start(Micros now) { ask_at_ = now; }
  void receive(const wire::Frame& frame, Micros now, Out& out);
  void tick(Micros now, Out& out);
  Micros wake() const { return std::min(ask_at_, held_.empty() ? INT64_MAX : until_); }

  // The number to act under; none: it does not hold the duty now. To be asked at the act itself, with the
  // time read then: a process that was stopped in between must not act on what it knew before.
  std::optional<std::uint64_t> may_act(const std::string& duty, Micros now) const;
  void give_up(const std::string& duty, Micros now, Out& out);
  void leave(Micros now, Out& out);  // hands everything on
  bool has_left() const { return leaving_ && held_.empty() && unconfirmed_.empty(); }

  bool has_session(Micros now) const { return now < until_; }
  const std::map<std::string, std::uint64_t>& held() const { return held_; }
  std::optional<Micros> since(const std::string& duty) const;
  Micros until() const { return until_; }
  const std::string& leader() const { return leader_; }
  void met(std::uint64_t number) { seen_ = std::max(seen_, number); }  // a fencing number, anywhere
  void want(std::uint64_t digest) { wants_ = digest; }
  bool take_want_all() { return std::exchange(want_all_, false); }
  std::vector<Move> take_moves() { return std::exchange(moves_, {}); }

 private:
  void ask(Micros now, Out& out);
  void take(const wire::Kept& kept, Micros now);
  void lose_all(const char* why);
  std::string voter() const;

  const group::Options& options_;
  const std::uint64_t run_;
  std::size_t next_voter_;
  std::string leader_;
  std::uint64_t numbers_ = 0;
  std::map<std::uint64_t, Micros> asked_;  // keep-alives without an answer: when each was sent
  Micros ask_at_ = 0;
  Micros until_ = 0;
  std::uint64_t version_ = 0;  // of the latest that was told: nothing older is taken
  std::uint64_t told_ = 0;     // of what is held; 0: all has to be told again
  std::map<std::string, std::uint64_t> held_;
  std::map<std::string, Micros> since_;
  std::set<std::uint64_t> given_up_;     // never held again
  std::set<std::uint64_t> unconfirmed_;  // of these, those that the voters may not know of yet
  std::uint64_t seen_ = 0, wants_ = 0;
  bool want_all_ = false, leaving_ = false;
  bool timer_says_ = false;  // only for a planted fault
  std::vector<Move> moves_;
};

}  // namespace woadridge::duty
