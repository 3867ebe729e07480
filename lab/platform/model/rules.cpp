#include "lab/platform/model/rules.h"

#include <algorithm>
#include <array>
#include <type_traits>

#include "lab/platform/model/mix.h"

namespace woadridge::lab::model {

namespace {

// Whether the operator is told that the order's own content is in force. Where an end names an outcome, only
// `applied` says so.
template <class Told>
bool confirms(const Told& told, const chain::Mark& sent) {
  if constexpr (requires { told.outcome; })
    return told.outcome == std::decay_t<decltype(told.outcome)>::applied;
  else return told.mark == sent;
}

}  // namespace

const char* name_of(Rule rule) {
  static constexpr std::array<const char*, 7> kNames = {"one_content", "kept",        "newest",  "one_holder",
                                                        "terms_grow",  "disk_counts", "one_list"};
  return kNames.at(static_cast<std::size_t>(rule));
}

std::uint64_t Judge::fingerprint() const {
  std::uint64_t hash = mix(acknowledged_, last_term_);
  for (const auto& [version, digest] : digests_) hash = mix(mix(hash, version), digest);
  for (const auto& [epoch, list] : lists_) hash = mix(mix(hash, epoch), list);
  return hash;
}

void Judge::fail(Rule rule, const std::string& what) {
  if (!broken_) broken_ = Broken{rule, what};
}

void Judge::in_force(const chain::Mark& mark) {
  if (mark.version == 0) return;
  const auto [at, added] = digests_.emplace(mark.version, mark.digest);
  if (!added && at->second != mark.digest)
    fail(Rule::one_content, "two contents in force under version " + std::to_string(mark.version));
}

void Judge::put_ended(const chain::Mark& sent, std::uint64_t acknowledged_before,
                      const quorum::Finished& told) {
  if (!told.good) return;
  in_force(told.mark);
  if (confirms(told, sent)) in_force(sent);
  if (told.mark.version < std::max(sent.version, acknowledged_before))
    fail(Rule::newest, "a change is acknowledged under a lower version");
  acknowledged_ = std::max(acknowledged_, told.mark.version);
}

void Judge::read_ended(std::uint64_t acknowledged_before, const quorum::Finished& told) {
  if (!told.good) return;
  in_force(told.mark);
  if (told.mark.version < acknowledged_before)
    fail(Rule::kept, "version " + std::to_string(acknowledged_before) + " was acknowledged, " +
                         std::to_string(told.mark.version) + " is read");
}

void Judge::duty_taken(std::uint64_t term) {
  if (term <= last_term_) fail(Rule::terms_grow, "a term does not grow");
  last_term_ = std::max(last_term_, term);
}

void Judge::list_seen(std::uint64_t epoch, std::uint64_t list) {
  if (epoch == 0) return;
  const auto [at, added] = lists_.emplace(epoch, list);
  if (!added && at->second != list) fail(Rule::one_list, "two lists of members");
}

}  // namespace woadridge::lab::model
