#include "chain/chain.h"

#include <algorithm>

namespace woadridge::chain {
namespace {

constexpr Micros kCallAgain = 300'000;  // to the head or the tail: the message or the answer may be lost
constexpr Micros kWantAgain = 200'000;
constexpr std::size_t kMostWaiting = 256;  // puts at a head whose chain stands still; callers ask again

}  // namespace

Chain::Chain(Environment environment, std::string self, const Rows& kept, std::uint64_t seed,
             std::function<bool(const std::vector<Link>&)> enough)
    : environment_(std::move(environment)),
      self_(self),
      chance_(seed),
      replica_(environment_, self, kept, chance_() | 1,
               [this](const Mark& mark, const Bytes& value) { force(mark, value); }),
      view_manager_(environment_, replica_, self, std::move(enough), chance_) {}

void Chain::view(const View& view) {
  const View before = replica_.view();
  if (view.number <= before.number) return;
  puts_.clear();  // their callers ask the new head
  asks_.clear();
  replica_.learn(view);
  view_manager_.viewed(before);
  newer(view.chain.empty() ? std::string() : view.chain.front().ip, view.base);
  for (auto& [ticket, call] : calls_) send(ticket, call);
}

void Chain::receive(const std::string& from, const Sign& sign) {
  view_manager_.receive(from, sign);
  newer(from, sign.newest);
}

void Chain::receive(const std::string& from, Message& message) {
  std::visit([&](auto& w) { receive(from, w); }, message);
}

// ---- calls of this machine

void Chain::put(std::uint64_t ticket, std::uint64_t version, const Bytes& value, Micros until) {
  Call& call = calls_[ticket] = {true, mark_of(version, *value), value, until, 0};
  send(ticket, call);
}

void Chain::read(std::uint64_t ticket, Micros until) {
  Call& call = calls_[ticket] = {false, {}, nullptr, until, 0};
  send(ticket, call);
}

void Chain::send(std::uint64_t ticket, Call& call) {
  call.again = environment_.now() + kCallAgain;
  const auto& chain = replica_.view().chain;
  if (chain.empty()) return;
  if (call.puts) environment_.post(chain.front().ip, Put{ticket, call.mark, *call.value});
  else environment_.post(chain.back().ip, Ask{ticket, known_});
}

void Chain::end(std::uint64_t ticket, bool good, const Mark& mark, const Bytes& value) {
  if (calls_.erase(ticket) != 0) ended_.push_back({ticket, good, mark, value});
}

void Chain::receive(const std::string&, const Taken& message) {
  const auto call = calls_.find(message.ticket);
  if (call == calls_.end()) return;
  end(message.ticket, true, message.mark,
      message.mark == call->second.mark ? Bytes(call->second.value) : nullptr);
}

void Chain::receive(const std::string&, Told& message) {
  if (!calls_.contains(message.ticket)) return;
  Bytes value = message.mark.version == 0 ? nullptr : message.mark == known_ ? known_value_ : nullptr;
  if (message.mark.version > 0 && !value) {
    if (!(mark_of(message.mark.version, message.value) == message.mark)) return;  // asks again
    value = bytes_of(std::move(message.value));
    learn(message.mark, value);
  }
  end(message.ticket, true, message.mark, value);
}

// ---- at the head and at the tail

void Chain::receive(const std::string& from, Put& message) {
  const Mark mark = message.mark;
  if (puts_.size() >= kMostWaiting || !replica_.accept(mark, bytes_of(std::move(message.value)))) return;
  if (planted(Planted::acked_at_head)) return environment_.post(from, Taken{message.ticket, mark});
  // All that was ever acknowledged is at the head: an answer must not name less as in force.
  const Mark newest = replica_.newest();
  if (known_.version >= newest.version) return look({from, message.ticket, newest, true});
  std::erase_if(puts_, [&](const Waiting& w) { return w.from == from && w.ticket == message.ticket; });
  puts_.push_back({from, message.ticket, newest, true});
}

void Chain::receive(const std::string& from, const Ask& message) {
  if (replica_.is_tail()) look({from, message.ticket, message.have, false});
}

// What is answered from here alone holds only if this machine's view does.
void Chain::look(Waiting asked) {
  if (asks_.size() >= kMostWaiting) return;
  const std::uint64_t ticket = ++looks_;
  asks_[ticket] = std::move(asked);
  if (planted(Planted::old_tail_answers)) looked(ticket, replica_.view());
  else environment_.look(ticket);
}

void Chain::looked(std::uint64_t ticket, const std::optional<View>& in_force) {
  const auto at = asks_.find(ticket);
  if (at == asks_.end()) return;
  const Waiting asked = std::move(at->second);
  asks_.erase(at);
  if (!in_force || in_force->number != replica_.view().number) return;
  if (asked.puts) {
    if (replica_.is_head()) environment_.post(asked.from, Taken{asked.ticket, known_});
    return;
  }
  if (!replica_.is_tail()) return;
  const Mark& mark = replica_.on_disk();
  Told answer{asked.ticket, mark, {}};
  if (mark.version > 0 && !(mark == asked.mark)) answer.value = *replica_.value_on_disk();
  environment_.post(asked.from, std::move(answer));
}

void Chain::force(const Mark& mark, const Bytes& value) {
  learn(mark, value);
  environment_.post({}, Confirm{mark});
}

// ---- what is in force

void Chain::learn(const Mark& mark, const Bytes& value) {
  if (mark.version <= known_.version) return;
  known_ = mark;
  known_value_ = value;
  learned_.push_back(value);
  std::erase_if(puts_, [&](Waiting& w) {
    if (w.mark.version > mark.version) return false;
    look(std::move(w));
    return true;
  });
}

void Chain::newer(const std::string& from, const Mark& mark) {
  if (mark.version <= known_.version && replica_.lacking() == nullptr) return;
  if (mark.version > known_.version) {
    if (const Bytes value = replica_.find(mark)) return learn(mark, value);
  }
  if (mark.version <= wanted_.version && environment_.now() < want_again_) {
    if (mark == wanted_) want_from_ = from;  // whoever named it first may be gone
    return;
  }
  wanted_ = mark;
  want_from_ = from;
  want();
}

void Chain::want() {
  want_again_ = environment_.now() + kWantAgain;
  if (const Mark* base = replica_.lacking(); base != nullptr) {  // its links hold it
    const auto& chain = replica_.view().chain;
    environment_.post(chain[chance_() % chain.size()].ip, Want{*base});
  }
  if (wanted_.version > known_.version && !want_from_.empty()) environment_.post(want_from_, Want{wanted_});
}

void Chain::receive(const std::string& from, const Want& message) {
  if (from == self_) return;
  if (known_value_ &&
      (known_ == message.mark || (known_.version > message.mark.version && !replica_.find(message.mark))))
    return environment_.post(from, Have{known_, *known_value_});
  if (const Bytes value = replica_.find(message.mark)) environment_.post(from, Have{message.mark, *value});
}

void Chain::receive(const std::string&, Have& message) {
  if (!(mark_of(message.mark.version, message.value) == message.mark)) return;
  const Bytes value = bytes_of(std::move(message.value));
  replica_.supply(message.mark, value);
  learn(message.mark, value);  // only what was named as in force is asked for
}

void Chain::receive(const std::string& from, const Seal& message) {
  view(message.of);
  replica_.receive(from, message);
}

// ---- time

void Chain::tick() {
  const Micros now = environment_.now();
  replica_.tick();
  view_manager_.tick();
  std::vector<std::uint64_t> late;
  for (auto& [ticket, call] : calls_) {
    if (now >= call.until) late.push_back(ticket);
    else if (now >= call.again) send(ticket, call);
  }
  for (const auto ticket : late) end(ticket, false, {}, nullptr);
  const bool wants = replica_.lacking() != nullptr || wanted_.version > known_.version;
  if (wants && now >= want_again_) want();
}

Micros Chain::due() const {
  Micros at = std::min(replica_.due(), view_manager_.due());
  for (const auto& [ticket, call] : calls_) at = std::min({at, call.until, call.again});
  if (replica_.lacking() != nullptr || wanted_.version > known_.version) at = std::min(at, want_again_);
  return at;
}

}  // namespace woadridge::chain
