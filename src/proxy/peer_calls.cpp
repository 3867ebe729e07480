#include "proxy/peer_calls.h"

#include <algorithm>

namespace woadridge::proxy {
namespace {

constexpr std::size_t kMostKept = 16 * 1024;   // bytes of an answer that is kept for a second asking
constexpr std::size_t kMostCalls = 16 * 1024;  // passings: beyond, the oldest are forgotten early
constexpr std::size_t kRepliesKept = 256;      // the latest

}  // namespace

void PeerCall::reply(Reply reply) {
  answered_ = true;
  if (reply.body.size() <= kMostKept) {
    kept_ = reply;
    all_.kept(shared_from_this());
  }
  if (auto asker = asker_.lock()) asker->reply(std::move(reply));
}

bool PeerCalls::too_old(PassNumber number) const {
  const auto floor = floor_.find(number.sender);
  return floor != floor_.end() && number.count <= floor->second;
}

PeerCalls::CallRef PeerCalls::enter(PassNumber number, Micros until) {
  auto call = std::make_shared<PeerCall>(*this);
  call->until = until;
  calls_[number] = call;
  order_.push_back(number);
  return call;
}

void PeerCalls::kept(CallRef call) {
  kept_.push_back(std::move(call));
  if (kept_.size() <= kRepliesKept) return;
  kept_.front()->forget_reply();
  kept_.pop_front();
}

PeerCalls::CallRef PeerCalls::read(PassNumber number, Micros until, Micros now) {
  forget(now);
  const bool known = calls_.contains(number) || too_old(number);
  if (known && !planted(Planted::pass_taken_twice)) return nullptr;
  return enter(number, until);
}

PeerCalls::Search PeerCalls::find(PassNumber number, Micros until, Micros now) {
  forget(now);
  const auto found = calls_.find(number);
  if (found != calls_.end() && found->second->never_read) return {Found::never_read, nullptr};
  if (found != calls_.end()) return {Found::here, found->second};
  if (too_old(number)) return {Found::unknown, nullptr};
  enter(number, until)->never_read = true;  // what is on its way still is read as a second one
  return {Found::never_read, nullptr};
}

void PeerCalls::forget(Micros now) {
  while (!order_.empty()) {
    const PassNumber number = order_.front();
    if (calls_.at(number)->until > now && order_.size() <= kMostCalls) return;
    calls_.erase(number);
    order_.pop_front();
    auto& floor = floor_[number.sender];
    floor = std::max(floor, number.count);
  }
}

}  // namespace woadridge::proxy
