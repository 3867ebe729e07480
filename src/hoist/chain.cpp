#include "hoist/chain.h"

#include <algorithm>

namespace woadridge::hoist {
namespace {

constexpr Micros kCallAgain = 300'000;  // to the head or the tail: the word or the answer may be lost
constexpr Micros kWantAgain = 200'000;
constexpr std::size_t kMostWaiting = 256;  // puts at a head whose chain stands still; callers ask again

}  // namespace

Chain::Chain(Hands hands, std::string self, const Rows& kept, std::uint64_t seed,
             std::function<bool(const std::vector<Link>&)> enough)
    : hands_(std::move(hands)),
      self_(self),
      chance_(seed),
      seat_(hands_, self, kept, chance_() | 1,
            [this](const Mark& mark, const Bytes& value) { force(mark, value); }),
      mender_(hands_, seat_, self, std::move(enough), chance_) {}

void Chain::view(const View& view) {
  const View before = seat_.view();
  if (view.number <= before.number) return;
  puts_.clear();  // their callers ask the new head
  asks_.clear();
  seat_.learn(view);
  mender_.viewed(before);
  newer(view.chain.empty() ? std::string() : view.chain.front().ip, view.base);
  for (auto& [ticket, call] : calls_) send(ticket, call);
}

void Chain::hear(const std::string& from, const Sign& sign) {
  mender_.hear(from, sign);
  newer(from, sign.newest);
}

void Chain::hear(const std::string& from, Word& word) {
  std::visit([&](auto& w) { hear(from, w); }, word);
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
  call.again = hands_.now() + kCallAgain;
  const auto& chain = seat_.view().chain;
  if (chain.empty()) return;
  if (call.puts) hands_.post(chain.front().ip, Put{ticket, call.mark, *call.value});
  else hands_.post(chain.back().ip, Ask{ticket, known_});
}

void Chain::end(std::uint64_t ticket, bool good, const Mark& mark, const Bytes& value) {
  if (calls_.erase(ticket) != 0) ended_.push_back({ticket, good, mark, value});
}

void Chain::hear(const std::string&, const Taken& word) {
  const auto call = calls_.find(word.ticket);
  if (call == calls_.end()) return;
  end(word.ticket, true, word.mark, word.mark == call->second.mark ? Bytes(call->second.value) : nullptr);
}

void Chain::hear(const std::string&, Told& word) {
  if (!calls_.contains(word.ticket)) return;
  Bytes value = word.mark.version == 0 ? nullptr : word.mark == known_ ? known_value_ : nullptr;
  if (word.mark.version > 0 && !value) {
    if (!(mark_of(word.mark.version, word.value) == word.mark)) return;  // asks again
    value = bytes_of(std::move(word.value));
    learn(word.mark, value);
  }
  end(word.ticket, true, word.mark, value);
}

// ---- at the head and at the tail

void Chain::hear(const std::string& from, Put& word) {
  const Mark mark = word.mark;
  if (puts_.size() >= kMostWaiting || !seat_.accept(mark, bytes_of(std::move(word.value)))) return;
  if (planted(Planted::acked_at_head)) return hands_.post(from, Taken{word.ticket, mark});
  // All that was ever acknowledged is at the head: an answer must not name less as in force.
  const Mark newest = seat_.newest();
  if (known_.version >= newest.version) return look({from, word.ticket, newest, true});
  std::erase_if(puts_, [&](const Waiting& w) { return w.from == from && w.ticket == word.ticket; });
  puts_.push_back({from, word.ticket, newest, true});
}

void Chain::hear(const std::string& from, const Ask& word) {
  if (seat_.is_tail()) look({from, word.ticket, word.have, false});
}

// What is answered from here alone holds only if this machine's view does.
void Chain::look(Waiting asked) {
  if (asks_.size() >= kMostWaiting) return;
  const std::uint64_t ticket = ++looks_;
  asks_[ticket] = std::move(asked);
  if (planted(Planted::old_tail_answers)) looked(ticket, seat_.view());
  else hands_.look(ticket);
}

void Chain::looked(std::uint64_t ticket, const std::optional<View>& in_force) {
  const auto at = asks_.find(ticket);
  if (at == asks_.end()) return;
  const Waiting asked = std::move(at->second);
  asks_.erase(at);
  if (!in_force || in_force->number != seat_.view().number) return;
  if (asked.puts) {
    if (seat_.is_head()) hands_.post(asked.from, Taken{asked.ticket, known_});
    return;
  }
  if (!seat_.is_tail()) return;
  const Mark& mark = seat_.on_disk();
  Told answer{asked.ticket, mark, {}};
  if (mark.version > 0 && !(mark == asked.mark)) answer.value = *seat_.value_on_disk();
  hands_.post(asked.from, std::move(answer));
}

void Chain::force(const Mark& mark, const Bytes& value) {
  learn(mark, value);
  hands_.post({}, Confirm{mark});
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
  if (mark.version <= known_.version && seat_.lacking() == nullptr) return;
  if (mark.version > known_.version) {
    if (const Bytes value = seat_.find(mark)) return learn(mark, value);
  }
  if (mark.version <= wanted_.version && hands_.now() < want_again_) return;
  wanted_ = mark;
  want_from_ = from;
  want();
}

void Chain::want() {
  want_again_ = hands_.now() + kWantAgain;
  if (const Mark* base = seat_.lacking(); base != nullptr) {  // its links hold it
    const auto& chain = seat_.view().chain;
    hands_.post(chain[chance_() % chain.size()].ip, Want{*base});
  }
  if (wanted_.version > known_.version && !want_from_.empty()) hands_.post(want_from_, Want{wanted_});
}

void Chain::hear(const std::string& from, const Want& word) {
  if (from == self_) return;
  if (known_value_ && (known_ == word.mark || (known_.version > word.mark.version && !seat_.find(word.mark))))
    return hands_.post(from, Have{known_, *known_value_});
  if (const Bytes value = seat_.find(word.mark)) hands_.post(from, Have{word.mark, *value});
}

void Chain::hear(const std::string&, Have& word) {
  if (!(mark_of(word.mark.version, word.value) == word.mark)) return;
  const Bytes value = bytes_of(std::move(word.value));
  seat_.supply(word.mark, value);
  learn(word.mark, value);  // only what was named as in force is asked for
}

void Chain::hear(const std::string& from, const Seal& word) {
  view(word.of);
  seat_.hear(from, word);
}

// ---- time

void Chain::tick() {
  const Micros now = hands_.now();
  seat_.tick();
  mender_.tick();
  std::vector<std::uint64_t> late;
  for (auto& [ticket, call] : calls_) {
    if (now >= call.until) late.push_back(ticket);
    else if (now >= call.again) send(ticket, call);
  }
  for (const auto ticket : late) end(ticket, false, {}, nullptr);
  const bool wants = seat_.lacking() != nullptr || wanted_.version > known_.version;
  if (wants && now >= want_again_) want();
}

Micros Chain::due() const {
  Micros at = std::min(seat_.due(), mender_.due());
  for (const auto& [ticket, call] : calls_) at = std::min({at, call.until, call.again});
  if (seat_.lacking() != nullptr || wanted_.version > known_.version) at = std::min(at, want_again_);
  return at;
}

}  // namespace woadridge::hoist
