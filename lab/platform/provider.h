// The stand-in for the provider of instances, on one loopback address: lists, starts and stops, and for a
// person's use POST /stand-in/drain {"machine":"w-1"}.
#pragma once

#include <nlohmann/json.hpp>

#include "lab/platform/instances.h"

namespace woadridge::lab::platform {

struct ProviderOptions {
  LedgerOptions ledger;
  std::vector<Machine> machines;
  std::vector<std::string> addresses;       // for instances
  Micros work = 80'000;                     // of a request at an instance
  std::map<std::string, Micros> work_of{};  // services that take another time
  Micros drain = 3'000'000;                 // an instance of a draining machine serves on for so long
  OnArrival on_arrival{};                   // told of each request at an instance, on the provider's strand
};

enum class ProviderTrouble {
  hold_back,  ///< calls are read later
  refuse,     ///< each call gets 503
  gone,       ///< no connection comes up
};

struct Tally {  // of calls
  int reads = 0, begins = 0, stops = 0, too_many = 0, fenced = 0, no_room = 0;
};

class Provider {
 public:
  Provider(net::Strand strand, Endpoint endpoint, ProviderOptions options);

  void open() { door_.open(); }
  void close();
  void functions(const nlohmann::json& configuration);  // the operator's: services and their figures
  /// The machine takes no more starts, its instances end; none: no such machine.
  std::optional<std::vector<std::string>> drain(const std::string& machine);
  /// What strikes a share of the instances; those that were hit.
  std::vector<std::string> strike(InstanceTrouble trouble, double share, Micros lasts, std::uint64_t lot) {
    return instances_.strike(trouble, share, lasts, lot);
  }
  void suffer(ProviderTrouble trouble, Micros lasts);
  const Tally& tally() const { return tally_; }
  const Deeds& deeds() const { return instances_.deeds(); }
  std::size_t alive() const { return ledger_.alive(); }

 private:
  using Json = nlohmann::json;
  void take(const Door::VisitRef& visit);
  void list(const Door::VisitRef& visit);
  void fleet(const Door::VisitRef& visit);
  void begin(const Door::VisitRef& visit, const Json& asked);
  void stop(const Door::VisitRef& visit, const Json& asked);
  void take_drain(const Door::VisitRef& visit, const Json& asked);
  bool turned_away(const Door::VisitRef& visit);  // a start or stop that isn't allowed

  net::Strand strand_;
  net::Clock clock_;
  ProviderOptions options_;
  Ledger ledger_;
  Instances instances_;
  std::map<std::string, std::size_t> most_conns_;  // by service
  Tally tally_;
  Micros refuses_until_ = 0;
  bool closed_ = false;
  Door door_;
};

}  // namespace woadridge::lab::platform
