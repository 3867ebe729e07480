// What the platform's processes say to one another: plain structures, written by cereal in frames (frames.h).
// A field that is added goes to the end, with a class version: processes of two releases meet in a roll-out.
#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace woadridge::common {

using Version = std::uint64_t;

struct Route {
  std::string name, host, prefix, service;
  bool repeatable = false;  // kind: idempotent
  std::uint32_t deadline_ms = 0, target_ms = 0, priority = 0, max_tries = 1;
  bool operator==(const Route&) const = default;
  template <class A>
  void serialize(A& a) {
    a(name, host, prefix, service, repeatable, deadline_ms, target_ms, priority, max_tries);
  }
};

struct Service {
  std::string name, health_path;  // empty: none
  std::uint32_t max_conns = 0, memory_mb = 0, startup_ms = 0, concurrency = 1;
  bool operator==(const Service&) const = default;
  template <class A>
  void serialize(A& a) {
    a(name, health_path, max_conns, memory_mb, startup_ms, concurrency);
  }
};

struct Limits {
  std::uint32_t max_header_bytes = 16384, max_body_bytes = 262144;
  std::uint32_t header_timeout_ms = 3000, idle_timeout_ms = 15000;
  bool operator==(const Limits&) const = default;
  template <class A>
  void serialize(A& a) {
    a(max_header_bytes, max_body_bytes, header_timeout_ms, idle_timeout_ms);
  }
};

struct Plan {  // a whole configuration of the operator's, as the proxies act on it; version 0: none yet
  Version version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  Limits limits;
  bool operator==(const Plan&) const = default;
  template <class A>
  void serialize(A& a) {
    a(version, routes, services, limits);
  }
};

enum class Condition : std::uint8_t { starting, ready, draining };

struct Instance {  // a worker of the platform's, in one life
  std::string id, service, address, zone, machine;
  std::uint32_t capacity = 1;
  Condition condition = Condition::starting;
  std::uint32_t up_in_ms = 0;  // starting: the mean time that it has left, when this was told
  // The proxy that sends to it; empty: this holder hasn't named one yet, and one that was named before stays.
  std::string home;
  // The proxy that sent to it before and hasn't said that it has stopped: the home sends nothing until then.
  std::string waits_for{};
  bool operator==(const Instance&) const = default;
  template <class A>
  void serialize(A& a) {
    a(id, service, address, zone, machine, capacity, condition, up_in_ms, home, waits_for);
  }
};

struct Peer {  // a proxy that takes requests for the functions whose home it is
  std::string name, zone, address;
  bool operator==(const Peer&) const = default;
  template <class A>
  void serialize(A& a) {
    a(name, zone, address);
  }
};

struct News {  // what has changed since the versions that were named; whole: replaces what was held
  std::uint64_t term = 0;  // of the holder that tells; boards of two terms don't compare
  Version board = 0;       // of the board after these changes
  bool whole = false;
  bool peers_told = false;
  std::vector<Peer> peers;  // all of them, if told
  std::vector<Instance> changed;
  std::vector<std::string> gone;  // ids
  bool plan_told = false;
  Plan plan;
  Version plan_from = 0;  // 0: `plan` is whole; else what has changed since that version, and what is no more
  std::vector<std::string> routes_gone, services_gone;  // by name
  std::vector<std::uint8_t> buckets;  // of another term, not whole: the instances of these are replaced
  std::uint64_t holder_term = 0;      // of the duty under which this is told
  // The highest version of a configuration that the teller has heard of, and whether a holder has made sure
  // at a majority that there is none above. Who holds a lower one has no word of its being the newest.
  Version newest_plan = 0;
  bool plan_confirmed = false;
  std::vector<std::string> core;  // where agents ask, at each member of the core; empty: as told before
  template <class A>
  void serialize(A& a) {
    a(term, board, whole, peers_told, peers, changed, gone, plan_told, plan, plan_from, routes_gone,
      services_gone, buckets, holder_term, newest_plan, plan_confirmed, core);
  }
};

