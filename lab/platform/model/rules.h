// The rules, judged from outside: by what operators were told, what members say they hold, and the true
// clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "quorum/member.h"

namespace woadridge::lab::model {

enum class Rule {
  one_content,  // one digest under one version
  kept,         // a read gives at least what was acknowledged before it began
  newest,       // nothing older is acknowledged, or comes into force at a member, than was before
  one_holder,   // of the duty, at any time
  terms_grow,
  disk_counts,  // who lost its disk votes on nothing before a majority told it what it held
  one_list,     // of members under one epoch
};
const char* name_of(Rule rule);

struct Broken {
  Rule rule = Rule::kept;
  std::string what;
};

class Judge {
 public:
  const std::optional<Broken>& broken() const { return broken_; }
  std::uint64_t acknowledged() const { return acknowledged_; }  // the highest version
  std::uint64_t fingerprint() const;                            // of all that later judgements depend on

  void fail(Rule rule, const std::string& what);
  void put_ended(const chain::Mark& sent, std::uint64_t acknowledged_before, const quorum::Finished& told);
  void read_ended(std::uint64_t acknowledged_before, const quorum::Finished& told);
  void in_force(const chain::Mark& mark);
  void duty_taken(std::uint64_t term);
  void list_seen(std::uint64_t epoch, std::uint64_t list);  // its hash; epoch 0: none

 private:
  std::map<std::uint64_t, std::uint64_t> digests_;  // by version: that is in force, or was
  std::uint64_t acknowledged_ = 0, last_term_ = 0;
  std::map<std::uint64_t, std::uint64_t> lists_;  // hashes, by epoch
  std::optional<Broken> broken_;
};

}  // namespace woadridge::lab::model
