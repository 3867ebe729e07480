#include "autoscaler/need.h"

#include <algorithm>
#include <cmath>

namespace woadridge::autoscaler {
namespace {

constexpr double kStartSpread = 0.3;  // of starts, in logarithms: what platforms of functions show
constexpr double kWayS = 0.15;  // from the request held to the call, and from being up to the first answer
constexpr std::uint32_t kMost = 64;    // instances of one function: above, each decision adds some more
constexpr int kSamples = 8;            // of those that wait and of those that come: finer changes no number
constexpr std::uint32_t kLookOn = 2;   // one more may be no help where two are
constexpr double kNegligible = 1e-12;  // share of requests: changes no decision
constexpr double kUseAfterS = 2;       // that an instance stays after those that it was started for

// Erlang's C: the share of requests that wait, with `load` of work for `slots`. A few more slots than work
// leave nothing of it, so the work bounds the loop and not the slots, of which a configuration may allow any
// number.
double share_waiting(double slots, double load) {
  double blocked = 1;
  for (double n = 1; n <= slots && blocked > kNegligible; ++n)
    blocked = load * blocked / (n + load * blocked);
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
    const double slots = static_cast<double>(count) * trade.slots;
    const double drain_s = reading.work_s * (1 + reading.spread) / 2 / (slots - load);
    const double late = share_waiting(slots, load) * std::exp(-slack / std::max(1e-6, drain_s));
    const double cost = count * trade.memory_gb + rate * late * prices.late;
    if (best >= 0 && cost >= best) break;  // it falls, then rises
    best = cost;
    best_count = count;
  }
  return best_count;
}

// First come, first served, as a flow: who stands behind q others is done when the slots have worked off q
// and itself. Slots come in steps: those of instances that are ready, that start already, and that would be
// started now.
std::uint32_t worth_starting(const Prices& prices, const Trade& trade, const Reading& reading,
                             std::uint32_t ready, std::uint32_t starting, double up_in_s) {
  if (reading.held == 0) return 0;
  const double work = std::max(1e-3, reading.work_s), rate = reading.rate;
  const double slots = static_cast<double>(ready) * trade.slots;
  const double coming = static_cast<double>(starting) * trade.slots;
  const double later_s = std::max(up_in_s, trade.startup_s + kWayS);
  const double aim = std::max(0.0, trade.aim_s - work), deadline = std::max(0.0, trade.deadline_s - work);
  const double horizon_s = later_s + kUseAfterS;

  const auto done_at = [&](double amount, double more) {  // when so much work is worked off
    if (amount <= slots * up_in_s) return amount / slots;
    amount -= slots * up_in_s;
    const double middle = slots + coming;
    if (amount <= middle * (later_s - up_in_s)) return up_in_s + amount / middle;
    amount -= middle * (later_s - up_in_s);
    return middle + more > 0 ? later_s + amount / (middle + more) : 1e9;
  };
  const auto loss = [&](std::uint32_t count) {
    const double more = static_cast<double>(count) * trade.slots;
    double sum = count * (prices.start + trade.memory_gb * horizon_s);
    const auto add = [&](double weight, double wait_s) {
      // Late by little is better than late by much: half of the price of lateness stands for that.
      if (wait_s > aim)
        sum += weight * prices.late *
               (0.5 + 0.5 * std::min(1.0, (wait_s - aim) / std::max(1e-3, deadline - aim)));
      if (wait_s > deadline) sum += weight * prices.lost;
    };
    const double part = 1.0 / kSamples;
    for (int n = 0; n < kSamples; ++n) {
      const double middle = (n + 0.5) * part;
      add(reading.held * part, done_at(reading.held * middle * work, more));
      const double comes_s = middle * horizon_s;
      add(rate * horizon_s * part, done_at((reading.held + rate * comes_s) * work, more) - comes_s);
    }
    return sum;
  };
  std::uint32_t best = ready + starting == 0 ? 1 : 0;
  double least = loss(best);
  const auto most = std::min(best + kMost, best + static_cast<std::uint32_t>(reading.held / trade.slots) + 1);
  for (std::uint32_t count = best + 1; count <= most; ++count) {
    const double this_one = loss(count);
    if (this_one >= least) {
      if (count > best + kLookOn) break;
      continue;
    }
    best = count;
    least = this_one;
  }
  return best;
}

}  // namespace woadridge::autoscaler
