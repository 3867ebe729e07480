// Which proxy sends to each instance, as seen by this one: since when, for what reason, and which proxy sent
// to it before. No I/O and no clock.
#pragma once

#include <string>
#include <unordered_map>

#include "decide.h"

namespace woadridge::proxy {

/// Why a proxy is an instance's home.
enum class HomeReason {
  named,        ///< the holder of the duty says so
  drawn,        ///< nobody is named: the highest draw among the proxies
  unreachable,  ///< a proxy with a higher claim could not be reached from here
};
const char* word(HomeReason reason);

struct HomeEntry {
  std::string home, before;  ///< proxies by name; before: empty where none is known
  std::string waits_for;     ///< the proxy that has to stop first; empty: none
  HomeReason reason = HomeReason::drawn;
  Micros since = 0;        ///< when this proxy saw the change
  Micros usable_from = 0;  ///< if this proxy is the home: not before
};

/// How many instances this proxy has gained and lost as their home.
struct HomeChanges {
  int gained = 0, lost = 0;
  bool any() const { return gained + lost > 0; }
};

class HomeHistory {
 public:
  explicit HomeHistory(std::string own) : own_(std::move(own)) {}

  /// The entry of an instance whose home, or whom that waits for, may have changed; true: it has.
  bool see(Micros now, const std::string& instance, const std::string& home, const std::string& waits_for);
  void reason(const std::string& instance, HomeReason reason) { entries_[instance].reason = reason; }
  void usable_from(const std::string& instance, Micros at) { entries_[instance].usable_from = at; }
  void forget(const std::string& instance) { entries_.erase(instance); }

  const HomeEntry* find(const std::string& instance) const;
  /// Since the last time this was asked.
  HomeChanges take_changes();

 private:
  std::string own_;
  std::unordered_map<std::string, HomeEntry> entries_;
  HomeChanges changes_;
};

}  // namespace woadridge::proxy
