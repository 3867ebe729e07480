#include "lab/random.h"

#include <xxhash.h>

#include <algorithm>

namespace woadridge::lab {
namespace {

// Mean of a bounded Pareto from 1 to `ratio` (the textbook's closed form).
double pareto_mean(double shape, double ratio) {
  const double cut = 1 - std::pow(ratio, -shape);
  if (std::abs(shape - 1) < 1e-9) return std::log(ratio) / cut;
  return shape / (shape - 1) * (1 - std::pow(ratio, 1 - shape)) / cut;
}

}  // namespace

std::uint64_t hash_of(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

double Sizes::draw(Stream& random) const {
  switch (kind) {
    case Kind::fixed:
      return mean;
    case Kind::exponential:
      return std::max(1.0, random.exponential(mean));
    case Kind::pareto: {
      const double u = random.uniform();
      const double one = std::pow(1 - u * (1 - std::pow(ratio, -shape)), -1 / shape);
      return std::max(1.0, one * mean / pareto_mean(shape, ratio));
    }
    case Kind::lognormal:
      return std::max(1.0, mean * std::exp(shape * random.normal() - shape * shape / 2));
    case Kind::table: {
      double sum = 0;
      for (const double v : values) sum += v;
      const double v = values[random.below(values.size())];
      return std::max(1.0, v * mean * static_cast<double>(values.size()) / sum);
    }
  }
  return mean;
}

}  // namespace woadridge::lab
