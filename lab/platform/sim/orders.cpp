#include "lab/platform/sim/orders.h"

#include "text.h"

namespace woadridge::lab::sim {
namespace {

constexpr std::size_t kMostSentBytes = 1 << 20;  // of orders that are kept to be sent again

}  // namespace

void Orders::sent(const std::string& bytes) {
  if (!known_.insert(fnv1a(bytes)).second) return;
  sent_.push_back(bytes);
  sent_bytes_ += bytes.size();
  while (sent_bytes_ > kMostSentBytes && sent_.size() > 1) {
    sent_bytes_ -= sent_.front().size();
    sent_.pop_front();
  }
}

bool Orders::was_sent(const std::string& bytes) const {
  return known_.contains(fnv1a(bytes));
}

std::string Orders::told(std::uint64_t version, const std::string& bytes, const chain::Ended& answer) {
  if (auto broken = named(answer.mark); !broken.empty()) return broken;
  if (answer.outcome == chain::Outcome::forgotten) {
    ++forgotten_;
    return {};
  }
  if (!chain::taken(answer.outcome)) return refused(version, bytes, answer.outcome);
  const bool newest = answer.outcome == chain::Outcome::applied;
  if (newest && !(answer.mark == chain::mark_of(version, bytes)))
    return "an order is confirmed under another's mark";
  return confirmed(version, bytes);
}

std::string Orders::in_force(std::uint64_t version, const std::string& bytes) {
  if (auto broken = named(chain::mark_of(version, bytes)); !broken.empty()) return broken;
  return confirmed(version, bytes);
}

std::string Orders::named(const chain::Mark& mark) {
  const auto [at, added] = named_.emplace(mark.version, mark.digest);
  return !added && at->second != mark.digest ? "two contents of one number are named as in force" : "";
}

std::string Orders::confirmed(std::uint64_t version, const std::string& bytes) {
  if (refused_.contains(fnv1a(bytes))) return "an order that was not taken is confirmed";
  const auto [at, added] = taken_.emplace(version, fnv1a(bytes));
  return !added && at->second != fnv1a(bytes) ? "two contents of one number are confirmed" : "";
}

std::string Orders::refused(std::uint64_t version, const std::string& bytes, chain::Outcome outcome) {
  refused_.insert(fnv1a(bytes));
  const auto at = taken_.find(version);
  if (at == taken_.end()) return {};
  if (at->second == fnv1a(bytes)) return "an order that was confirmed is refused when it is sent again";
  return outcome == chain::Outcome::conflict ? "" : "other bytes under a taken number are not told so";
}

}  // namespace woadridge::lab::sim
