// What this proxy holds of the platform, and which proxy sends to each instance by it: its home. No I/O and
// no clock: times come in.
#pragma once

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

class HomeView {
 public:
  explicit HomeView(std::string own) : own_(std::move(own)), history_(own_) {}

  ViewChange told(const common::News& news);
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
  Micros usable_from(const std::string& instance) const;  ///< one that another home has sent to settles first

  const HomeEntry* history(const std::string& instance) const { return history_.find(instance); }
  HomeChanges take_changes() { return history_.take_changes(); }

 private:
  const common::Peer* owner(Micros now, const common::Instance& instance);  // null: this proxy
  HomeReason reason_for(Micros now, const common::Instance& instance, const std::string& home);
  Micros settle_after(Micros now, const std::string& before) const;
  void forget(const std::string& instance, ViewChange& change);

  std::string own_;
  common::Board board_;
  bool leaving_ = false;
  std::unordered_map<std::string, std::map<std::string, common::Instance>> instances_;  // by function
  std::unordered_map<std::string, std::string> function_of_;                            // by instance
  std::unordered_map<std::string, std::size_t> peer_at_;
  std::map<std::string, std::vector<std::size_t>> draws_;  // as they come; forgotten when the peers change
  std::map<std::string, Micros> down_until_;               // peers that could not be reached
  HomeHistory history_;
};

}  // namespace woadridge::proxy
