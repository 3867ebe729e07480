#include "autoscaler/machine_ledger.h"

#include <algorithm>
#include <tuple>

namespace woadridge::autoscaler {
namespace {

constexpr Micros kShut = 1'000'000;    // after a refusal for want of room: the provider's books differ
constexpr Micros kOnTheWay = 100'000;  // a call's time to the provider, besides the lag

}  // namespace

std::vector<std::string> MachineLedger::see(Micros asked, const std::vector<Machine>& machines) {
  seen_ = true;
  std::vector<std::string> gone;
  for (auto& [name, entry] : entries_) {
    const auto same = [&name = name](const Machine& m) { return m.name == name; };
    if (entry.there && std::none_of(machines.begin(), machines.end(), same)) {
      entry.there = false;
      gone.push_back(name);
    }
  }
  for (const auto& machine : machines) {
    auto& entry = entries_[machine.name];
    entry.machine = machine;
    entry.there = true;
    while (!entry.calls.empty() && entry.calls.front().at + lag_ + kOnTheWay < asked) entry.calls.pop_front();
  }
  std::erase_if(entries_, [](const auto& e) { return !e.second.there && e.second.own_mb <= 0; });
  return gone;
}

void MachineLedger::take(Micros now, const std::string& machine, std::uint32_t memory_mb, bool by_a_call) {
  auto& entry = entries_[machine];
  entry.own_mb += memory_mb;
  if (by_a_call) entry.calls.push_back({now, memory_mb});
}

void MachineLedger::give_back(const std::string& machine, std::uint32_t memory_mb) {
  const auto at = entries_.find(machine);
  if (at != entries_.end()) at->second.own_mb -= memory_mb;
}

void MachineLedger::refused(Micros now, const std::string& machine) {
  const auto at = entries_.find(machine);
  if (at != entries_.end()) at->second.shut_until = now + kShut;
}

bool MachineLedger::has(const std::string& machine) const {
  const auto at = entries_.find(machine);
  return at != entries_.end() && at->second.there;
}

bool MachineLedger::leaves(const std::string& machine) const {
  const auto at = entries_.find(machine);
  return at != entries_.end() && at->second.there && at->second.machine.draining;
}

std::string MachineLedger::zone_of(const std::string& machine) const {
  const auto at = entries_.find(machine);
  return at == entries_.end() ? std::string() : at->second.machine.zone;
}

// The lesser of what our own books leave and of what the provider showed, less the starts that it can't have
// counted yet: others' instances are in the second alone, our newest in the first alone.
std::int64_t MachineLedger::room(const Entry& entry) const {
  std::int64_t spare = entry.machine.spare_mb;
  for (const auto& call : entry.calls) spare -= call.memory_mb;
  return std::min<std::int64_t>(entry.machine.memory_mb - entry.own_mb, spare);
}

std::int64_t MachineLedger::room(const std::string& machine) const {
  const auto at = entries_.find(machine);
  return at == entries_.end() || !at->second.there ? 0 : room(at->second);
}

std::optional<std::string> MachineLedger::place(Micros now, std::string_view zone, std::uint32_t memory_mb,
                                                const std::vector<std::string>& beside) const {
  using Merit = std::tuple<bool, std::int64_t, std::int64_t>;
  std::optional<std::string> best;
  Merit best_merit;
  for (const auto& [name, entry] : entries_) {
    if (!entry.there || entry.machine.draining || entry.shut_until > now) continue;
    const auto left = room(entry);
    if (left < memory_mb) continue;
    const auto kin = std::count(beside.begin(), beside.end(), name);
    const Merit merit{entry.machine.zone == zone, -kin, left};
    if (best && merit <= best_merit) continue;
    best = name;
    best_merit = merit;
  }
  return best;
}

}  // namespace woadridge::autoscaler
