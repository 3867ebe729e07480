// Of one function at one other home: how many calls may be out there at once, by how soon it answers, and
// what waits for that. Guards a home with a thin link against more calls than it can read: there they would
// stand in front of its news too. No socket, no clock.
#pragma once

#include <cstddef>
#include <deque>

#include "proxy/call.h"

namespace woadridge::proxy {

class PeerWindow {
 public:
  /// `size`: calls that may be out at first.
  explicit PeerWindow(double size) : size_(size) {}

  double size() const { return size_; }
  bool has_room() const { return static_cast<double>(out_) < size_; }
  void begin() { ++out_; }
  /// `took`: microseconds until the call's end. `served`: it was answered, and not with 503.
  void ended(Micros now, Micros took, bool served);
  /// The call's client has left, which says nothing of the home.
  void withdrawn() { out_ -= out_ > 0 ? 1 : 0; }
  /// How long one more that waits has to, in microseconds.
  Micros expected_wait() const;

  std::deque<CallRef> waiting;

 private:
  bool is_slow(double took) const;
  void shrink(Micros now, double took);

  double size_;
  std::size_t out_ = 0;
  double usual_ = 0;  // microseconds that answers take
  Micros shrunk_at_ = 0;
};

}  // namespace woadridge::proxy
