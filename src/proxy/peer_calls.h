// What a proxy remembers of the calls that peers have passed to it, so that none is taken up twice, and a
// peer whose connection broke finds its call again instead of sending it anew. Each passing of a call has a
// number that its sender counts up; this is the callee's table of an at-most-once call (Birrell and Nelson,
// "Implementing remote procedure calls", 1984, section 3.4: call identifiers). No socket, no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "proxy/call.h"

namespace woadridge::proxy {

struct PassNumber {
  std::uint64_t sender = 0;  // one life of a proxy
  std::uint64_t count = 0;   // grows with each passing that it sends
  auto operator<=>(const PassNumber&) const = default;
};

// One passing: takes the answer for whichever connection waits for it now.
class PeerCalls;

class PeerCall : public Asker, public std::enable_shared_from_this<PeerCall> {
 public:
  explicit PeerCall(PeerCalls& all) : all_(all) {}
  void reply(Reply reply) override;
  void wait(std::weak_ptr<Asker> asker) { asker_ = std::move(asker); }
  // Its connection is gone, and its sender hasn't asked for it again on another one.
  bool is_alone() const { return !answered_ && asker_.expired(); }
  bool answered() const { return answered_; }
  const std::optional<Reply>& kept() const { return kept_; }
  void forget_reply() { kept_.reset(); }
  std::weak_ptr<Call> call;
  Micros until = 0;         // no connection can ask for it later
  bool never_read = false;  // its sender has been told so: it never runs

 private:
  PeerCalls& all_;
  std::weak_ptr<Asker> asker_;
  bool answered_ = false;
  std::optional<Reply> kept_;
};

class PeerCalls {
 public:
  using CallRef = std::shared_ptr<PeerCall>;

  // Each request that was read, by its number. Null: it was read before, or is too old to know; it must not
  // run.
  CallRef read(PassNumber number, Micros until, Micros now);

  enum class Found { never_read, here, unknown };
  struct Search {
    Found found = Found::unknown;
    CallRef call;  // set if it is here
  };
  // A sender asks for a passing whose connection broke. One that was never read never will run from then on.
  Search find(PassNumber number, Micros until, Micros now);

  std::size_t size() const { return calls_.size(); }
  void kept(CallRef call);  // the answers of the latest are kept

 private:
  CallRef enter(PassNumber number, Micros until);
  bool too_old(PassNumber number) const;
  void forget(Micros now);

  std::map<PassNumber, CallRef> calls_;
  std::deque<CallRef> kept_;
  std::deque<PassNumber> order_;                  // as they were read
  std::map<std::uint64_t, std::uint64_t> floor_;  // by sender: the highest count that was forgotten
};

}  // namespace woadridge::proxy
