// The stand-ins on a thread of their own, and what others may ask of them.
#pragma once

#include <future>
#include <thread>

#include "lab/platform/provider.h"

namespace woadridge::lab::platform {

class Stage {
 public:
  Stage(Endpoint endpoint, ProviderOptions options, const nlohmann::json& configuration);
  ~Stage();

  struct Look {
    Tally tally;
    Deeds deeds;
    std::size_t alive = 0;
  };
  Look look();
  /// A machine of the provider takes no more starts; the instances that are to end.
  std::vector<std::string> drain(const std::string& machine);
  /// What strikes a share of the instances; those that were hit.
  std::vector<std::string> strike(InstanceTrouble trouble, double share, Micros lasts, std::uint64_t lot);
  void strike_provider(ProviderTrouble trouble, Micros lasts);
  /// The operator's configuration has changed: services and their figures.
  void functions(const nlohmann::json& configuration);

 private:
  boost::asio::io_context io_{1};
  net::Strand strand_{io_.get_executor()};
  Provider provider_;
  std::thread thread_;
};

}  // namespace woadridge::lab::platform