struct Demand {  // of one function at one proxy, since its last report
  std::string service;
  std::uint32_t arrivals = 0;   // requests taken as the home, first tries
  std::uint32_t ended = 0;      // answers of instances
  std::uint32_t refused = 0;    // for want of room
  std::uint32_t busy = 0;       // slots in use now
  std::uint32_t most_busy = 0;  // the most at once since the last report, held ones with them
  std::uint32_t held = 0;       // waiting for a slot now
  std::uint64_t work_us = 0;    // time that the answers took at their instances, summed
  template <class A>
  void serialize(A& a) {
    a(service, arrivals, ended, refused, busy, most_busy, held, work_us);
  }
};

struct Report {                      // a proxy's word, through its agent, to the holder
  std::vector<Demand> demand;        // of functions with any
  std::vector<std::string> reached;  // instances told as starting that have taken a connection
  std::vector<std::string> lost;     // instances that refuse connections though they had taken some
  bool leaving = false;              // told to end: no home from now on
  std::vector<std::string>
      released{};  // instances with another home by now, to which nothing is sent any more
  template <class A>
  void serialize(A& a) {
    a(demand, reached, lost, leaving, released);
  }
};

struct Ask {  // of an agent: answered by News when there is some, or empty News after a while
  std::string name, zone, proxy;  // the node, and where its proxy takes what peers send on; empty: it's down
  std::uint64_t term = 0;
  Version board = 0, plan = 0;    // that are held
  std::uint32_t calls_per_s = 0;  // that its machine bears as the home of one function; 0: not told
  // On a new link, which may be to a new holder: the instances whose home it was told to be, by id, and a sum
  // of each bucket of instances that it holds, so that only those which differ are told again.
  std::vector<std::string> owned;
  std::vector<std::uint64_t> sums;
  // The highest that this agent or its proxy was ever told: above what is held after a restart.
  std::uint64_t seen_term = 0;
  Version seen_plan = 0;
  std::uint32_t peers = 0;  // proxies on the board that it holds
  template <class A>
  void serialize(A& a) {
    a(name, zone, proxy, term, board, plan, calls_per_s, owned, sums, seen_term, seen_plan, peers);
  }
};

struct Elsewhere {                // asked one that doesn't hold the duty
  std::string holder;             // its internal address; empty: not known now
  std::uint64_t term = 0;         // of the duty that the one asked knows of
  std::vector<std::string> core;  // as in News
  bool operator==(const Elsewhere&) const = default;
  template <class A>
  void serialize(A& a) {
    a(holder, term, core);
  }
};

using AgentSays = std::variant<Ask, Report>;     // to the core
using CoreSays = std::variant<News, Elsewhere>;  // to an agent
using ProxySays = std::variant<Ask, Report>;     // to its agent over loopback: Ask once, with what it holds
using FeedSays = std::variant<News>;             // the agent to its proxy

inline constexpr std::size_t kBuckets = 128;
std::size_t bucket_of(const std::string& id);
std::uint64_t sum_of(
    const Instance& instance);  // of all that counts for long: not the time that a start has left
// What turns one plan into the other, as part of news.
void put_change(News& news, const Plan& from, const Plan& to);

// What an agent and a proxy hold of the platform, kept by News.
class Board {
 public:
  // An instance whose home a new holder hasn't named keeps the one that it had.
  bool apply(const News& news);  // false: no word on peers and instances was taken
  // A newer plan is told as the difference from one that isn't held: all of it must be asked for.
  bool lacks_base_of(const News& news) const;
  News whole() const;  // as told to one that holds nothing
  std::vector<std::uint64_t> sums() const;
  std::uint64_t term = 0;
  Version version = 0;
  std::vector<Peer> peers;
  std::map<std::string, Instance> instances;  // by id
  Plan plan;

 private:
  void take_instances(const News& news);
};

}  // namespace woadridge::common
