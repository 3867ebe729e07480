// By whose majorities something is decided: those of the list in force, or, while a change of the list is
// under way, those of the list before and of the one after it both (joint consensus, Ongaro 2014, ch. 4.3).
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "quorum/messages.h"
#include "quorum/planted.h"

namespace woadridge::quorum {

class Electorate {
 public:
  Electorate() = default;
  /// Those that found the group: there is no list yet.
  explicit Electorate(std::vector<std::string> founders) : all_(founders), lists_{std::move(founders)} {}
  explicit Electorate(const List& list) : epoch_(list.epoch) {
    for (const auto* machines : {&list.members, &list.next}) {
      if (machines->empty()) continue;
      auto& ips = lists_.emplace_back();
      for (const auto& machine : *machines) {
        ips.push_back(machine.ip);
        if (!contains(machine.ip)) all_.push_back(machine.ip);
      }
    }
  }

  std::uint64_t epoch() const { return epoch_; }
  const std::vector<std::string>& all() const { return all_; }  // of either list, each once
  bool contains(const std::string& ip) const { return std::find(all_.begin(), all_.end(), ip) != all_.end(); }

  /// `these` hold a majority of each list.
  bool majority(const std::set<std::string>& these) const {
    if (lists_.empty()) return false;
    if (planted(Planted::old_list_decides)) return majority_of(lists_.front(), these);
    return std::all_of(lists_.begin(), lists_.end(),
                       [&](const auto& list) { return majority_of(list, these); });
  }
  /// Without `these` no majority is left.
  bool blocked(const std::set<std::string>& these) const {
    std::set<std::string> others;
    for (const auto& ip : all_)
      if (!these.contains(ip)) others.insert(ip);
    return !majority(others);
  }

 private:
  static bool majority_of(const std::vector<std::string>& list, const std::set<std::string>& these) {
    const auto in =
        std::count_if(list.begin(), list.end(), [&](const auto& ip) { return these.contains(ip); });
    return static_cast<std::size_t>(in) * 2 > list.size();
  }

  std::uint64_t epoch_ = 0;
  std::vector<std::string> all_;
  std::vector<std::vector<std::string>> lists_;
};

}  // namespace woadridge::quorum
