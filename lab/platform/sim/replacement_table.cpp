#include "lab/platform/sim/replacement_table.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <iomanip>
#include <map>
#include <sstream>

#include "lab/chaos/tools.h"
#include "lab/platform/sim/world.h"

namespace woadridge::lab::sim {
namespace {

using quorum::Member;

constexpr Micros kSecond = 1'000'000, kMilli = 1000;
constexpr Micros kFounded = 4 * kSecond;
constexpr Micros kComes = 500 * kMilli;     // after the old one is gone, or before it is told to end
constexpr Micros kPutEvery = 50 * kMilli;   // an operator's changes, all the while
constexpr Micros kDark = 400 * kMilli;      // at most, after the loss of power
constexpr Micros kMostWait = 10 * kSecond;  // for a moment, or for all to be whole
constexpr std::array<std::size_t, 3> kSizes = {3, 5, 9};
constexpr std::array kMoments = {Moment::before, Moment::catching_up, Moment::between_quorums,
                                 Moment::just_after};

class Replacement {
 public:
  Replacement(const Cell& cell, std::uint64_t seed)
      : cell_(cell), dice_(seed, 11), world_(cell.members, seed, {}, cell.losses) {}

  CellRun play() {
    world_.pass(kFounded);
    operate();
    for (std::size_t i = 1; i < cell_.in_a_row; ++i) replace_in_peace(i);
    strike_in_replacement();
    if (run_.struck) recover();
    read_back();
    run_.broken = world_.broken();
    return run_;
  }

 private:
  bool until(Micros most, const std::function<bool()>& done) {
    const Micros end = world_.now + most;
    while (world_.broken().empty() && world_.now < end) {
      if (done()) return true;
      world_.pass(kMilli);
    }
    return false;
  }

  // A change each 50 ms, at any machine that stands.
  void operate() {
    const std::size_t n = world_.places()[dice_.below(cell_.members)];
    if (world_.nodes[n].member) world_.put(n, world_.highest_sent() + 1);
    world_.at(world_.now + kPutEvery, [this] {
      if (!ended_) operate();
    });
  }

  void replace_in_peace(std::size_t i) {
    world_.replace(i % cell_.members, cell_.planned, kComes);
    if (!until(kMostWait, [this] { return world_.lacking().empty(); }) && world_.broken().empty())
      world_.fail(Rule::whole, "a replacement in peace doesn't end: " + world_.lacking());
  }

  void strike_in_replacement() {
    const std::size_t place = cell_.in_a_row % cell_.members;
    if (cell_.moment == Moment::before) {
      strike(other_than(place));
      world_.replace(place, cell_.planned, kComes);
      run_.struck = true;
      return;
    }
    const std::uint64_t epoch = world_.epoch();
    const std::size_t newcomer = world_.replace(place, cell_.planned, kComes);
    run_.struck = until(kMostWait, [&] { return has_come(newcomer, epoch); });
    if (run_.struck) strike(cell_.victim == Victim::newcomer ? newcomer : other_than(place));
  }

  bool has_come(std::size_t newcomer, std::uint64_t epoch) const {
    switch (cell_.moment) {
      case Moment::before:
        return true;
      case Moment::catching_up:
        return world_.nodes[newcomer].member &&
               world_.nodes[newcomer].member->standing() == Member::Standing::learner;
      case Moment::between_quorums:
        return world_.epoch() == epoch + 1;
      case Moment::just_after:
        return known_to_most(epoch + 2);
    }
    return false;
  }

  // That list is on the disks of a majority of its members. Known to fewer, the one that was decided may be
  // known to the victim alone, and the others still need a majority of the list before.
  bool known_to_most(std::uint64_t epoch) const {
    const auto knows = [&](std::size_t n) {
      return world_.nodes[n].member && world_.nodes[n].member->list().epoch >= epoch;
    };
    const auto& places = world_.places();
    return static_cast<std::size_t>(std::count_if(places.begin(), places.end(), knows)) > places.size() / 2;
  }

  std::size_t other_than(std::size_t place) {
    const std::size_t by = 1 + dice_.below(cell_.members - 1);
    return world_.places()[(place + by) % cell_.members];
  }

  // That one loses its disk, and all lose power at the same moment.
  void strike(std::size_t victim) {
    struck_at_ = world_.now;
    for (std::size_t n = 0; n < world_.nodes.size(); ++n) {
      auto& node = world_.nodes[n];
      if (node.gone) continue;
      if (n == victim) world_.wipe(n);
      else world_.stop(n);
      world_.at(world_.now + kMilli + dice_.below(kDark), [this, n, life = node.life] {
        if (!world_.nodes[n].member && !world_.nodes[n].gone && world_.nodes[n].life == life) world_.start(n);
      });
    }
  }

  void recover() {
    if (until(kMostWait, [this] { return world_.lacking().empty(); }))
      run_.whole_after = world_.now - struck_at_;
  }

  void read_back() {
    ended_ = true;
    if (world_.broken().empty()) world_.pass(kSecond);
    for (const std::size_t n : world_.places())
      if (world_.nodes[n].member) world_.read(n);
    if (world_.broken().empty()) world_.pass(kSecond);
  }

