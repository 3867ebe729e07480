// What the machines of a run are like, in words, for whoever looks for a cause.
#include <algorithm>

#include "lab/platform/sim/world.h"

namespace woadridge::lab::sim {

using quorum::Member;

namespace {

const char* name_of(Member::Standing standing) {
  switch (standing) {
    case Member::Standing::founding:
      return "founding";
    case Member::Standing::blank:
      return "blank";
    case Member::Standing::voter:
      return "voter";
    case Member::Standing::learner:
      return "learner";
  }
  return "";
}

std::string ips_of(const quorum::Machines& machines) {
  std::string all;
  for (const auto& machine : machines) all += (all.empty() ? "" : " ") + machine.ip;
  return all;
}

std::string description_of(const Member& member, Micros local) {
  const auto& list = member.list();
  const auto& replica = member.chain().replica();
  std::string line = name_of(member.standing());
  line += ", epoch " + std::to_string(list.epoch) + " of " + ips_of(list.members);
  if (list.joint()) line += " on the way to " + ips_of(list.next);
  line += ", view " + std::to_string(replica.view().number) + " of";
  for (const auto& link : replica.view().chain) line += " " + link.ip;
  line += replica.links() ? ", acts in " + std::to_string(replica.acting_in()) : ", no link";
  if (replica.sealed()) line += ", sealed";
  if (!member.chain().whole()) line += ", not whole";
  if (member.term() != 0) line += ", term " + std::to_string(member.term());
  if (member.holds(local)) line += ", holds the duty";
  line += ", version " + std::to_string(member.chain().in_force().version);
  return line;
}

}  // namespace

std::vector<std::string> World::described() const {
  std::vector<std::string> lines;
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    const Node& node = nodes[n];
    if (node.gone) continue;
    std::string line = node.ip + ": ";
    if (node.member) line += description_of(*node.member, local(n));
    else line += "down";
    if (node.frozen) line += ", frozen";
    if (node.wiped) line += ", counts as lost";
    if (node.untold) line += ", untold";
    lines.push_back(line);
  }
  return lines;
}

}  // namespace woadridge::lab::sim
