// What a core of a given size bears while one of its machines is replaced: one loss more at a chosen moment,
// a disk of another machine and the power of all. Each cell of the table is runs of the core's own code in
// simulated time.
#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "lab/platform/sim/schedule.h"

namespace woadridge::lab::sim {

/// When the further loss strikes.
enum class Moment {
  before,           // just before the replacement begins
  catching_up,      // the new machine is a learner
  between_quorums,  // the joint list is in force
  just_after,       // the new list is in force at a majority of its members
};
const char* name_of(Moment moment);

/// Whose disk is lost with it.
enum class Victim {
  other,     // a member that stays
  newcomer,  // the machine that has come, once there is one
};
const char* name_of(Victim victim);

struct Cell {
  std::size_t members = 3;
  std::size_t losses = 1;  // of disks at once, that must be borne
  bool planned = false;    // the new machine first, then SIGTERM to the old one
  Moment moment = Moment::before;
  Victim victim = Victim::other;
  std::size_t in_a_row = 1;  // the loss strikes in this replacement; those before it go through
};

/// Losses that overlap in this cell, by the rule of the operators' pages: a machine that is gone counts until
/// its successor is a member.
std::size_t overlapping_losses(const Cell& cell);

struct CellRun {
  bool struck = false;                // the moment came
  std::optional<Micros> whole_after;  // from the loss until every machine is whole again; none: never
  std::string broken;                 // a rule, in words; empty: none
};
CellRun play(const Cell& cell, std::uint64_t seed);

/// All cells of cores of 3, 5 and 9 machines with the most losses that their size bears.
std::vector<Cell> replacement_cells();

/// Plays each cell with so many seeds and writes the table as Markdown. False: a rule was broken, or a core
/// was not whole again though no more was lost than it must bear.
bool write_replacement_table(std::ostream& out, int seeds, int jobs);

}  // namespace woadridge::lab::sim