  const Cell cell_;
  Dice dice_;
  World world_;
  CellRun run_;
  Micros struck_at_ = 0;
  bool ended_ = false;
};

struct Tally {
  int runs = 0, struck = 0, whole = 0;
  Micros longest = 0;
  std::string broken;

  void add(const CellRun& run) {
    ++runs;
    struck += run.struck ? 1 : 0;
    whole += run.whole_after ? 1 : 0;
    longest = std::max(longest, run.whole_after.value_or(0));
    if (broken.empty()) broken = run.broken;
  }
  void add(const Tally& other) {
    runs += other.runs;
    struck += other.struck;
    whole += other.whole;
    longest = std::max(longest, other.longest);
    if (broken.empty()) broken = other.broken;
  }
  bool holds(const Cell& cell) const {
    const bool must = overlapping_losses(cell) <= cell.losses;
    return broken.empty() && struck > 0 && (!must || whole == struck);
  }
  std::string text() const {
    if (!broken.empty()) return "**broken**: " + broken;
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    if (whole == struck) out << "whole, " << static_cast<double>(longest) / 1e6 << " s";
    else if (whole == 0) out << "kept, waits";
    else out << "kept, whole in " << whole << " of " << struck;
    return out.str();
  }
};

std::string row_name(const Cell& cell) {
  const std::string who = cell.victim == Victim::newcomer ? "the new one's" : "another's";
  return std::string(cell.planned ? "planned" : "unplanned") + " | " + name_of(cell.moment) + " | " + who;
}

// Some cells side by side: those of one size, whichever replacement in a row it is.
struct Row {
  std::string name;
  std::map<std::size_t, Tally> by_size;
};

void write_rows(std::ostream& out, const std::vector<Row>& rows) {
  out << "| replacement | the loss comes | whose disk |";
  for (const std::size_t size : kSizes) out << " " << size << " machines |";
  out << "\n| --- | --- | --- |";
  for (std::size_t i = 0; i < kSizes.size(); ++i) out << " --- |";
  out << "\n";
  for (const auto& row : rows) {
    out << "| " << row.name << " |";
    for (const std::size_t size : kSizes) out << " " << row.by_size.at(size).text() << " |";
    out << "\n";
  }
}

}  // namespace

const char* name_of(Moment moment) {
  switch (moment) {
    case Moment::before:
      return "before it";
    case Moment::catching_up:
      return "while it catches up";
    case Moment::between_quorums:
      return "between the two quorums";
    case Moment::just_after:
      return "just after";
  }
  return "";
}

const char* name_of(Victim victim) {
  return victim == Victim::newcomer ? "newcomer" : "other";
}

std::size_t overlapping_losses(const Cell& cell) {
  const bool old_is_missed = !cell.planned && cell.moment != Moment::just_after;
  // The new one stands in the same place as the one that is gone.
  const bool same_place = cell.victim == Victim::newcomer;
  return (old_is_missed && !same_place ? 1U : 0U) + 1U;
}

CellRun play(const Cell& cell, std::uint64_t seed) {
  return Replacement(cell, seed).play();
}

std::vector<Cell> replacement_cells() {
  std::vector<Cell> cells;
  for (const bool planned : {false, true})
    for (const Moment moment : kMoments)
      for (const Victim victim : {Victim::other, Victim::newcomer}) {
        if (moment == Moment::before && victim == Victim::newcomer) continue;
        for (const std::size_t members : kSizes)
          for (std::size_t in_a_row = 1; in_a_row <= members; ++in_a_row)
            cells.push_back({members, (members - 1) / 2, planned, moment, victim, in_a_row});
      }
  return cells;
}

bool write_replacement_table(std::ostream& out, int seeds, int jobs) {
  const std::vector<Cell> cells = replacement_cells();
  std::vector<Tally> tallies(cells.size());
  const std::atomic<bool> never = false;
  in_threads(static_cast<int>(cells.size()), jobs, never, [&](int i) {
    const auto at = static_cast<std::size_t>(i);
    for (int seed = 1; seed <= seeds; ++seed)
      tallies[at].add(play(cells[at], static_cast<std::uint64_t>(seed)));
  });
  bool good = true;
  int runs = 0;
  std::vector<Row> rows;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    if (rows.empty() || rows.back().name != row_name(cells[i])) rows.push_back({row_name(cells[i]), {}});
    rows.back().by_size[cells[i].members].add(tallies[i]);
    runs += tallies[i].runs;
    if (tallies[i].holds(cells[i])) continue;
    good = false;
    out << "not as it must be: " << row_name(cells[i]) << ", " << cells[i].members << " machines, number "
        << cells[i].in_a_row << " in a row: " << tallies[i].text() << "\n";
  }
  write_rows(out, rows);
  out << "\n"
      << runs << " runs, " << seeds << " of each cell, each replacement in a row up to all machines\n";
  return good;
}

}  // namespace woadridge::lab::sim
