#include "lab/platform/stage.h"

#include <boost/asio/post.hpp>

namespace woadridge::lab::platform {

Stage::Stage(Endpoint endpoint, ProviderOptions options, const nlohmann::json& configuration)
    : provider_(strand_, std::move(endpoint), std::move(options)) {
  provider_.functions(configuration);
  provider_.open();
  thread_ = std::thread([this] { io_.run(); });
}

Stage::~Stage() {
  boost::asio::post(strand_, [this] {
    provider_.close();
    io_.stop();
  });
  thread_.join();
}

std::vector<std::string> Stage::drain(const std::string& machine) {
  std::promise<std::vector<std::string>> told;
  boost::asio::post(strand_,
                    [&] { told.set_value(provider_.drain(machine).value_or(std::vector<std::string>())); });
  return told.get_future().get();
}

std::vector<std::string> Stage::strike(InstanceTrouble trouble, double share, Micros lasts,
                                       std::uint64_t lot) {
  std::promise<std::vector<std::string>> told;
  boost::asio::post(strand_, [&] { told.set_value(provider_.strike(trouble, share, lasts, lot)); });
  return told.get_future().get();
}

void Stage::strike_provider(ProviderTrouble trouble, Micros lasts) {
  boost::asio::post(strand_, [this, trouble, lasts] { provider_.suffer(trouble, lasts); });
}

void Stage::functions(const nlohmann::json& configuration) {
  std::promise<void> done;
  boost::asio::post(strand_, [&] {
    provider_.functions(configuration);
    done.set_value();
  });
  done.get_future().wait();
}

Stage::Look Stage::look() {
  std::promise<Look> told;
  boost::asio::post(strand_, [&] {
    told.set_value({provider_.tally(), provider_.deeds(), provider_.alive()});
  });
  return told.get_future().get();
}

}  // namespace woadridge::lab::platform
