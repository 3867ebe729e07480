#include "autoscaler/demand_estimate.h"

#include <algorithm>
#include <cmath>

namespace woadridge::autoscaler {
namespace {

constexpr Micros kBucket = 250'000;  // about a report: finer tells no more
constexpr Micros kWord = 1'500'000;  // a proxy's word of now holds so long; it reports more often while busy
constexpr double kSlowS = 15;        // the long rate's memory
constexpr double kWorkS = 10;        // the work's memory: workers slow down and routes move
constexpr double kGuessed = 2;       // answers that the guess counts for
constexpr Micros kHeldAllAlong = 750'000;  // waits of half to a whole request's aim, not passing ones

double faded(double value, Micros span, double memory_s) {
  return span <= 0 ? value : value * std::exp(-static_cast<double>(span) / 1e6 / memory_s);
}

}  // namespace

void DemandEstimate::turn(Micros now) {
  const std::int64_t number = now / kBucket;
  if (number - bucket_ >= static_cast<std::int64_t>(kBuckets)) {
    arrivals_.fill(0);
    bucket_ = number;
  }
  while (bucket_ < number) arrivals_[static_cast<std::size_t>(++bucket_) % kBuckets] = 0;
}

void DemandEstimate::tell(Micros now, const std::string& proxy, const common::Demand& d) {
  turn(now);
  arrivals_[static_cast<std::size_t>(bucket_) % kBuckets] += d.arrivals;
  slow_ = faded(slow_, now - slow_at_, kSlowS) + d.arrivals;
  slow_at_ = now;
  if (d.ended > 0) {
    const double mean = static_cast<double>(d.work_us) / 1e6 / d.ended;
    const auto span = now - work_at_;
    answers_ = faded(answers_, span, kWorkS) + d.ended;
    work_ = faded(work_, span, kWorkS) + mean * d.ended;
    square_ = faded(square_, span, kWorkS) + mean * mean * d.ended;
    longest_s_ = std::max(faded(longest_s_, span, kWorkS), mean);
    work_at_ = now;
  }
  if (d.arrivals > 0 || d.busy > 0 || d.held > 0) last_use_ = now;
  auto at = std::find_if(words_.begin(), words_.end(), [&](const Word& w) { return w.proxy == proxy; });
  if (at == words_.end()) at = words_.insert(words_.end(), Word{proxy, 0, 0, 0});
  *at = {proxy, now, d.busy, d.held};
  const auto held = present(now).second;
  if (now - held_.turned > kHeldAllAlong) {
    held_.before = now - held_.turned > 2 * kHeldAllAlong ? 0 : held_.now;
    held_.now = held;
    held_.turned = now;
  }
  held_.now = std::min(held_.now, held);
}

void DemandEstimate::forget(const std::string& proxy) {
  std::erase_if(words_, [&](const Word& w) { return w.proxy == proxy; });
}

std::pair<std::uint32_t, std::uint32_t> DemandEstimate::present(Micros now) const {
  std::uint32_t busy = 0, held = 0;
  for (const auto& word : words_) {
    if (now - word.at > kWord) continue;
    busy += word.busy;
    held += word.held;
  }
  return {busy, held};
}

bool DemandEstimate::idle(Micros now) const {
  const auto [busy, held] = present(now);
  return busy == 0 && held == 0;
}

// Of four windows the one that says most counts, the short ones less what chance alone would add: a jump in
// the traffic of a busy function shows within half a second, two rare requests in one second stay two rare
// requests.
Reading DemandEstimate::read(Micros now, Micros since, double guess_s) const {
  Reading reading;
  const std::int64_t number = now / kBucket;
  const double known_s = std::max(1.0, static_cast<double>(now - since) / 1e6);
  double sum = 0;
  std::int64_t back = 0;
  struct Window {
    std::int64_t buckets;
    double doubt;  // in standard deviations
  };
  for (const auto& [buckets, doubt] :
       {Window{1, 1.5}, Window{3, 1.0}, Window{6, 0.7}, Window{kBuckets - 1, 0.0}}) {
    for (; back <= buckets; ++back) {
      const std::int64_t at = number - back;
      if (at <= bucket_ && bucket_ - at < static_cast<std::int64_t>(kBuckets) && at >= 0)
        sum += arrivals_[static_cast<std::size_t>(at) % kBuckets];
    }
    const double window_s = static_cast<double>(buckets * kBucket + now % kBucket) / 1e6;
    const double rate = std::max(0.0, sum - doubt * std::sqrt(sum)) / std::min(known_s, window_s);
    reading.rate = std::max(reading.rate, rate);
  }
  const double memory_s = kSlowS * (1 - std::exp(-known_s / kSlowS));
  reading.long_rate = faded(slow_, now - slow_at_, kSlowS) / std::max(1.0, memory_s);
  const double answers = faded(answers_, now - work_at_, kWorkS) + kGuessed;
  const double faded_by = faded(1, now - work_at_, kWorkS);
  reading.work_s = (work_ * faded_by + kGuessed * guess_s) / answers;
  const double square = (square_ * faded_by + kGuessed * guess_s * guess_s) / answers;
  reading.spread = std::max(0.25, square / std::max(1e-9, reading.work_s * reading.work_s) - 1);
  const auto [busy, held] = present(now);
  reading.busy = busy;
  reading.held = held;
  const auto least = std::min(held_.before, held_.now);
  if (least > 0 && held > 0) reading.pressed = busy + least;
  return reading;
}

}  // namespace woadridge::autoscaler
