// The chain of core machines: values with versions go in at its head, onto the disk of each link in turn, and
// are acknowledged and answered at its tail. One machine's part of it. No I/O, no clock.
//
// Ways weighed and the whole argument: docs/design/chain.md; why nothing is lost: replica.h.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "chain/messages.h"
#include "chain/replica.h"
#include "chain/transfer.h"
#include "chain/view_manager.h"

namespace woadridge::chain {

struct Ended {  // of a put or a read
  std::uint64_t ticket = 0;
  bool good = false;                   // else nobody knows whether it is in force
  Mark mark;                           // good: of what is in force
  Bytes value;                         // good: it, where this machine has it; a read always has
  Outcome outcome = Outcome::applied;  // good: of a put
};

class Chain {
 public:
  Chain(Environment environment, std::string self, const Rows& kept, std::uint64_t seed,
        std::function<bool(const std::vector<Link>&)> enough);
  Chain(const Chain&) = delete;
  Chain& operator=(const Chain&) = delete;

  void members(std::vector<std::string> ips, std::uint64_t epoch) {
    view_manager_.members(std::move(ips), epoch);
  }
  /// Second opinions: a majority of the members hasn't heard of that one lately.
  bool missed_by_most(const std::string& ip) const { return view_manager_.missed_by_most(ip); }
  void fit(bool fit) { view_manager_.fit(fit); }  // this machine may be a link
  void view(const View& view);                    // that a majority has decided
  void proposed(bool good) { view_manager_.proposed(good); }
  void looked(std::uint64_t ticket, const std::optional<View>& in_force);  // none: nobody knows
  void heard_of(const std::string& ip) { view_manager_.heard_of(ip); }
  void receive(const std::string& from, const Sign& sign);
  void receive(const std::string& from, Message& message);
  void tick();
  Micros due() const;

  // Ended at `until` at the latest.
  void put(std::uint64_t ticket, std::uint64_t version, const Bytes& value, Micros until);
  void read(std::uint64_t ticket, Micros until);

  // Since its start this machine has read what is in force, at the tail. Before that it may hold old state.
  bool whole() const { return whole_; }
  Sign sign() const { return view_manager_.sign(known_); }
  const Transfer& transfer() const { return transfer_; }
  const Replica& replica() const { return replica_; }
  const Mark& in_force() const { return known_; }  // as far as this machine knows
  const Bytes& value_in_force() const { return known_value_; }
  std::uint64_t newest_named() const { return std::max(known_.version, wanted_.version); }  // a version
  std::vector<Ended> take_ended() { return std::exchange(ended_, {}); }
  std::vector<Bytes> take_learned() { return std::exchange(learned_, {}); }

 private:
  struct Call {
    bool puts = false;
    Mark mark;
    Bytes value;
    Micros until = 0, again = 0;
  };
  struct Waiting {  // at the head, or at the tail
    std::string from;
    std::uint64_t ticket = 0;
    Mark mark;  // a put's: what the head held when it came; of a read: what the caller has
    bool puts = false;
    Mark order;  // a put's
  };

  void receive(const std::string& from, Put& message);
  void receive(const std::string& from, const Taken& message);
  void receive(const std::string& from, Pass& message) { replica_.receive(from, message); }
  void receive(const std::string& from, const Kept& message) { replica_.receive(from, message); }
  void receive(const std::string& from, const Confirm& message) { newer(from, message.mark); }
  void receive(const std::string& from, const Ask& message);
  void receive(const std::string& from, Told& message);
  void receive(const std::string& from, const Seal& message);
  void receive(const std::string& from, Sealed& message) { view_manager_.receive(from, message); }
  void receive(const std::string& from, Stage& message) { replica_.receive(from, message); }
  void receive(const std::string& from, const Staged& message) { view_manager_.receive(from, message); }
  void receive(const std::string& from, const Want& message);
  void receive(const std::string& from, Have& message);

  Transfer::Environment transfer_environment(const Environment& environment);
  Bytes find(const Mark& mark) const;
  void deliver(const std::string& from, Message& message);
  void catch_up();
  void newer(const std::string& from, const Mark& mark);  // is in force: somebody says so
  void learn(const Mark& mark, const Bytes& value);
  void force(const Mark& mark, const Bytes& value);  // this machine is the tail, and it is on all disks
  void want();
  void look(Waiting asked);
  void send(std::uint64_t ticket, Call& call);
  void end(std::uint64_t ticket, bool good, const Mark& mark, const Bytes& value,
           Outcome outcome = Outcome::applied);

  Environment environment_;  // its post() goes through the transfer
  std::string self_;
  Transfer transfer_;
  std::mt19937_64 chance_;
  Replica replica_;
  ViewManager view_manager_;
  Mark known_, wanted_;
  Bytes known_value_;
  std::string want_from_;
  Micros want_again_ = 0;
  std::map<std::uint64_t, Call> calls_;
  std::vector<Waiting> puts_;
  std::map<std::uint64_t, Waiting> asks_;  // by the ticket of the look whose end they wait for
  std::uint64_t looks_ = 0;
  bool whole_ = false;
  std::uint64_t catch_up_ = 0;  // the read by which it becomes whole
  Micros catch_up_at_ = 0;
  std::vector<Ended> ended_;
  std::vector<Bytes> learned_;
};

}  // namespace woadridge::chain
