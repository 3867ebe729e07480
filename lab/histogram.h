// A log-linear histogram: exact counts in buckets whose width is at most 1/128 of their lower bound, so that
// a quantile is off by at most 1/256 (0.4%) of its value. Two merge exactly: counts are added.
#pragma once

#include <bit>
#include <cstdint>
#include <map>

namespace woadridge::lab {

class Histogram {
 public:
  void add(std::int64_t value, std::uint64_t times = 1) {
    if (value < 0) value = 0;
    counts_[bucket(value)] += times;
    total_ += times;
    sum_ += static_cast<double>(value) * static_cast<double>(times);
  }
  void merge(const Histogram& other) {
    for (const auto& [at, times] : other.counts_) counts_[at] += times;
    total_ += other.total_;
    sum_ += other.sum_;
  }
  std::uint64_t count() const { return total_; }
  double mean() const { return total_ == 0 ? 0 : sum_ / static_cast<double>(total_); }
  // The value below which `part` of all lie, as the middle of its bucket; 0 where nothing was added.
  std::int64_t quantile(double part) const {
    if (total_ == 0) return 0;
    auto rank = static_cast<std::uint64_t>(part * static_cast<double>(total_));
    if (rank >= total_) rank = total_ - 1;
    std::uint64_t below = 0;
    for (const auto& [at, times] : counts_) {
      below += times;
      if (below > rank) return middle(at);
    }
    return middle(counts_.rbegin()->first);
  }
  const std::map<std::int64_t, std::uint64_t>& counts() const { return counts_; }
  // Buckets are named by their lower bound.
  static std::int64_t bucket(std::int64_t value) {
    const int width = std::bit_width(static_cast<std::uint64_t>(value));
    const int shift = width <= kExactBits ? 0 : width - kExactBits;
    return (value >> shift) << shift;
  }

 private:
  static constexpr int kExactBits = 8;  // up to 255 each value has a bucket; above, 128 to each doubling
  static std::int64_t middle(std::int64_t bucket_at) {
    const int width = std::bit_width(static_cast<std::uint64_t>(bucket_at));
    return width <= kExactBits ? bucket_at : bucket_at + (std::int64_t{1} << (width - kExactBits)) / 2;
  }
  std::map<std::int64_t, std::uint64_t> counts_;
  std::uint64_t total_ = 0;
  double sum_ = 0;
};

}  // namespace woadridge::lab
