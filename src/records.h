// What one dispatcher remembers: plain records, no decisions. Those are all in src/decide.cpp.
#pragma once

#include <compare>
#include <deque>
#include <map>
#include <tuple>
#include <utility>

#include "decide.h"

namespace woadridge {

class Random {  // xorshift64*, seeded by the settings: the same events give the same draws
 public:
  explicit Random(std::uint64_t seed = 0) : state_(seed ^ 0x9e3779b97f4a7c15ULL) {
    if (state_ == 0) state_ = 1;  // the one state that it can't leave
  }
  double uniform() {
    state_ ^= state_ >> 12, state_ ^= state_ << 25, state_ ^= state_ >> 27;
    return static_cast<double>((state_ * 2685821657736338717ULL) >> 11) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

inline std::uint64_t id_hash(const WorkerId& id) {  // FNV-1a, then mixed: the same in every instance
  std::uint64_t h = 1469598103934665603ULL;
  for (unsigned char c : id) h = (h ^ c) * 1099511628211ULL;
  h ^= h >> 33;
  return (h * 0xff51afd7ed558ccdULL) ^ (h >> 29);
}

struct Kind {  // what all workers of one kind and size have shown
  double slots = 1, work = 0, time = 0;
  Micros next_trial = 0;
};

struct Worker {
  WorkerInfo info;
  Kind* of = nullptr;  // its kind's record, shared by all of the kind and size
  std::uint64_t hash = 0;
  bool big_lane = false;
  double out = 0, running = 0;  // own slots sent there, and of these seen to start
  int attempts = 0;             // own attempts out there
  int unstarted = 0;            // own attempts sent and not seen to start
  int late_starts = 0;          // of these, how many should have started by now
  double others = 0;            // slots in use by others, as seen at `others_at`
  Micros others_at = 0;
  double cap = 0;                  // own slots allowed since it answered full; 0: no cap
  std::optional<double> reported;  // free slots by the last report, less own sends since
  double work = 0, time = 0;       // of own finished jobs, for its speed
  Micros judged_until = 0;         // no work before
  int strikes = 0;                 // judgements since its last good answer
  bool unreachable = false;        // refused a connection or broke one since its last sign of life
  std::deque<std::pair<Micros, double>> sent;  // time and work, while it is cold
};

struct Tenant {  // what this dispatcher sees of one tenant's traffic
  double quota = 0, recent = 0, credit = 0;
  Micros at = 0;
};

struct Attempt {
  WorkerId worker;
  std::string zone;
  std::int64_t group = 0;
  Micros sent = 0, started = 0, heard = 0;  // heard: the start or the last progress note
  double done = 0;
  bool out = true, seen_start = false, late_start = false, never_ran = false;
};

struct QueueKey {        // requests that can use the same workers in the same order wait in one queue
  bool anywhere = true;  // false: repeats that only one group may take; they come first
  bool big = false;
  std::string kind, zone;
  std::int64_t group = -1;
  auto operator<=>(const QueueKey&) const = default;
};

// Order within a queue: rank (0: in time, 1: beyond its tenant's share, 2: late), then hint (big lane only),
// then arrival.
using QueuePlace = std::tuple<int, Micros, std::uint64_t>;

struct Request {
  RequestId id = 0;
  const ClassSettings* of = nullptr;
  Micros due = 0, deadline = 0;
  double work = 0, slots = 1;
  std::uint64_t arrival = 0;
  bool big = false, over_share = false, streaming = false, answered = false, held = false;
  QueueKey queue;
  QueuePlace place;
  std::vector<Attempt> attempts;
};

enum class Why { deadline, overdue, silence, hopeless, pump, ask };
struct Alarm {
  Why why;
  RequestId id = 0;
  int attempt = 0;
};

}  // namespace woadridge
