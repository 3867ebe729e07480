// Numbers that are drawn (SplitMix64, Steele et al. 2014). Each use has dice of its own, so what one machine
// or line draws never shifts what another one gets: a schedule with an entry less stays nearly the same run.
#pragma once

#include <cstdint>
#include <limits>

namespace woadridge::lab::sim {

class Dice {
 public:
  using result_type = std::uint64_t;
  explicit Dice(std::uint64_t seed, std::uint64_t use = 0, std::uint64_t number = 0) : state_(seed) {
    for (const std::uint64_t part : {use, number}) state_ = (*this)() ^ (part * 0x9e3779b97f4a7c15ULL);
  }
  static constexpr result_type min() { return 0; }
  static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }
  result_type operator()() {
    std::uint64_t z = state_ += 0x9e3779b97f4a7c15ULL;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  template <class Count>
  Count below(Count most) {
    return static_cast<Count>((*this)() % static_cast<std::uint64_t>(most));
  }
  double share() { return static_cast<double>((*this)() >> 11) * 0x1p-53; }  // in [0, 1)
  bool chance(double p) { return share() < p; }

 private:
  std::uint64_t state_;
};

}  // namespace woadridge::lab::sim
