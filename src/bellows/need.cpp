#include "bellows/need.h"

#include <algorithm>
#include <cmath>

namespace woadridge::bellows {
namespace {

constexpr double kStartSpread = 0.3;  // of starts, in logarithms: what platforms of functions show
constexpr double kWayS = 0.15;  // from the request held to the call, and from being up to the first answer
constexpr std::uint32_t kMost = 64;  // instances of one function: above, each decision adds some more
constexpr double kUseAfterS = 2;     // that an instance stays after those that it was started for

// Erlang's C: the share of requests that wait, with `load` of work for `slots`.
double share_waiting(std::uint32_t slots, double load) {
  double blocked = 1;
  for (std::uint32_t n = 1; n <= slots; ++n) blocked = load * blocked / (n + load * blocked);
  const double use = load / slots;
  return blocked / (1 - use * (1 - blocked));
}

}  // namespace

double share_late_cold(const Trade& trade, double work_s) {
  const double left = trade.aim_s - work_s - kWayS;
  if (left <= 0) return 1;
  const double median = trade.startup_s * std::exp(-kStartSpread * kStartSpread / 2);
  return 0.5 * std::erfc(std::log(left / median) / kStartSpread / std::sqrt(2.0));
}

double cost_of_cold(const Prices& prices, const Trade& trade, const Reading& reading) {
  const double late = share_late_cold(trade, reading.work_s);
  return prices.start + prices.late * late * (1 + reading.rate * trade.startup_s);
}

std::uint32_t worth_keeping(const Prices& prices, const Trade& trade, const Reading& reading, double margin) {
  const double rate = reading.rate * margin;
  const double load = rate * reading.work_s;
  if (load <= 0 && reading.pressed <= 0) return 0;
  const double slack = std::max(0.0, trade.aim_s - 1.5 * reading.work_s);
  double best = -1;
  std::uint32_t best_count = 1;
  // With fewer the queue only grows.
  const auto least = std::max(static_cast<std::uint32_t>(load / trade.slots) + 1,
                              static_cast<std::uint32_t>(std::ceil(reading.pressed / trade.slots)));
  for (std::uint32_t count = least; count <= least + kMost; ++count) {
    const auto slots = count * trade.slots;
    const double drain_s = reading.work_s * (1 + reading.spread) / 2 / (slots - load);
    const double late = share_waiting(slots, load) * std::exp(-slack / std::max(1e-6, drain_s));
    const double cost = count * trade.memory_gb + rate * late * prices.late;
    if (best >= 0 && cost >= best) break;  // it falls, then rises
    best = cost;
    best_count = count;
  }
  return best_count;
}

std::uint32_t worth_starting(const Prices& prices, const Trade& trade, const Reading& reading,
                             std::uint32_t ready, std::uint32_t starting, double up_in_s) {
  if (reading.held == 0) return 0;
  const double work = std::max(1e-3, reading.work_s);
  const double slots = ready * trade.slots, coming = starting * trade.slots;
  // How many of those that wait have been served when so much time has gone by, with `more` new slots.
  const auto served = [&](double until, double more) {
    return (slots * until + coming * std::max(0.0, until - up_in_s) +
            more * std::max(0.0, until - trade.startup_s - kWayS)) /
           work;
  };
  const double aim = std::max(0.0, trade.aim_s - work), deadline = std::max(0.0, trade.deadline_s - work);
  const auto loss = [&](double count) {
    const double more = count * trade.slots;
    const double late = std::max(0.0, reading.held - served(aim, more));
    const double lost = std::max(0.0, reading.held - served(deadline, more));
    // Who is late is better late by little: half of the price of lateness stands for that.
    const double by_deadline =
        deadline > aim
            ? std::clamp(late * work / std::max(1e-3, slots + coming + more) / (deadline - aim), 0.0, 1.0)
            : 1;
    return prices.late * late * (0.5 + 0.5 * by_deadline) + prices.lost * lost +
           count * (prices.start + trade.memory_gb * (trade.startup_s + kUseAfterS));
  };
  std::uint32_t best = ready + starting == 0 ? 1 : 0;
  for (std::uint32_t count = best + 1; count <= best + kMost && count <= reading.held; ++count) {
    if (loss(count) >= loss(count - 1)) break;
    best = count;
  }
  return best;
}

}  // namespace woadridge::bellows
