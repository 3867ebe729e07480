// Which proxies are home to a function's instances: one, by draw, until its requests are more than a machine
// bears; then so many that each has its part. An instance that gets another home waits until the one before
// has said that it has stopped, or is gone: no two proxies send to it at once. No I/O and no clock.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/messages.h"
#include "decide.h"

namespace woadridge::autoscaler {

class Placement {
 public:
  struct Home {
    std::string name;       // empty: not named yet
    std::string waits_for;  // the home before, which may still send; empty: nobody
    bool operator==(const Home&) const = default;
  };
  struct Move {
    std::string instance;
    Home home;
  };

  void begin();  // of a term: nothing is known
  // The least that one of them bears as a home, in calls a second; 0: no bound is known.
  void peers(std::vector<common::Peer> peers, std::uint32_t calls_per_s);
  void present(
      const std::vector<common::Peer>& proxies);  // that are linked: peers, and those that are leaving
  void told(Micros now, const common::Report& report);
  // The instance as the board is to have it.
  void place(Micros now, common::Instance& instance);
  void held(const std::string& id,
            const std::string& home);  // that home sends to it, as an earlier term said
  void released(const std::string& id, const std::string& home);  // that home has stopped
  void gone(const std::string& id);
  // What time, traffic and proxies have changed since: instances to be told anew, with the same id.
  std::vector<Move> moves(Micros now);
  std::size_t homes_of(const std::string& service) const;
  struct Busiest {
    std::string service;
    double rate = 0;  // calls a second
    std::size_t instances = 0, homes = 0;
  };
  Busiest busiest() const;

 private:
  struct Function {
    std::map<std::string, Home> homes;  // of its instances, by id
    double rate = 0;                    // calls a second, fading
    double since_look = 0;
    Micros looked_at = 0, wide_at = 0, moved_at = 0;
    std::size_t wanted = 1;
  };
  void look(Micros now, Function& function);
  std::vector<std::string> wanted_homes(const std::string& service, const Function& function) const;
  static std::string emptiest(const Function& function, const std::vector<std::string>& homes);
  Home* find(const std::string& id);
  bool is_peer(const std::string& name) const { return peer_names_.contains(name); }
  bool is_present(const std::string& name) const { return present_names_.contains(name); }
  void follow_proxies();  // who is gone is no home any more, and nobody waits for it
  void follow_proxies(const std::string& service, Function& function);
  void balance(Micros now, const std::string& service, Function& function);

  std::vector<common::Peer> peers_;    // empty: those of an earlier term may be missing still
  std::vector<common::Peer> present_;  // by name
  std::set<std::string> peer_names_, present_names_;
  bool proxies_changed_ = false;
  std::uint32_t bears_ = 0;
  std::unordered_map<std::string, Function> functions_;
  std::unordered_map<std::string, std::string> service_of_;
  std::unordered_map<std::string, std::string> held_;  // homes of an earlier term, by id
  std::unordered_set<std::string> moved_;              // instances that moves() is to name
};

}  // namespace woadridge::autoscaler
