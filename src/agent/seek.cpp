#include "agent/seek.h"

#include <algorithm>

namespace woadridge::agent {
namespace {

constexpr Millis kShunEnded = 300;  // a process that was killed is back about then, at the same place
// Others name a frozen holder for as long as they have heard of it lately; a whole patience has passed
// already.
constexpr Millis kShunSilent = 600;
// One that is gone for good costs a whole patience at each turn: meanwhile those that answer are asked.
// Doubled with each time in a row.
constexpr Millis kRestAbsent = 3000, kLongestRest = 24'000;
// One that refuses costs nothing, but where all others are silent it would be the only one that is asked.
constexpr Millis kRestEnded = 1000;
constexpr int kMostHops = 4;  // two that name each other would be asked without a pause for ever

}  // namespace

Seek::Known* Seek::find(const Endpoint& place) {
  const auto at =
      std::find_if(known_.begin(), known_.end(), [&](const Known& k) { return k.place == place; });
  return at == known_.end() ? nullptr : &*at;
}

Seek::Known& Seek::learn(const Endpoint& place) {
  if (auto* known = find(place)) return *known;
  if (known_.size() >= kMostKnown) known_.erase(known_.begin());  // the one that was named longest ago
  return known_.emplace_back(Known{place});
}

void Seek::seeds(const std::vector<Endpoint>& links) {
  std::vector<Endpoint> order = links;
  std::shuffle(order.begin(), order.end(), random_);  // not all agents begin with the same machine
  for (const auto& place : order) learn(place).named = true;
}

void Seek::core(const std::vector<std::string>& links) {
  std::vector<Endpoint> members;
  for (const auto& link : links)
    if (const auto place = common::read_endpoint(link)) members.push_back(place.value());
  if (members.empty()) return;
  std::erase_if(known_, [&](const Known& k) {
    return !k.named && std::find(members.begin(), members.end(), k.place) == members.end();
  });
  for (auto& known : known_) known.member = false;
  for (const auto& place : members) learn(place).member = true;
}

// Of those that rest, none before the others, and each in its turn. Of the others after a silence a member of
// the core, as one of them has said; where the holder is named that just failed, one that answers: a machine
// that is gone would cost more than the wait for the holder.
std::tuple<bool, bool, Millis> Seek::turn(const Known& known, Millis now) const {
  const bool rests = now < known.rests_until || (holder_failed_ && known.absences > 0);
  return {rests, !rests && silences_ > 0 && !known.member, known.tried};
}

std::optional<Endpoint> Seek::pick(Millis now) {
  if (known_.empty()) return std::nullopt;
  Known* next = toward_ ? find(*toward_) : nullptr;
  toward_.reset();
  if (!next)
    next = &*std::min_element(known_.begin(), known_.end(),
                              [&](const Known& a, const Known& b) { return turn(a, now) < turn(b, now); });
  holder_failed_ = false;
  next->tried = now;
  asked_ = next->place;
  return asked_;
}

void Seek::news() {
  if (auto* here = asked_ ? find(*asked_) : nullptr) here->answered();
  pause_ = kFirstPause;
  patience_ = least_patience_;
  hops_ = 0;
  silences_ = 0;
}

Millis Seek::elsewhere(Millis now, const std::string& holder) {
  const auto place = common::read_endpoint(holder);
  silences_ = 0;
  if (auto* here = asked_ ? find(*asked_) : nullptr) {
    here->tried = now;
    here->answered();
  }
  if (!place || place.value() == asked_) return pause();
  // What is heard of goes to the end of the list: the one that leaves it is the one named longest ago.
  Known holder_known = learn(place.value());
  std::erase_if(known_, [&](const Known& k) { return k.place == holder_known.place; });
  known_.push_back(holder_known);
  holder_failed_ = now < holder_known.no_way_until;
  if (holder_failed_ || ++hops_ > kMostHops) return pause();
  toward_ = place.value();
  return 0;
}

Millis Seek::failed(Millis now, Loss how) {
  if (auto* here = asked_ ? find(*asked_) : nullptr) {
    here->tried = now;
    here->no_way_until = now + (how == Loss::silent ? kShunSilent : kShunEnded);
    here->rests_until = now + rest_after(*here, how);
  }
  // Nobody at all answers in time: the machines are slow, and hanging up on them makes them slower.
  if (how == Loss::silent && ++silences_ > known_.size()) patience_ = longest_patience();
  return pause();
}

Millis Seek::rest_after(Known& known, Loss how) const {
  if (how != Loss::ended) {
    const Millis rest = kRestAbsent << known.absences;
    if (rest < kLongestRest) ++known.absences;
    return std::min(rest, kLongestRest);
  }
  known.absences = 0;
  const bool any_absent =
      std::any_of(known_.begin(), known_.end(), [](const Known& k) { return k.absences > 0; });
  return any_absent ? kRestEnded : 0;
}

Millis Seek::pause() {
  hops_ = 0;
  const Millis base = pause_;
  pause_ = std::min(pause_ * 8 / 5, kLongestPause);
  return std::uniform_int_distribution<Millis>(base * 3 / 4, base * 5 / 4)(random_);
}

}  // namespace woadridge::agent
