// Streams of random numbers that are the same on every machine (Boost.Random), one for each use: what one
// part of a run draws never shifts what another one gets.
#pragma once

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace woadridge::lab {

std::uint64_t hash_of(std::string_view text, std::uint64_t seed);  // xxhash, 64 bit

class Stream {
 public:
  Stream(std::uint64_t seed, std::string_view use, std::uint64_t number = 0)
      : engine_(hash_of(use, seed ^ (number * 0x9e3779b97f4a7c15ULL))) {}
  double uniform() { return boost::random::uniform_01<double>()(engine_); }  // in [0, 1)
  double uniform(double low, double high) { return low + (high - low) * uniform(); }
  double exponential(double mean) {
    return mean * boost::random::exponential_distribution<double>(1.0)(engine_);
  }
  double normal() { return boost::random::normal_distribution<double>()(engine_); }
  std::uint64_t bits() { return engine_(); }
  template <typename Item>
  void shuffle(std::vector<Item>& items) {
    for (std::size_t i = items.size(); i > 1; --i) std::swap(items[i - 1], items[below(i)]);
  }
  std::size_t below(std::size_t count) {
    return static_cast<std::size_t>(uniform() * static_cast<double>(count));
  }

 private:
  boost::random::mt19937_64 engine_;
};

// Sizes of jobs. All are scaled to `mean`.
struct Sizes {
  enum class Kind { fixed, exponential, pareto, lognormal, table };
  Kind kind = Kind::exponential;
  double mean = 100'000;       // microseconds of work on a standard core
  double shape = 1.5;          // pareto: the exponent; lognormal: sigma of the logarithm
  double ratio = 1000;         // pareto: the largest over the smallest
  std::vector<double> values;  // table: drawn evenly

  double draw(Stream& random) const;  // microseconds, above 0
};

}  // namespace woadridge::lab
