// The founding of the group: seeds agree on the first list of members.
#include <algorithm>

#include "common/frames.h"
#include "quorum/member.h"

namespace woadridge::quorum {
namespace {

using common::pack;
using common::unpack;

constexpr Micros kLeast = 1'200'000;     // the list of members stays open so long at least
constexpr Micros kQuiet = 1'000'000;     // and so long after the last one that is new
constexpr Micros kAllSeeds = 5'000'000;  // it isn't closed without all seeds before
constexpr Micros kNextSeed = 1'500'000;  // the next seed in order closes it, if one before it did not

}  // namespace

void Member::receive(const std::string& from, Hello& message) {
  if (message.self.ip != from) return;
  if (list_.epoch != 0) return welcome(from, message);
  if (standing_ != Standing::founding || !message.founds) return;
  if (announced_.insert_or_assign(from, std::pair(message.self, message.votes)).second) last_new_ = now_;
}

void Member::found() {
  const auto& seeds = founding_seeds_;
  const auto at = std::find(seeds.begin(), seeds.end(), options_.self.ip);
  if (standing_ != Standing::founding || at == seeds.end() || founding_ticket_ != 0 || joining_) return;
  const bool all =
      std::all_of(seeds.begin(), seeds.end(), [&](const auto& ip) { return announced_.contains(ip); });
  if (now_ < started_ + kLeast + (at - seeds.begin()) * kNextSeed || now_ < last_new_ + kQuiet ||
      (!all && now_ < started_ + kAllSeeds))
    return;
  Machines list;
  const bool any_votes =
      std::any_of(announced_.begin(), announced_.end(), [](const auto& a) { return a.second.second; });
  for (const auto& [ip, told] : announced_)
    if (told.second || !any_votes) list.push_back(told.first);
  const auto place = [&](const Machine& m) {
    return std::find(seeds.begin(), seeds.end(), m.ip) - seeds.begin();
  };
  std::stable_sort(list.begin(), list.end(),
                   [&](const auto& a, const auto& b) { return place(a) < place(b); });
  if (planted(Planted::two_lists)) {
    adopt({1, 1, list, {}});
    return;
  }
  // A register that the seeds hold: whatever they agree on first is the list, whoever of them is lost
  // meanwhile.
  const List first{chance_() | 1, 1, list, {}};
  const auto change = [first](const std::string* old) {
    return std::optional(old != nullptr ? *old : pack(first));
  };
  founding_ticket_ = begin({Operation::Kind::change, kMembers, change, now_ + 2'000'000}, Electorate(seeds));
}

}  // namespace woadridge::quorum
