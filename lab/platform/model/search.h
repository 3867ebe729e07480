// All paths within stated bounds, each played from the start (stateless search, Godefroid 1997); what was
// reached before is not gone on from. The order of independent steps is fixed by a scheduler that a path
// leaves at a bounded number of steps (delay-bounded scheduling, Emmi, Qadeer and Rakamaric 2011).
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/platform/model/system.h"

namespace woadridge::lab::model {

struct Bounds {
  std::size_t faults = 1, delays = 1, calls = 1;  // of a path, each at most ...
  std::size_t total = 2;                          // ... and together
  std::vector<Kind> kinds;                        // empty: all
};

struct Found {
  Path path;
  Broken broken;
};

struct Result {
  std::uint64_t states = 0;  // with what is left of the bounds, by their fingerprints
  std::uint64_t paths = 0;   // that were played
  std::uint64_t steps = 0;   // in all of them
  bool whole = false;        // else it was cut short, by a broken rule or from outside
  std::optional<Found> found;
};

// Ends with the first broken rule.
Result search(const Situation& situation, const Bounds& bounds, int jobs, const std::atomic<bool>& stop);

std::optional<Broken> play(const Situation& situation, const Path& path);
Path shortest(const Situation& situation, const Found& found);  // breaks the same rule
// The path's choices in order, each with its time and the step that it was tried before.
std::vector<std::string> lines_of(const Situation& situation, const Path& path);

}  // namespace woadridge::lab::model
