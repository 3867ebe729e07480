#include "common/homes.h"

#include <algorithm>
#include <numeric>

#include "text.h"

namespace woadridge::common {
namespace {

std::uint64_t draw(std::string_view service, std::string_view peer) {
  std::uint64_t h = fnv1a(peer, fnv1a(service));
  h = (h ^ (h >> 33)) * 0xff51afd7ed558ccdULL;  // FNV alone hardly mixes its last bytes upwards
  h = (h ^ (h >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return h ^ (h >> 33);
}

}  // namespace

std::vector<std::size_t> homes(std::string_view service, const std::vector<Peer>& peers) {
  std::vector<std::uint64_t> draws;
  draws.reserve(peers.size());
  for (const auto& peer : peers) draws.push_back(draw(service, peer.name));
  std::vector<std::size_t> order(peers.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](auto a, auto b) { return draws[a] > draws[b]; });
  return order;
}

}  // namespace woadridge::common
