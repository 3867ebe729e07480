// Who is there: failure detection in the manner of SWIM (Das, Gupta, Motivala 2002) with Lifeguard's
// refinement for a member that is itself slow (Dadgar, Phillips, Currey 2017). No I/O, no clock: frames and
// times come in, frames go out. docs/design/group.md.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "group/out.h"

namespace woadridge::group {

enum class Link { direct, indirect, none };  // how this member reaches the other one

struct Member {
  std::string address, zone, machine;
  std::uint64_t incarnation = 0;
  std::uint64_t run = 0;
  wire::State state = wire::ALIVE;
  Micros since = 0;  // in this state
  Link link = Link::direct;
  bool slow = false;  // its last answer came late, but came
  Micros answer = 0;  // the last answer took so long
  Micros suspect_until = 0;
  std::set<std::string> suspected_by;
};

struct Change {
  std::string name;
  wire::State to = wire::ALIVE;
  std::string why;
};

class Membership {
 public:
  static constexpr std::size_t kMostMembers = 1'000;  // some 300 bytes each; the design page has the bound
  static constexpr std::size_t kMostRumours = 8;      // in a frame

  Membership(const Options& options, std::uint64_t run, std::uint64_t incarnation, std::uint64_t seed);

  void start(Micros now, Out& out);
  void receive(const wire::Frame& frame, Micros now, Out& out);
  void tick(Micros now, Out& out);
  void leave(Micros now, Out& out);  // tells some at once; the rest hear of it from them
  Micros wake() const { return std::min(period_end_, std::min(ask_others_at_, next_whole_)); }

  const std::map<std::string, Member>& members() const { return members_; }  // without this one
  std::optional<std::string> address_of(const std::string& name) const;
  bool is_there(const std::string& name) const;  // alive or only suspected
  std::size_t alive() const;                     // with this one
  std::uint64_t incarnation() const { return incarnation_; }
  int health() const { return health_; }         // 0: well; up to 8: so much later are others judged
  bool displaced() const { return displaced_; }  // a later process has this member's name
  std::vector<Change> take_changes() { return std::exchange(changes_, {}); }
  std::uint64_t misdirected() const { return misdirected_; }

 private:
  struct Relay {  // asked in another member's place
    std::string asker;
    std::uint64_t number = 0;
    Micros until = 0;
  };

  void send(const std::string& name, const std::string& address, wire::Frame frame, Out& out);
  wire::Rumour rumour_of(const std::string& name) const;
  wire::Rumour own_rumour() const;
  void add_rumours(const std::string& to, wire::Frame& frame);
  void spread(const std::string& name);
  void hear(const wire::Rumour& rumour, Micros now);
  void hear_of_self(const wire::Rumour& rumour, Micros now);
  void set_state(const std::string& name, Member& member, wire::State state, Micros now, std::string why);
  void suspect(const std::string& name, std::uint64_t incarnation, const std::string& by, Micros now);
  void confirm(Member& member, const std::string& by);
  void acked(const wire::Frame& frame, const wire::Ack& ack, Micros now, Out& out);
  void begin_period(Micros now, Out& out);
  void end_period(Micros now);
  void ask_others(Micros now, Out& out);
  void tell_whole(const std::string& name, const std::string& address, bool answer, Out& out);
  void reach_out(Micros now, Out& out);
  void forget_old(Micros now);
  std::string next_probed();
  std::vector<std::string> some(std::size_t most, const std::string& but);
  Micros scaled(Micros time) const { return time * (health_ + 1); }
  void worse(int by) { health_ = std::clamp(health_ + by, 0, 8); }

  const Options& options_;
  const std::uint64_t run_;
  std::uint64_t incarnation_;
  std::minstd_rand chance_;
  std::map<std::string, Member> members_;
  std::map<std::string, int> to_spread_;  // name: how often it was told
  std::deque<std::string> order_;         // whom to probe next
  std::map<std::uint64_t, Relay> relays_;
  std::uint64_t numbers_ = 0;
  std::string probed_;  // empty: nobody in this period
  std::uint64_t probe_number_ = 0;
  bool acked_ = false;
  int helpers_ = 0, helpers_not_heard_ = 0;
  Micros probed_at_ = 0, period_end_ = 0, ask_others_at_ = INT64_MAX, next_whole_ = 0;
  int health_ = 0;
  int contests_ = 0;
  Micros contested_ = 0;
  bool displaced_ = false;
  bool left_ = false;
  std::vector<Change> changes_;
  std::uint64_t misdirected_ = 0;
};

const char* name_of(wire::State state);

}  // namespace woadridge::group
