// The operator of a soak: a configuration with many functions, changed again and again on a thread of its
// own.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "lab/platform/ask.h"
#include "lab/platform/soak/clients.h"
#include "lab/platform/soak/observations.h"

namespace woadridge::lab::platform::soak {

class OperatorDesk {
 public:
  /// Routes whose versions show: those that were added, dropped or moved last.
  using OnRoutes = std::function<void(std::vector<std::string> prefixes)>;

  OperatorDesk(std::uint64_t seed, int functions, std::vector<Endpoint> core, const std::atomic<bool>& stop);
  ~OperatorDesk();

  const nlohmann::json& configuration() const { return configuration_; }
  /// Services whose requests take seconds, as bookkeeping at the end of an order does.
  std::map<std::string, Micros> slow_services() const;
  std::vector<ClientRoute> routes() const;  ///< of the functions, which no change touches
  static constexpr int kMaxTries = 2;
  static const char* host() { return "soak.example"; }

  bool found(Millis limit);  ///< the first configuration
  void start(std::vector<Change> changes, OnRoutes on_routes);
  std::vector<SentVersion> stop();              ///< what was sent
  std::uint64_t read_back(Millis limit) const;  ///< the version in force; 0: none came

 private:
  void work(const std::vector<Change>& changes, const OnRoutes& on_routes);
  void send(const Change& change, const OnRoutes& on_routes);
  bool apply(const Change& change);
  void put(int first_core, bool valid, const std::string& text, Millis limit);
  std::string service_at(std::size_t number) const;
  nlohmann::json route(const std::string& prefix, const std::string& service, const ClientRoute& kind) const;
  std::vector<std::string> shown() const;

  std::mt19937_64 random_;
  int functions_;
  std::vector<Endpoint> core_;
  const std::atomic<bool>& stop_;
  std::atomic<bool> ended_ = false;
  net::Clock clock_;
  nlohmann::json configuration_;
  std::vector<std::string> added_, dropped_, moving_;
  std::vector<SentVersion> sent_;
  std::thread thread_;
};

}  // namespace woadridge::lab::platform::soak
