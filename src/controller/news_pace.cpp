#include "controller/news_pace.h"

#include <algorithm>

#include "common/homes.h"

namespace woadridge::controller {
namespace {

constexpr double kMeasuredAt = 0.6;  // of a core; what has less tells less often
constexpr double kLeastProcessor = 0.05;
constexpr Micros kLongestPause = 1'000'000;  // a change is to be in force everywhere within seconds
constexpr Micros kPerAgent = 500;            // so that all agents together get 2,000 pieces of news a second
constexpr Micros kGatherPerAgent = 20;  // reports a second grow by the agents, and a step's cost does, too
constexpr Micros kGatherLeast = 1'000;  // below, gathering costs more than it spares

}  // namespace

NewsPace::NewsPace(Micros least, double processor)
    : least_(least), slowness_(std::max(1.0, kMeasuredAt / std::max(kLeastProcessor, processor))) {}

void NewsPace::begin() {
  peers_.clear();
  draws_.clear();
  concerned_since_.clear();
}

void NewsPace::peers(const std::vector<common::Peer>& peers) {
  peers_ = peers;
  draws_.clear();
  std::erase_if(concerned_since_, [&](const auto& entry) {
    return std::none_of(peers_.begin(), peers_.end(), [&](auto& peer) { return peer.name == entry.first; });
  });
}

void NewsPace::changed(const common::Instance& instance, common::Version version) {
  const auto& home = home_of(instance);
  if (!home.empty()) concerned_since_[home] = version;
}

Micros NewsPace::pause(std::size_t agents, const std::string& agent, common::Version held) const {
  const auto concerned = concerned_since_.find(agent);
  if (concerned != concerned_since_.end() && concerned->second > held) return least_;
  const double span = static_cast<double>(agents * kPerAgent) * slowness_;
  return std::clamp(static_cast<Micros>(span), least_, kLongestPause);
}

Micros NewsPace::gather(std::size_t agents) const {
  const auto span = static_cast<Micros>(static_cast<double>(agents * kGatherPerAgent) * slowness_);
  return span < kGatherLeast ? 0 : span;
}

const std::string& NewsPace::home_of(const common::Instance& instance) {
  if (!instance.home.empty()) return instance.home;
  auto found = draws_.find(instance.service);
  if (found == draws_.end()) {
    const auto order = common::homes(instance.service, peers_);
    found = draws_.emplace(instance.service, order.empty() ? "" : peers_[order.front()].name).first;
  }
  return found->second;
}

}  // namespace woadridge::controller
