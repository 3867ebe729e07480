// Three core machines and one replacement in the members' own code, two operators, and a network, disks and a
// clock that do one step at a time. A state is reached by its choices alone: the same path gives the same
// state, always.
//
// The usual order of steps, which choices leave: what can be done now comes first, messages by connection and
// then writes of disks (or the other way round); when nothing is left, time goes on to what is due next.
// Messages and writes take no time of their own; a connection keeps its order.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lab/platform/model/choice.h"
#include "lab/platform/model/rules.h"
#include "quorum/member.h"

namespace woadridge::lab::model {

using quorum::Micros;

constexpr std::size_t kMembers = 3;
constexpr std::size_t kMachines = kMembers + 1;  // the last one: the replacement

constexpr Micros kHold = 800'000;    // a connection, a disk or a process that stands still
constexpr Micros kSoon = 50'000;     // until a machine is back
constexpr Micros kLong = 3'000'000;  // ... that stays away, or of a cut

using Disks = std::array<quorum::Rows, kMembers>;

struct Given {  // a choice that all paths of a search have in common
  Micros at = 0;
  Choice choice;
};

struct Situation {  // what a search begins with
  std::string name;
  std::optional<Disks> disks;  // of a group that was founded; none: the machines start for the first time
  std::vector<Given> given;    // in the order of time
  std::size_t first_at = 0;    // the first operator's machine; it tries the next ones until it is told
  bool disks_first = false;    // of what can be done now
  Micros puts_at = 800'000;    // the first operator, since the start of the machines
  Micros from = 800'000;       // choices are made from then on ...
  Micros window = 20'000;      // ... for so long
  Micros after = 4'000'000;    // after the last one the usual order goes on for so long, with reads
};

class System {
 public:
  explicit System(const Situation& situation);
  System(const System&) = delete;
  System& operator=(const System&) = delete;

  std::uint32_t steps() const { return steps_; }
  Micros now() const { return now_; }
  bool open() const { return now_ >= situation_.from && now_ < situation_.from + situation_.window; }
  bool over() const;
  bool step();                          // the usual one; false: a timer that did nothing
  bool apply(const Choice& choice);     // false: it isn't possible here
  std::vector<Choice> choices() const;  // that may make a difference before the next step
  std::uint64_t fingerprint() const;    // two states with the same one go on in the same way
  std::string text() const;             // of the next step
  const Judge& judge() const { return judge_; }
  std::uint64_t epoch() const;         // the latest one of the list that a member goes by
  std::optional<Disks> disks() const;  // once all vote, are links and nothing is on its way
  bool settled() const;  // all members vote, one holds the duty: for the checks of the model itself

 private:
  enum class Do { message, write, tick, start, stop, given, put, read, wait, nothing };
  struct Next {
    Do what = Do::nothing;
    Micros at = 0;
    std::size_t from = 0, to = 0;  // to: the machine that it is done at
  };
  struct Line {                                                      // from one machine to another
    std::deque<std::pair<std::uint64_t, quorum::Message>> messages;  // with a hash of their bytes
    Micros held_until = 0;
    bool after = false;
  };
  struct Machine {
    std::string ip;
    std::optional<quorum::Member> member;
    quorum::Rows disk;
    std::deque<std::pair<std::uint64_t, quorum::Rows>> writes;
    std::uint64_t life = 0;
    std::uint64_t history = 0;  // hash of all that this life was told, and of the disk that it began with
    Micros start_at = -1, stop_at = -1, ticked = -1;
    Micros frozen_until = 0, disk_held_until = 0, deaf_until = 0, mute_until = 0;
    bool disk_after = false, bootstrap = true, gone = false;
    bool untold = false;  // lost its disk, and hasn't been told what it held
    bool lost = false;    // lost its disk, and is no link of the chain again
    std::set<std::string> told_by;
    std::uint64_t version = 0;
  };
  struct Call {
    bool puts = false, first = false;
    chain::Mark mark;
    std::uint64_t acknowledged_before = 0;
  };

  Line& line(std::size_t from, std::size_t to) { return lines_[from * kMachines + to]; }
  const Line& line(std::size_t from, std::size_t to) const { return lines_[from * kMachines + to]; }
  bool message_ready(std::size_t from, std::size_t to, bool after) const;
  bool write_ready(std::size_t n, bool after) const;
  std::optional<Next> ready_message(bool after) const;
  std::optional<Next> ready_write(bool after) const;
  std::optional<Next> ready(bool after) const;
  std::size_t count_ready() const;
  Next next() const;
  void deliver(std::size_t from, std::size_t to);
  void write(std::size_t n);
  void start(std::size_t n);
  void stop(std::size_t n, Micros back_after);
  void lose_disk(std::size_t n);
  void replace(std::size_t n);
  std::size_t after(std::size_t machine) const;  // the next one that operators know of
  void put(std::size_t n, std::uint64_t version, const std::string& content, bool first);
  void read(std::size_t n);
  void take(std::size_t n);
  void post(std::size_t from, const std::string& to, quorum::Message message);
  void ended(std::size_t n, const quorum::Finished& finished);
  void note(std::size_t n, std::uint64_t what, std::uint64_t detail);
  void check_holders();

  Situation situation_;
  std::array<Machine, kMachines> machines_;
  std::array<Line, kMachines * kMachines> lines_;
  std::map<std::pair<std::size_t, std::uint64_t>, Call> calls_;  // by machine and ticket
  Judge judge_;
  Micros now_ = 0;
  std::uint32_t steps_ = 0;
  std::uint64_t operators_ = 0;  // hash of what they asked and were told
  Micros put_at_ = 0, read_at_ = 0;
  std::size_t put_machine_ = 0, read_machine_ = 0;
  std::size_t given_ = 0;  // that were made
  bool first_done_ = false, did_something_ = false;
  Micros last_choice_ = 0;
};

}  // namespace woadridge::lab::model
