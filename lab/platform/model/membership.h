// What a member says of the list of members, whether that is closed at the founding or changes by agreement
// under epochs (then Member::list() is there).
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "lab/platform/model/mix.h"
#include "quorum/member.h"
#include "text.h"

namespace woadridge::lab::model {

template <class Member>
std::uint64_t epoch_of(const Member& member) {  // 0: no list is known
  if constexpr (requires { member.list().epoch; }) return member.list().epoch;
  else return member.members().empty() ? 0 : 1;
}

inline std::uint64_t hash_of(const quorum::Machines& machines, std::uint64_t hash) {
  for (const auto& machine : machines) hash = mix(hash, fnv1a(machine.ip));
  return mix(hash, machines.size());
}

template <class Member>
std::uint64_t list_hash_of(const Member& member) {
  if constexpr (requires { member.list().epoch; })
    return hash_of(member.list().next, hash_of(member.list().members, member.list().group));
  else return hash_of(member.members(), 0);
}

// A list that names a machine with the disk that it has now: it never voted on another one.
template <class Member>
bool listed_with_its_disk(const Member& member, const std::string& ip) {
  if constexpr (requires { member.list().epoch; }) {
    const auto is_it = [&](const auto& machine) { return machine.ip == ip && machine.disk == member.disk(); };
    const auto& list = member.list();
    return std::any_of(list.members.begin(), list.members.end(), is_it) ||
           std::any_of(list.next.begin(), list.next.end(), is_it);
  }
  return false;
}

}  // namespace woadridge::lab::model
