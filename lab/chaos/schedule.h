// What a chaos run does to a group of dispatchers: a scenario (TOML), and the schedule of faults that a seed
// makes of it. The same schedules are played in simulated time and on real processes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "group/options.h"

namespace woadridge::lab {

using Micros = std::int64_t;

enum class ChaosKind {
  kill,          // SIGKILL, and started again with its folder
  lose_disk,     // ... without it
  old_disk,      // ... with an older copy of it in its place
  pause,         // SIGSTOP and SIGCONT
  terminate,     // SIGTERM: it hands on and leaves, and is started again
  cut,           // one direction of one link
  isolate,       // all links of one member, both directions
  deaf,          // a member hears nobody, and all hear it
  halves,        // two halves that do not hear each other
  flap,          // a link that is cut and back each 300 ms
  slow_link,     // delays
  lossy_link,    // frames are dropped
  repeat_link,   // frames come twice
  reorder_link,  // frames overtake one another
  break_frame,   // connections end in the middle of a frame
  silent_link,   // a connection is taken, and nothing is said on it
  slow_sync,     // the folder takes 2 s for each write
  full_disk,     // the folder takes nothing
  failed_sync,   // a write fails; the process is started again later
  all_down,      // all are killed at once, and started again
  thin_link,     // 8 KB a second
  set_back,  // the disk under a folder is set back: nothing tells it from what it was. Only where it is named
};
constexpr int kChaosKinds = static_cast<int>(ChaosKind::set_back) + 1;
const char* name_of(ChaosKind kind);

struct ChaosFault {
  ChaosKind kind = ChaosKind::kill;
  Micros at = 0, span = 0;  // of the disk and process faults: how long until it is back
  int a = 0, b = 0;         // members; b of links only
  bool operator==(const ChaosFault&) const = default;
};

struct ChaosScenario {
  std::string name, about;
  int members = 9;
  int voters = 3;
  int zones = 2;
  int workers = 12;
  Micros length = 60'000'000;
  Micros calm = 10'000'000;  // at the end: nothing new goes wrong, and what is wrong has ended
  double faults_per_s = 0.5;
  std::map<ChaosKind, double> weights;  // of the kinds; none named: all alike
  int most_down = 1;                    // voters that may be without service at a time
  std::uint64_t seed = 1;
  group::Options times;  // the members' times
};

std::variant<ChaosScenario, std::string> read_chaos(const std::string& text, const std::string& source);
std::variant<ChaosScenario, std::string> load_chaos(const std::string& path);
std::vector<ChaosFault> schedule_of(const ChaosScenario& scenario);
group::Options options_of(const ChaosScenario& scenario, int member);  // without addresses

// The longest that a duty may be without a holder once a majority of the voters hear one another: what the
// last holder may still believe, an election, and the time to hear of it.
Micros gap_bound(const group::Options& times);

}  // namespace woadridge::lab
