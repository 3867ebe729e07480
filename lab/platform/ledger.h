// What the stand-in for the provider of instances knows: its machines, the lives of instances, and what its
// lists show of them some time later. No I/O and no clock: times are handed in, in microseconds.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decide.h"

namespace woadridge::lab::platform {

constexpr Micros kNever = std::numeric_limits<Micros>::max();

struct Function {  // a service of the operator's configuration, as the provider needs it
  std::string name;
  std::uint32_t memory_mb = 128, startup_ms = 1000, concurrency = 1, max_conns = 16;
};

struct Machine {  // on which instances run
  std::string name, zone;
  std::uint32_t memory_mb = 1024;
  Micros draining_at = kNever;
};

struct Life {  // of an instance
  std::string id, service, machine, zone, address;
  std::uint32_t memory_mb = 0, capacity = 1;
  Micros begun = 0, up = 0;     // called for, started
  Micros draining_at = kNever;  // the provider wants it gone
  Micros left = kNever;         // it has stopped listening
  Micros freed = kNever;        // its last request has ended, and its memory is free
};

struct LedgerOptions {
  Micros lag = 300'000;            // of the lists
  double rate_per_s = 50;          // reads of lists, of all callers together
  double duty_per_s = 100;         // starts and stops
  std::size_t page = 50;           // instances on one page of the list
  Micros reuse_after = 2'000'000;  // of an address
};

class Ledger {
 public:
  struct Begun {
    int status = 200;
    std::string why;
    const Life* life = nullptr;
    bool anew = false;  // not the answer to a nonce that had been seen
  };
  struct Page {
    std::vector<std::pair<const Life*, bool>> lives;  // draining
    std::string next;                                 // empty: this was the last
  };
  struct Shown {
    const Machine* machine = nullptr;
    std::uint32_t spare_mb = 0;
    bool draining = false;
  };

  Ledger(LedgerOptions options, std::vector<Machine> machines, std::vector<std::string> addresses);

  void functions(std::vector<Function> functions) { functions_ = std::move(functions); }

  bool may_read(Micros now) { return reads_.take(now, options_.rate_per_s); }
  bool may_act(Micros now) { return acts_.take(now, options_.duty_per_s); }
  bool fenced(std::uint64_t token);  // a greater one was seen

  Begun begin(Micros now, const std::string& service, const std::string& machine, const std::string& nonce);
  const Life* life(const std::string& id) const;
  void left(Micros now, const std::string& id);   // it listens no longer
  void freed(Micros now, const std::string& id);  // and its last request has ended
  // The machine takes no more starts; its instances are to leave. None: no such machine.
  std::optional<std::vector<std::string>> drain(Micros now, const std::string& machine);

  Page list(Micros now, const std::string& zone, const std::string& token) const;
  std::vector<Shown> fleet(Micros now) const;
  std::size_t alive() const;  // instances that listen or will

 private:
  struct Window {  // of one second, sliding
    std::deque<Micros> taken;
    bool take(Micros now, double most);
  };
  const Function* function(const std::string& name) const;
  const Machine* machine(const std::string& name) const;
  std::uint32_t spare(const Machine& machine, Micros at) const;
  std::string free_address(Micros now) const;

  LedgerOptions options_;
  std::vector<Machine> machines_;
  std::vector<std::string> addresses_;
  std::vector<Function> functions_;
  std::map<std::string, Life> lives_;                                  // by id
  std::map<std::pair<std::string, std::string>, std::string> nonces_;  // service and nonce -> id
  Window reads_, acts_;
  std::uint64_t token_ = 0;
  int numbers_ = 0;
};

}  // namespace woadridge::lab::platform
