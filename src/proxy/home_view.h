// What this proxy holds of the platform, and which proxy sends to each instance by it: its home. No I/O and
// no clock: times come in.
#pragma once

#include <limits>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/messages.h"
#include "proxy/home_history.h"

namespace woadridge::proxy {

/// The instances of a function that one proxy is home to.
struct HomeGroup {
  const common::Peer* peer = nullptr;  ///< null: this proxy
  double up = 0, starting = 0;         ///< slots
};

/// What a piece of news has changed.
struct ViewChange {
  bool taken = false;  ///< false: no word on proxies and instances was taken
  bool plan = false, peers = false;
  std::set<std::string> functions;  ///< whose instances have changed
  std::vector<std::string> gone;    ///< instances
};

/// Nothing may be sent to an instance, whatever the time.
inline constexpr Micros kNever = std::numeric_limits<Micros>::max();

class HomeView {
 public:
  /// `longest_hand_over`: an instance is used after so long though the home before it hasn't said that it has
  /// stopped. It is out of touch by then, or the word of it is lost.
  HomeView(std::string own, Micros longest_hand_over)
      : own_(std::move(own)), longest_hand_over_(longest_hand_over), history_(own_) {}

  ViewChange told(Micros now, const common::News& news);
  void leave() { leaving_ = true; }  ///< told to end: no home from now on
  void down(const std::string& peer, Micros until) { down_until_[peer] = until; }

  const common::Board& board() const { return board_; }
  bool leaving() const { return leaving_; }
  bool is_down(Micros now, const std::string& peer) const;
  const common::Peer* peer(const std::string& name) const;  ///< null: not on the board
  const std::string& function_of(const std::string& instance) const;
  std::vector<std::string> functions() const;  ///< that have instances

  const common::Peer* by_draw(Micros now, const std::string& function);  ///< null: this proxy
  std::vector<HomeGroup> groups(Micros now, const std::string& function);
  bool is_home(Micros now, const std::string& function);
  /// The instances that this proxy is home to, with their homes noted.
  std::vector<common::Instance> own(Micros now, const std::string& function);
  Micros usable_from(const std::string& instance) const;  ///< for this proxy as its home; kNever: not yet
  /// Instances whose next home waits for this proxy's word, and since when.
  const std::map<std::string, Micros>& to_release() const { return to_release_; }
  void released(const std::string& instance) { to_release_.erase(instance); }

  const HomeEntry* history(const std::string& instance) const { return history_.find(instance); }
  HomeChanges take_changes() { return history_.take_changes(); }

 private:
  const common::Peer* owner(Micros now, const common::Instance& instance);  // null: this proxy
  HomeReason reason_for(Micros now, const common::Instance& instance, const std::string& home);
  void ask_for_releases(Micros now);
  void note(Micros now, const common::Instance& instance, bool first_board);
  Micros usable_at(Micros now, const common::Instance& instance, bool first_board) const;
  Micros settle_after(Micros now, const std::string& before) const;
  void forget(const std::string& instance, ViewChange& change);

  std::string own_;
  Micros longest_hand_over_;
  common::Board board_;
  bool leaving_ = false;
  std::unordered_map<std::string, std::map<std::string, common::Instance>> instances_;  // by function
  std::unordered_map<std::string, std::string> function_of_;                            // by instance
  std::unordered_map<std::string, std::size_t> peer_at_;
  std::map<std::string, std::vector<std::size_t>> draws_;  // as they come; forgotten when the peers change
  std::map<std::string, Micros> down_until_;               // peers that could not be reached
  HomeHistory history_;
  std::map<std::string, Micros> to_release_;
};

}  // namespace woadridge::proxy
