// Members on a simulated network with simulated disks and clocks, under seeded trouble, and the rules that
// hold after every step. Nothing here sleeps or opens a socket.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "vise/member.h"

namespace woadridge::vise {

struct Trouble {  // how often, relative to one another
  int kill = 3, power = 3, wipe = 3, freeze = 3, cut = 3, half_cut = 2, slow_disk = 2, bad_disk = 2, end = 2,
      herd = 1, split = 1;
  Micros least_pause = 300'000, most_pause = 2'500'000;
  double lost = 0.01, late = 0.03, very_late = 0.004;  // of letters
};

class World {
 public:
  World(std::size_t members, std::uint64_t seed, Trouble trouble = {});

  bool run(Micros span, bool trouble);  // false: a rule is broken
  bool calm();  // everything comes back: a change, a read and a holder must be had in time
  const std::string& broken() const { return broken_; }

  // For tests that play one scene.
  struct Node {
    std::string ip;
    std::optional<Member> member;
    Rows disk;
    std::vector<std::pair<std::uint64_t, Rows>> writing;
    std::size_t in_write = 0;  // of them, the first so many
    std::uint64_t life = 0;    // of the process
    std::uint64_t wake = 0;
    bool bootstrap = true, frozen = false, slow_disk = false, stalled_disk = false, bad_disk = false,
         full_disk = false, ending = false;
    double drift = 1;
    std::vector<std::function<void()>> held_back;  // while it is frozen
    bool wiped = false;                            // and hasn't been taken into the chain yet
    bool untold = false;                           // and hasn't been told the registers yet
    std::set<std::string> told_by;
    bool acts = false;  // on the duty
    std::uint64_t version = 0;
    bool lost() const { return !member || frozen || slow_disk || bad_disk || wiped || ending; }
  };
  std::vector<Node> nodes;
  Micros now = 1'000'000;
  std::function<bool(const std::string& from, const std::string& to, const Word& word)>
      lets;  // false: it is lost
  std::function<std::optional<Micros>(const std::string& from, const std::string& to, const Word& word)>
      delay;

  void start(std::size_t n);
  void stop(std::size_t n);  // of power or of the process: what was not synced may be gone
  void wipe(std::size_t n);
  void put(std::size_t n, std::uint64_t version);
  void put(std::size_t n, std::uint64_t version, std::function<void(bool good)> then);
  void read(std::size_t n);
  void change(std::size_t n, Change change, std::function<void(bool good)> then);  // of the view's register
  bool whole(std::size_t n) const;
  void pass(Micros span);
  std::optional<std::size_t> holder() const;
  std::uint64_t acknowledged() const { return acknowledged_; }
  std::size_t changes_good() const { return good_; }
  std::size_t index(const std::string& ip) const;
  void cut(std::size_t a, std::size_t b, bool is_cut) { cut_[{a, b}] = is_cut; }

 private:
  struct Event {
    Micros at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& e) const { return at != e.at ? at > e.at : order > e.order; }
  };

  void at(Micros when, std::function<void()> run);
  void to_node(std::size_t n, std::uint64_t life, std::function<void()> run);
  void take(std::size_t n);
  void post(std::size_t from, const std::string& to, Word word);
  void write(std::size_t n, std::uint64_t token, Rows rows);
  void write_next(std::size_t n);
  void written(std::size_t n, std::uint64_t life);
  void arm(std::size_t n);
  void check();
  void fail(const std::string& what);
  void value_seen(const Bytes& value);
  void trouble();
  void operate();
  Micros local(const Node& node) const { return static_cast<Micros>(static_cast<double>(now) * node.drift); }
  std::uint64_t draw(std::uint64_t most) { return chance_() % most; }
  bool chance(double p) { return static_cast<double>(chance_() >> 11) * 0x1p-53 < p; }

  Trouble trouble_;
  std::mt19937_64 chance_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  std::map<std::pair<std::size_t, std::size_t>, bool> cut_;
  std::map<std::uint64_t, std::function<void(const Finished&)>> waiting_;
  std::map<std::uint64_t, std::string> by_version_;
  std::set<std::string> sent_;
  Machines list_;
  std::uint64_t acknowledged_ = 0, next_version_ = 0, last_term_ = 0;
  std::size_t good_ = 0;
  Micros next_trouble_ = 0, next_call_ = 0;
  bool troubled_ = false;
  std::string broken_;
};

std::string configuration(std::uint64_t version, std::uint64_t salt);  // as the register holds it
std::uint64_t version_in(const std::string& value);

}  // namespace woadridge::vise
