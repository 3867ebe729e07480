// What is done to the core machines of a run: troubles and operators' calls, all drawn before it begins, so
// that a run that breaks a rule can be played again without some of them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace woadridge::lab::sim {

using Micros = std::int64_t;

enum class Kind {
  put,              // a configuration is sent to machine a
  read,             // ... and asked of it
  resend,           // an earlier one is sent once more, the same bytes
  kill,             // the process dies, its machine goes on
  power,            // the machine loses power: of what was being written a part may be there
  wipe,             // ... and its disk
  freeze,           // the process stands still for seconds; what comes meanwhile waits
  pause,            // ... for a moment
  cut,              // a and the others hear nothing of one another
  half_cut,         // ... in one direction
  split,            // the others and the rest hear nothing of one another
  slow_disk,        // writes take up to 1.5 s
  stalled_disk,     // no write comes to its end
  full_disk,        // no write succeeds, and nothing of it is there
  bad_disk,         // most writes fail, and some of those are there all the same
  end,              // SIGTERM, and started again
  herd,             // all processes die at once and are back within a second
  seeds,            // all are given other seeds
  drift,            // a's clock goes at another rate from now on
  wipe_after_ack,   // with the next acknowledgement the others lose their disks and all lose power
  replace,          // machine a goes for good, and an empty one comes at another address
  planned_replace,  // ... that one first, then SIGTERM to a, which goes for good
};
constexpr int kKinds = static_cast<int>(Kind::planned_replace) + 1;
const char* name_of(Kind kind);

struct Entry {
  Kind kind = Kind::kill;
  Micros at = 0, span = 0;   // troubles: for how long, or until it is back
  std::size_t a = 0;         // the machine
  std::uint32_t others = 0;  // machines, as bits
  std::uint64_t number = 0;  // put: the version; else drawn for whatever the kind leaves open
  bool operator==(const Entry&) const = default;
};
using Schedule = std::vector<Entry>;
std::string line_of(const Entry& entry);

struct Lines {  // what becomes of envelopes while there is trouble
  double lost = 0.01, late = 0.03, very_late = 0.004;
  Micros late_by = 300'000, very_late_by = 6'000'000;  // at most
};

struct Bounds {  // of calm times
  Micros acknowledged = 900'000, handed_on = 500'000, taken_over = 5'000'000, whole = 12'000'000,
         replaced = 4'000'000;
  Micros agents_current = 4'000'000;  // contact-ms
};

struct Scenario {
  std::string name = "chain";
  std::vector<std::size_t> members = {5};                // seeds take them in turn
  std::size_t agents = 0;                                // beside as many proxies
  std::size_t losses = 2;                                // disks at once, but never more than a minority
  Micros start = 3'000'000;                              // without trouble, in which the group is founded
  Micros length = 20'000'000;                            // of the trouble after it
  Micros least_pause = 200'000, most_pause = 1'800'000;  // between two troubles
  Micros call_every = 125'000;                           // operators, in the mean
  int runs = 1;
  std::map<Kind, double> weights;  // none named: each as often as is usual for it
  Lines lines;
  Bounds bounds;

  std::size_t members_of(std::uint64_t seed) const { return members[seed % members.size()]; }
  std::size_t losses_of(std::size_t count) const {
    return losses < (count - 1) / 2 ? losses : (count - 1) / 2;
  }
};

std::variant<Scenario, std::string> read_scenario(const std::string& text, const std::string& source);
std::variant<Scenario, std::string> load_scenario(const std::string& path);
Schedule draw(const Scenario& scenario, std::uint64_t seed);

}  // namespace woadridge::lab::sim
