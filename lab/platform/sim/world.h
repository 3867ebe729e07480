// The core machines' own code on a simulated network with simulated disks and clocks, and the rules that hold
// after every step. Nothing here sleeps or opens a socket.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/platform/sim/dice.h"
#include "lab/platform/sim/orders.h"
#include "lab/platform/sim/schedule.h"
#include "quorum/member.h"

namespace woadridge::lab::sim {

enum class Rule {
  kept,         // nothing acknowledged is lost
  newest,       // none older comes into force
  valid,        // none that nobody sent, no two of one version
  one_content,  // of a number; an order sent again gets the same answer
  one_holder,   // of the duty
  terms_grow,
  disk_counts,  // who lost its disk votes only once it was told what the disk held
  one_list,     // of members, in each epoch
  old_plan,     // a holder acts only on what is in force, or newer than all acknowledged before its term
  agents_keep,  // nothing older than they had, nor of a term that is over
  // In calm times.
  acknowledged,    // a change, in time
  agents_current,  // each agent has what is in force, in time
  held,            // the duty, again in time
  whole,           // everybody, in time
};
constexpr int kRules = static_cast<int>(Rule::whole) + 1;

constexpr double kMostDrift = 0.02;  // to either side, so clocks run apart by four in a hundred
constexpr Micros kForever = 1'000'000'000'000;

struct Broken {
  Rule rule = Rule::kept;
  std::string what;
};

class World {
 public:
  static constexpr std::size_t kMostNodes = 64;  // of one run, those that came for others too
  World(std::size_t members, std::uint64_t seed, Lines lines = {}, std::size_t losses = 0);

  struct Node {
    std::string ip;
    std::size_t place = 0;  // for which it came: its zone goes by it
    std::optional<quorum::Member> member;
    quorum::Rows disk;
    std::vector<std::pair<std::uint64_t, quorum::Rows>> writing;
    std::size_t in_write = 0;  // of them, the first so many
    std::uint64_t life = 0;    // of the process
    std::uint64_t wake = 0;
    bool bootstrap = true, frozen = false, ending = false;
    bool gone = false;                                                        // for good
    Micros slow_until = 0, stalled_until = 0, full_until = 0, bad_until = 0;  // the disk
    double rate = 1;  // of the clock, that showed clock_from at clock_since
    Micros clock_since = 0, clock_from = 0;
    std::vector<std::string> seeds;
    std::vector<std::function<void()>> held_back;  // while it is frozen
    bool wiped = false;                            // and not taken in again
    bool untold = false;                           // and not told what the registers hold
    std::set<std::string> told_by;
    bool acts = false;  // on the duty
    std::uint64_t version = 0;
    std::uint64_t held_term = 0, acknowledged_before_term = 0;  // acknowledged when the term was first held
    Dice dice{0};
  };
  std::vector<Node> nodes;
  Micros now = 1'000'000;
  std::function<bool(const std::string& from, const std::string& to, const quorum::Message& message)>
      lets;  // false: it is lost
  std::function<std::optional<Micros>(const std::string& from, const std::string& to,
                                      const quorum::Message& message)>
      delay;

  std::size_t value_bytes = 0;  // that each configuration has beyond its usual size
  double bytes_per_s = 0;       // of each link, one way; 0: without a bound
  std::uint64_t crash_at_write =
      0;  // of all machines' writes, counted: its machine loses power in the middle

  void pass(Micros span);
  bool apply(const Entry& entry);    // false: it isn't possible now, or more would be lost than must be borne
  void trouble() { calm_ = false; }  // from now on envelopes are lost and late
  void calm();                       // from now on: everything comes back, and no envelope is lost or late
  std::string lacking() const;       // for everybody to be whole; empty: nothing
  /// Each machine that is not gone for good, a line each: for whoever looks for the cause of a broken rule.
  std::vector<std::string> described() const;
  const std::vector<std::string>& notes() const { return notes_; }  // of the members, the latest ones

