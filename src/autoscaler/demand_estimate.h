// What is known of the demand for one function: how many requests come, how much work each is, how many wait.
// Times are handed in, in microseconds.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "common/messages.h"
#include "decide.h"

namespace woadridge::autoscaler {

struct Reading {
  double rate = 0;       // requests a second to be reckoned with: up at once, down slowly
  double long_rate = 0;  // over the last quarter of a minute
  double work_s = 0;     // of a request, mean
  double spread = 1;     // squared coefficient of variation of the work
  double pressed = 0;    // slots in use and requests waiting, when some have waited all along
  std::uint32_t busy = 0, held = 0;
};

class DemandEstimate {
 public:
  void tell(Micros now, const std::string& proxy, const common::Demand& demand);
  void forget(const std::string& proxy);  // it's gone: what it said of now holds no longer
  // `since`: nothing was heard before. `guess_s`: the work of a request, until answers tell.
  Reading read(Micros now, Micros since, double guess_s) const;
  Micros last_use() const { return last_use_; }  // 0: never
  bool idle(Micros now) const;                   // no request is there
  double longest_s() const { return longest_s_; }

 private:
  struct Word {  // of one proxy
    std::string proxy;
    Micros at = 0;
    std::uint32_t busy = 0, held = 0;
  };
  struct Low {  // the least over the last one or two spans
    Micros turned = 0;
    std::uint32_t before = 0, now = 0;
  };

  void turn(Micros now);  // moves the buckets on
  std::pair<std::uint32_t, std::uint32_t> present(Micros now) const;

  static constexpr std::size_t kBuckets = 32;
  std::array<std::uint32_t, kBuckets> arrivals_{};
  std::int64_t bucket_ = 0;                     // number of the newest
  double slow_ = 0;                             // arrivals, fading
  double answers_ = 0, work_ = 0, square_ = 0;  // fading sums
  Micros slow_at_ = 0, work_at_ = 0, last_use_ = 0;
  double longest_s_ = 0;
  Low held_;
  std::vector<Word> words_;
};

}  // namespace woadridge::autoscaler
