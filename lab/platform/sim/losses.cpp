// Which machines miss their disks, or are gone, and whether one more may be lost.
#include <algorithm>

#include "lab/platform/sim/world.h"

namespace woadridge::lab::sim {

using quorum::Member;

namespace {

// With that disk, if one is given.
bool in(const quorum::Machines& machines, const std::string& ip, std::optional<std::uint64_t> disk = {}) {
  return std::any_of(machines.begin(), machines.end(),
                     [&](const auto& m) { return m.ip == ip && m.disk == disk.value_or(m.disk); });
}

}  // namespace

// A machine that lost its disk counts as lost until this is true.
bool World::taken_in(const Node& node) const {
  if (!node.member || node.member->standing() != Member::Standing::voter) return false;
  const auto& replica = node.member->chain().replica();
  return replica.links() && replica.acting_in() == replica.view().number;
}

// A list names it with the disk that it has now, so it never voted on another one.
bool World::taken_in_with_its_disk(const Node& node) const {
  const auto& list = node.member->list();
  return in(list.members, node.ip, node.member->disk()) || in(list.next, node.ip, node.member->disk());
}

// Members count on what its lost disk held, and it hasn't been told that yet.
bool World::misses_its_disk(const Node& node) const {
  if (!node.untold || lists_.empty()) return false;
  const auto& list = lists_.rbegin()->second;
  if (!in(list.members, node.ip) && !in(list.next, node.ip)) return false;
  return !node.member || !taken_in_with_its_disk(node);
}

// Also one that is not on the list: its place was given to another while it was silent, and who is in place
// of that one may be gone.
std::size_t World::disks_lost() const {
  const auto lost = [this](std::size_t n) {
    return nodes[n].wiped || (!lists_.empty() && !in(lists_.rbegin()->second.members, nodes[n].ip));
  };  // of a joint list that before it
  return static_cast<std::size_t>(std::count_if(places_.begin(), places_.end(), lost));
}

// Whoever doesn't is gone for good, or will be.
bool World::stands(std::size_t n) const {
  return std::find(places_.begin(), places_.end(), n) != places_.end();
}

bool World::may_lose_its_disk(std::size_t n) const {
  return (nodes[n].wiped || disks_lost() < losses_) && is_borne_without(n);
}

// Of no list that decides more members may miss their disks, or be gone, than must be borne: a machine that
// is new may stand in for another than the one that it follows.
bool World::is_borne_without(std::size_t n) const {
  if (lists_.empty()) return true;
  const auto& list = lists_.rbegin()->second;
  const auto missing = [&](const quorum::Machine& m) {
    const std::size_t at = index(m.ip);
    return at == n || nodes[at].gone || (nodes[at].ending && !stands(at)) || misses_its_disk(nodes[at]);
  };
  const auto bears = [&](const quorum::Machines& machines) {
    return static_cast<std::size_t>(std::count_if(machines.begin(), machines.end(), missing)) <= losses_;
  };
  return bears(list.members) && bears(list.next);
}

}  // namespace woadridge::lab::sim
