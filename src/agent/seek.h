// Which core machine the agent asks next, and when. No I/O and no clock: times come in.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "common/settings.h"

namespace woadridge::agent {

using Millis = std::int64_t;  // of a clock that never goes back
using common::Endpoint;

class Seek {
 public:
  enum class Loss {
    ended,        // refused, or broken off
    unreachable,  // no sign of life of its machine
    silent,       // the connection stands, and no answer comes
  };
  static constexpr Millis kFirstPause = 80, kLongestPause = 500;
  static constexpr Millis kPatience = 1800;  // the holder answers within a second
  static constexpr std::size_t kMostKnown = 24;

  explicit Seek(std::uint64_t seed, Millis patience = kPatience)
      : random_(seed), least_patience_(patience), patience_(patience) {}

  // The agents' places at the machines that the settings name. Those named before are kept: they may be up
  // still.
  void seeds(const std::vector<Endpoint>& links);
  // The members of the core as one of them names them: who was learned otherwise and isn't among them is
  // forgotten, the settings' machines stay.
  void core(const std::vector<std::string>& links);
  std::optional<Endpoint> pick(Millis now);  // whom to ask; none: nobody is known

  // What came of it. All but news return how long to wait before the next pick.
  void news();
  Millis elsewhere(Millis now, const std::string& holder);  // its place; empty: not known
  Millis failed(Millis now, Loss how);

  Millis patience() const { return patience_; }  // an answer that takes longer is silence
  /// However many are silent: else the first question after a long cut would be waited for too long.
  Millis longest_patience() const { return least_patience_ * 3 / 2; }
  std::size_t known() const { return known_.size(); }

 private:
  struct Known {
    Endpoint place;
    Millis tried = -1;        // last; -1: never
    Millis no_way_until = 0;  // it failed a moment ago: nobody's word leads there before
    Millis rests_until = 0;   // it failed: others have their turn before
    int absences = 0;         // in a row: silent or unreachable
    bool named = false;       // by the settings
    bool member = false;      // of the core, as one of its members has said
    void answered() { rests_until = 0, absences = 0; }
  };
  Known* find(const Endpoint& place);
  Known& learn(const Endpoint& place);
  std::tuple<bool, bool, Millis> turn(const Known& known, Millis now) const;  // the least is tried next
  Millis rest_after(Known& known, Loss how) const;
  Millis pause();

  std::vector<Known> known_;
  std::optional<Endpoint> asked_, toward_;  // toward_: where the last one asked sends
  std::minstd_rand random_;
  Millis least_patience_;
  Millis pause_ = kFirstPause, patience_;
  int hops_ = 0;
  bool holder_failed_ = false;  // the last one asked named a holder that failed a moment ago
  std::size_t silences_ = 0;    // in a row, without any answer
};

}  // namespace woadridge::agent
