#include "proxy/peer_window.h"

#include <algorithm>

namespace woadridge::proxy {
namespace {

constexpr double kMostSize = 64;       // calls of one function out at one home
constexpr double kSlow = 2.5;          // times the usual answer's time: the home has more than it bears ...
constexpr double kSlowLeast = 60'000;  // ... and so much beyond, in microseconds: work varies
constexpr double kUsualWeight = 0.1;   // of a new answer's time in the usual one

}  // namespace

bool PeerWindow::is_slow(double took) const {
  return usual_ > 0 && took > kSlow * usual_ + kSlowLeast;
}

void PeerWindow::ended(Micros now, Micros took, bool served) {
  if (out_ > 0) --out_;
  const auto span = static_cast<double>(took);
  if (!served || is_slow(span)) return shrink(now, span);
  size_ = std::min(kMostSize, size_ + 1 / size_);
  usual_ = usual_ <= 0 ? span : usual_ + (span - usual_) * kUsualWeight;
}

// Once for all that were out together.
void PeerWindow::shrink(Micros now, double took) {
  if (now - shrunk_at_ < static_cast<Micros>(usual_) + static_cast<Micros>(kSlowLeast)) return;
  shrunk_at_ = now;
  size_ = std::max(1.0, size_ / 2);
  usual_ += (std::min(took, 2 * usual_ + kSlowLeast) - usual_) * kUsualWeight;
}

Micros PeerWindow::expected_wait() const {
  const double turn = usual_ / size_;
  return static_cast<Micros>(turn * static_cast<double>(waiting.size() + 1) + usual_);
}

}  // namespace woadridge::proxy
