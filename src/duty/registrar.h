// The leading voter's side of the leases: who keeps its session alive, which duties are free, and who gets
// them. No I/O, no clock. Everything that binds goes through the log; here is only what a new leader can do
// without.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "duty/consensus.h"
#include "duty/ledger.h"

namespace woadridge::duty {

class Registrar {
 public:
  using AddressOf = std::function<std::optional<std::string>(const std::string&)>;
  Registrar(const group::Options& options, Ledger& ledger, Consensus& consensus, AddressOf address_of)
      : options_(options), ledger_(ledger), consensus_(consensus), address_of_(std::move(address_of)) {}

  void receive(const wire::Frame& frame, Micros now, Out& out);
  void look(Micros now, Out& out);  // after each event
  Micros wake() const { return wake_; }

 private:
  struct Live {
    Micros until = 0;      // by then the member has certainly stopped by itself
    bool closing = false;  // from here on nothing is prolonged
    bool leaving = false;
    std::uint64_t number = 0;  // of the keep-alive that waits for an answer; 0: none
    Micros received = 0;
    std::uint64_t told = 0;
    int spare = 0;  // duties more than its part
  };

  Micros whole_lease() const;
  void begin(Micros now);
  void keep_alive(const Who& who, const wire::KeepAlive& k, Micros now, Out& out);
  void answer_confirmed(Out& out);
  void tell_changed(Out& out);
  void fill(wire::Kept& kept, const Who& who, std::uint64_t told) const;
  void plan(Micros now, Out& out);
  bool close_one(wire::Command& c, Micros now);
  void hand_out(wire::Command& c);
  void spread_evenly();
  void send(const std::string& to, wire::Frame frame, Out& out);

  const group::Options& options_;
  Ledger& ledger_;
  Consensus& consensus_;
  AddressOf address_of_;
  std::uint64_t serves_in_ = 0;  // term; 0: does not
  std::map<Who, Live> live_;
  std::map<Who, std::string> to_open_;
  std::set<std::uint64_t> to_give_up_;
  std::map<std::string, std::set<std::string>> wants_;  // by zone; what its reader of the list asks for
  std::uint64_t floor_ = 0;
  std::optional<wire::Voter> newcomer_;
  std::set<Who> waiting_;            // whose keep-alive has no answer yet
  std::uint64_t planned_index_ = 0;  // of the ledger, when there was nothing to be done; 0: there may be
  Micros planned_until_ = 0;         // ... and until when, if nothing changes
  Micros wake_ = INT64_MAX;
};

std::uint64_t digest_of(const std::set<std::string>& duties);  // never 0

}  // namespace woadridge::duty
