// Hashes that are put together (the finisher of SplitMix64, Steele et al. 2014).
#pragma once

#include <cstdint>

namespace woadridge::lab::model {

constexpr std::uint64_t mix(std::uint64_t hash, std::uint64_t part) {
  std::uint64_t z = hash + 0x9e3779b97f4a7c15ULL + part * 0xd6e8feb86659fd93ULL;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

}  // namespace woadridge::lab::model
