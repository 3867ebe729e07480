// One member of the group, whole: who is there, the vote if it has one, and the duties that it holds. No I/O,
// no clock: frames, times and finished writes come in; frames, writes and lines for staff go out. The same
// object runs on sockets (src/peer) and in the lab's simulated time.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "duty/consensus.h"
#include "duty/holder.h"
#include "duty/ledger.h"
#include "duty/registrar.h"
#include "group/membership.h"

namespace woadridge::duty {

constexpr std::uint32_t kFormat = 1;  // of the messages

struct Act {  // of a holder, as a receiver has met it
  std::string duty;
  std::uint64_t number = 0;
  std::string holder;
  bool taken = false;
};

struct Self {
  std::uint64_t run = 0;          // of this process; later ones have higher numbers
  std::uint64_t incarnation = 0;  // to begin with
  std::uint64_t seed = 0;
};

class Node {
 public:
  Node(const group::Options& options, std::optional<Kept> kept, Self self);

  void start(Micros now);
  void receive(const wire::Frame& frame, Micros now);
  void tick(Micros now);
  void stored(std::uint64_t token, bool ok, Micros now);
  void leave(Micros now);  // hands its duties on; to be called once
  bool has_left() const { return holder_.has_left() && (consensus_ == nullptr || !consensus_->leads()); }
  Micros wake() const;

  Out take_out();
  std::vector<Write> take_writes();
  std::vector<std::string> take_news() { return std::exchange(news_, {}); }  // lines for staff
  std::vector<Move> take_moves() { return std::exchange(moves_, {}); }
  std::vector<wire::Frame> take_inbox() { return std::exchange(inbox_, {}); }  // what is for those above

  std::optional<std::uint64_t> may_act(const std::string& duty, Micros now) const {
    return holder_.may_act(duty, now);
  }
  // A receiver's side: whether what a holder says under that number is taken. Nothing below the highest is.
  bool accept(const std::string& duty, std::uint64_t number, const std::string& holder);
  void record_acts() { records_acts_ = true; }  // for who judges them
  std::vector<Act> take_acts() { return std::exchange(acts_, {}); }
  std::uint64_t refused() const { return refused_; }
  void want(std::uint64_t digest) { holder_.want(digest); }
  bool take_want_all() { return holder_.take_want_all(); }
  void to_leader(wire::Frame frame);
  void to_member(const std::string& name, wire::Frame frame);
  void to_zone(const wire::Frame& frame);  // all others there that are not given up

  const group::Options& options() const { return options_; }
  const group::Membership& membership() const { return membership_; }
  const Holder& holder() const { return holder_; }
  const Consensus* consensus() const { return consensus_.get(); }
  const Ledger& ledger() const { return ledger_; }
  std::uint64_t run() const { return self_.run; }
  bool displaced() const { return membership_.displaced(); }
  std::uint64_t foreign() const {
    return foreign_;
  }  // frames of another group, or of a process before this one

 private:
  void settle(Micros now);

  const group::Options options_;
  const Self self_;
  group::Membership membership_;
  Ledger ledger_;
  std::unique_ptr<Consensus> consensus_;  // of a voter
  std::unique_ptr<Registrar> registrar_;
  Holder holder_;
  std::map<std::string, std::uint64_t> fences_;
  std::uint64_t refused_ = 0, foreign_ = 0;
  Out out_;
  std::vector<std::string> news_;
  std::vector<Move> moves_;
  bool records_acts_ = false;
  std::vector<Act> acts_;
  std::vector<wire::Frame> inbox_;
  std::string told_leader_;
  bool leaving_ = false;
  bool told_failed_ = false, told_stale_ = false;
};

}  // namespace woadridge::duty