  void start(std::size_t n);
  void stop(std::size_t n, bool power = true);  // what was not synced may be gone
  void wipe(std::size_t n);
  void break_connections(std::size_t n);  // what is on its way to it or from it is lost
  void leave(std::size_t n);
  void put(std::size_t n, std::uint64_t version);
  void put(std::size_t n, std::uint64_t version, std::function<void(bool good)> then);
  void resend(std::size_t n, std::uint64_t draw, std::function<void(bool good)> then);  // an earlier order
  // Of those bytes; the answer, judged already.
  void order(std::size_t n, const std::string& bytes, std::function<void(const quorum::Finished&)> then);
  void read(std::size_t n);
  void read(std::size_t n, std::function<void(bool good)> then);
  // Of the view's register.
  void change(std::size_t n, quorum::Change change, std::function<void(bool good)> then);
  bool taken_in(const Node& node) const;
  void at(Micros when, std::function<void()> run);
  // In that life of the process, or never; when it is frozen, after it wakes.
  void to_node(std::size_t n, std::uint64_t life, std::function<void()> run);
  const std::vector<std::size_t>& places() const { return places_; }  // the node that stands at each now
  // The machine at that place goes for good and an empty one comes at another address; planned: that one
  // first, then the old one is told to end.
  std::size_t replace(std::size_t place, bool planned, Micros after);
  // An empty machine that nobody knows of, started; in the zone of that place, if one is given.
  std::size_t add(std::optional<std::size_t> place = {});

  const Orders& orders() const { return orders_; }
  const std::optional<Broken>& fault() const { return broken_; }
  std::string broken() const { return broken_ ? broken_->what : std::string(); }
  void fail(Rule rule, const std::string& what);
  std::optional<std::size_t> holder() const;
  Micros local(std::size_t n) const;
  std::uint64_t acknowledged() const { return acknowledged_; }  // the highest version
  std::uint64_t highest_sent() const { return highest_sent_; }
  std::size_t changes_good() const { return good_; }
  std::uint64_t views() const { return views_; }
  std::uint64_t terms() const { return last_term_; }
  std::uint64_t writes() const { return writes_; }
  std::uint64_t epoch() const { return lists_.empty() ? 0 : lists_.rbegin()->first; }
  std::uint64_t digest() const { return digest_; }  // of all that has happened, in its order

 private:
  struct Event {
    Micros at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& e) const { return at != e.at ? at > e.at : order > e.order; }
  };

  void take(std::size_t n);
  void note(std::size_t n, const std::string& what);
  void post(std::size_t from, const std::string& to, quorum::Message message);
  void write(std::size_t n, std::uint64_t token, quorum::Rows rows);
  void write_next(std::size_t n);
  void written(std::size_t n, std::uint64_t life);
  void arm(std::size_t n);
  void set_rate(std::size_t n, double rate);
  void check_holders();
  void value_seen(const quorum::Bytes& value);
  bool out_of_service(const Node& node) const;
  std::size_t disks_lost() const;
  bool stands(std::size_t n) const;
  bool may_lose_its_disk(std::size_t n) const;
  bool is_borne_without(std::size_t n) const;
  std::vector<std::string> any_seeds(Dice& dice) const;
  void start_later(std::size_t n, Micros after);
  void end_for_good(std::size_t old, std::size_t place);
  void go(std::size_t n);
  void freeze(std::size_t n, Micros span);
  void cut(std::uint32_t from, std::uint32_t to, Micros span);
  void strike(const Entry& entry);
  std::size_t index(const std::string& ip) const { return by_ip_.at(ip); }
  bool taken_in_with_its_disk(const Node& node) const;
  bool misses_its_disk(const Node& node) const;
  Micros& cut_until(std::size_t from, std::size_t to) { return cut_until_[from * kMostNodes + to]; }

  std::uint64_t seed_;
  Lines lines_;
  std::size_t losses_;
  std::vector<Event> events_;  // a heap
  std::uint64_t order_ = 0, digest_ = 0;
  std::unordered_map<std::string, std::size_t> by_ip_;
  std::vector<Dice> ways_;  // from each to each
  std::vector<Micros> cut_until_;
  std::vector<std::size_t> places_;        // the node at each
  std::vector<Micros> link_free_at_;       // of a thin link
  std::vector<std::uint64_t> connection_;  // its number, from each to each
  std::map<std::uint64_t, std::function<void(const quorum::Finished&)>> waiting_;
  std::map<std::uint64_t, std::uint64_t> by_version_;  // a digest
  Orders orders_;
  std::map<std::uint64_t, quorum::List> lists_;  // by epoch
  std::uint64_t acknowledged_ = 0, highest_sent_ = 0, last_term_ = 0, views_ = 0, puts_ = 0, writes_ = 0;
  std::size_t good_ = 0;
  std::optional<Entry> after_ack_;
  bool calm_ = true;
  std::vector<std::string> notes_;
  std::optional<Broken> broken_;
};

std::string configuration(std::uint64_t version, std::uint64_t salt);
std::uint64_t version_in(const std::string& value);

}  // namespace woadridge::lab::sim
