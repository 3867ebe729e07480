// Which messages of core machines are votes, for the judges of simulated runs and of the small model.
#pragma once

#include "quorum/messages.h"

namespace woadridge::lab {

inline bool is_vote(const quorum::Message& message) {
  const auto* promise = std::get_if<quorum::Promise>(&message);
  const auto* accepted = std::get_if<quorum::Accepted>(&message);
  const auto* granted = std::get_if<quorum::Granted>(&message);
  const auto* recovered = std::get_if<quorum::Recovered>(&message);
  return std::holds_alternative<quorum::Holds>(message) || (promise != nullptr && promise->given) ||
         (accepted != nullptr && accepted->done) || (granted != nullptr && granted->given) ||
         (recovered != nullptr && recovered->given);
}

/// Of a member to one that lost its disk: all that it holds itself.
inline bool tells_all(const quorum::Message& message) {
  const auto* told = std::get_if<quorum::Recovered>(&message);
  return told != nullptr && told->given;
}

}  // namespace woadridge::lab
