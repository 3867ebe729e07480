// What operators sent and what they were told of it, judged from outside: one number has one content, and an
// order that is sent again gets the same answer.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "chain/chain.h"

namespace woadridge::lab::sim {

class Orders {
 public:
  void sent(const std::string& bytes);
  bool was_sent(const std::string& bytes) const;
  bool empty() const { return sent_.empty(); }
  const std::string& earlier(std::uint64_t draw) const { return sent_[draw % sent_.size()]; }

  // Each returns what is broken by it, or an empty text.
  std::string told(std::uint64_t version, const std::string& bytes, const chain::Ended& answer);
  std::string in_force(std::uint64_t version, const std::string& bytes);

  // Answers that nobody knows whether an order was taken: runs are shorter than what is remembered.
  std::size_t forgotten() const { return forgotten_; }

 private:
  std::string named(const chain::Mark& mark);
  std::string confirmed(std::uint64_t version, const std::string& bytes);
  std::string refused(std::uint64_t version, const std::string& bytes, chain::Outcome outcome);

  std::deque<std::string> sent_;  // the last ones, to be sent again
  std::size_t sent_bytes_ = 0, forgotten_ = 0;
  std::set<std::uint64_t> known_, refused_;       // digests
  std::map<std::uint64_t, std::uint64_t> taken_;  // a digest, by version
  std::map<std::uint64_t, std::uint64_t> named_;  // version and digest that somebody called in force
};

}  // namespace woadridge::lab::sim
