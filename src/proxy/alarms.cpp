#include "proxy/alarms.h"

#include <algorithm>

namespace woadridge::proxy {

void Alarms::at(Micros when, std::function<void()> what) {
  if (stopped_) return;
  dues_.push_back({when, ++orders_, std::move(what)});
  std::push_heap(dues_.begin(), dues_.end());
  arm();
}

void Alarms::arm() {
  if (dues_.empty() || (armed_for_ != 0 && armed_for_ <= dues_.front().at)) return;
  armed_for_ = dues_.front().at;
  timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, armed_for_ - clock_.now())));
  timer_.async_wait([this](net::Fault stopped) {
    if (!stopped) fire();
  });
}

void Alarms::fire() {
  armed_for_ = 0;
  while (!stopped_ && !dues_.empty() && dues_.front().at <= clock_.now()) {
    std::pop_heap(dues_.begin(), dues_.end());
    const auto what = std::move(dues_.back().what);
    dues_.pop_back();
    what();
  }
  if (!stopped_) arm();
}

void Alarms::stop() {
  stopped_ = true;
  dues_.clear();
  timer_.cancel();
}

}  // namespace woadridge::proxy
