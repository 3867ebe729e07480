#include "agent/link.h"

#include <algorithm>

#include "agent/planted.h"

namespace woadridge::agent {
namespace {

constexpr Millis kNothingNew = 200;      // a holder that answers at once with nothing isn't asked in a loop
constexpr Millis kStoodStill = 300;      // a timer so late: this process stood still, not the other
constexpr Millis kUnreachable = 700;     // a connection that ends only now was given up by this machine
constexpr Millis kLeastOfPause = 8;      // the part of it that is waited for also after a silence
constexpr Millis kLeastPatience = 1300;  // the holder answers within a second, and the way takes some

}  // namespace

Millis patience_of(std::uint32_t contact_ms) {
  return std::clamp<Millis>(static_cast<Millis>(contact_ms) * 9 / 20, kLeastPatience, Seek::kPatience);
}

Link::Act Link::tick(Millis now) {
  if (!up_) {
    if (now < dial_at_) return Act::nothing;
    const auto place = seek_.pick(now);
    if (!place) {  // the settings name nobody, for now
      dial_at_ = now + Seek::kLongestPause;
      return Act::nothing;
    }
    place_ = *place;
    up_ = true;
    linked_ = false;
    dialed_at_ = now;
    asked(now);
    return Act::dial;
  }
  if (!waits_) {
    if (now < ask_at_) return Act::nothing;
    asked(now);
    return Act::ask;
  }
  if (now < answer_by_ || planted(Planted::stays_with_silent)) return Act::nothing;
  if (now > answer_by_ + kStoodStill) {
    answer_by_ = now + kStoodStill;
    return Act::nothing;
  }
  down(now, seek_.failed(now, Seek::Loss::silent));
  return Act::hang_up;
}

Millis Link::due() const {
  if (!up_) return dial_at_;
  return waits_ ? answer_by_ : ask_at_;
}

void Link::asked(Millis now) {
  waits_ = true;
  asked_at_ = now;
  answer_by_ = now + seek_.patience();
}

void Link::ask_now(Millis now) {
  if (!up_) return;
  waits_ = false;
  ask_at_ = now;
}

void Link::dial_now(Millis now) {
  if (!up_) dial_at_ = now;
}

void Link::news(Millis now, bool new_to_us) {
  if (!up_) return;
  linked_ = true;
  seek_.news();
  waits_ = false;
  ask_at_ = new_to_us ? now : std::max(now, asked_at_ + kNothingNew);
}

void Link::elsewhere(Millis now, const std::string& holder) {
  if (up_) down(now, seek_.elsewhere(now, holder));
}

void Link::ended(Millis now) {
  if (!up_) return;
  const bool unreachable = waits_ && now - asked_at_ >= kUnreachable;
  down(now, seek_.failed(now, unreachable ? Seek::Loss::unreachable : Seek::Loss::ended));
}

void Link::down(Millis now, Millis wait) {
  was_linked_ = linked_;
  up_ = linked_ = waits_ = false;
  // The time that a silent machine has cost is no pause on top: several in a row may be gone for good.
  dial_at_ = std::max(now + wait / kLeastOfPause, std::min(asked_at_, now) + wait);
}

}  // namespace woadridge::agent
