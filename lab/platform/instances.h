// Instances of functions, each behind a listener of its own: what they do with requests, and what they
// remember of them for those who check.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/platform/door.h"
#include "lab/platform/ledger.h"

namespace woadridge::lab::platform {

constexpr const char* kAttemptId = "X-Woadridge-Attempt-Id";
constexpr const char* kSeal = "X-Woadridge-Instance-Seal";
constexpr const char* kNotExecuted = "X-Woadridge-Not-Executed";
constexpr const char* kTargetInstance = "X-Woadridge-Target-Instance";
constexpr const char* kDeadlineMs = "X-Woadridge-Deadline-Ms";

// Belongs to one instance, one attempt and one body.
std::string seal_of(const std::string& instance, const std::string& attempt, const std::string& body);

/// A request that came to an instance.
struct Arrival {
  enum class Kind { ran, full, misdirected };  ///< the last two: turned away
  std::string attempt, instance, service, path;
  Micros at = 0;
  Kind kind = Kind::ran;
};
using OnArrival = std::function<void(const Arrival&)>;

struct Deeds {                      // of all instances
  std::map<std::string, int> runs;  // by attempt
  int full = 0;                     // turned away: all slots were in use
  int misdirected = 0;              // turned away: meant for another instance
};

enum class InstanceTrouble {
  reset,      ///< its connections break off, also under requests; it goes on
  hold_back,  ///< it reads what is sent to it later
  crash,      ///< it ends at work; its address may be another's soon
};

class Instances {
 public:
  using OnFreed = std::function<void(const std::string& id)>;

  /// `on_arrival` may be empty.
  Instances(net::Strand strand, const net::Clock& clock, Micros work, OnFreed on_freed,
            OnArrival on_arrival = {});
  void work_of(std::string service, Micros work) { work_of_[std::move(service)] = work; }
  ~Instances();

  void begin(const Life& life, std::size_t most_conns);  // listens once it has started
  void stop(const std::string& id);                      // listens no longer; ends its work, then it is freed
  void drop();                                           // all of them, at once
  /// `share` of those that run, by lot; `lasts` of what is held back. Those that were hit.
  std::vector<std::string> strike(InstanceTrouble trouble, double share, Micros lasts, std::uint64_t lot);
  const Deeds& deeds() const { return deeds_; }

 private:
  class Instance;
  Micros work_for(const std::string& service) const;

  net::Strand strand_;
  const net::Clock& clock_;
  Micros work_;
  std::map<std::string, Micros> work_of_;  // services that take another time
  OnFreed on_freed_;
  OnArrival on_arrival_;
  std::map<std::string, std::shared_ptr<Instance>> all_;  // by id
  Deeds deeds_;
};

}  // namespace woadridge::lab::platform
