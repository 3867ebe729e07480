#include "hoist/seat.h"

#include <algorithm>
#include <limits>

#include "text.h"
#include "toolbox/frames.h"

namespace woadridge::hoist {
namespace {

using toolbox::pack;
using toolbox::unpack;

constexpr Micros kPassAgain = 300'000;  // a word may be lost with its connection
constexpr Micros kStuck = 1'200'000;    // a disk that is merely slow has written by then
constexpr Micros kKeepAgain = 200'000;  // after a write that failed
constexpr std::size_t kMostAsked = 64;  // seals and stages that wait for a disk that stands still
constexpr Micros kNever = std::numeric_limits<Micros>::max();

}  // namespace

Mark mark_of(std::uint64_t version, const std::string& value) {
  return {version, fnv1a(value)};
}

Seat::Seat(const Hands& hands, std::string self, const Rows& kept, std::uint64_t disk, OnForce on_force)
    : hands_(hands), self_(std::move(self)), disk_(disk), on_force_(std::move(on_force)) {
  const auto row = [&](const char* name) {
    const auto at = kept.find(name);
    return at == kept.end() ? std::string() : at->second;
  };
  const auto held = unpack<Held>(row("chain/held"));
  const std::string value = row("chain/value");
  // Guards against rows that don't belong together: such a disk is taken for a lost one.
  if (held && held->mark.version > 0 && fnv1a(value) != held->mark.digest) return;
  const auto old = unpack<std::uint64_t>(row("chain/disk"));
  if (!old) return;
  disk_ = *old;
  keep_again_ = kNever;
  if (const auto view = unpack<View>(row("chain/view"))) acted_ = latest_ = *view;
  if (held) now_ = *held;
  if (now_.mark.version > 0) now_value_ = bytes_of(value);
  safe_ = now_;
  safe_value_ = now_value_;
  if (auto staged = unpack<std::vector<Kit>>(row("chain/staged"))) staged_ = std::move(*staged);
  staged_safe_ = staged_.size();
}

const Link* Seat::place() const {
  for (const auto& link : latest_.chain)
    if (link.ip == self_ && (link.disk == disk_ || planted(Planted::blank_link))) return &link;
  return nullptr;
}

bool Seat::acts() const {
  return links() && safe_.view == latest_.number && latest_.number > 0;
}

bool Seat::stuck() const {
  return acts() && !is_tail() && any_passed_ && !(kept_by_next_ == safe_.mark) &&
         hands_.now() - pass_since_ >= kStuck;
}

Bytes Seat::find(const Mark& mark) const {
  if (now_value_ && now_.mark == mark) return now_value_;
  if (safe_value_ && safe_.mark == mark) return safe_value_;
  for (const auto& kit : staged_)
    if (kit.mark == mark) return bytes_of(kit.value);
  return nullptr;
}

void Seat::learn(const View& view) {
  if (view.number <= latest_.number) return;
  latest_ = view;
  lacks_ = false;
  any_passed_ = false;
  if (!links()) {
    std::erase_if(staged_, [&](const Kit& kit) { return kit.number <= view.number; });
    staged_safe_ = 0;  // the row is written again with the next stage
    return;
  }
  const Bytes value = find(view.base);
  lacks_ = view.base.version > 0 && !value;
  if (!lacks_) begin(view.base, value);
}

void Seat::supply(const Mark& mark, const Bytes& value) {
  if (!lacks_ || !(mark == latest_.base)) return;
  lacks_ = false;
  begin(mark, value);
}

void Seat::begin(const Mark& base, const Bytes& value) {
  acted_ = latest_;
  now_ = {latest_.number, base, false};
  now_value_ = value;
  std::erase_if(staged_, [&](const Kit& kit) { return kit.number <= latest_.number; });
  staged_safe_ = 0;
  kept_by_next_ = told_kept_ = base;  // each link begins with it
  keep();
}

void Seat::keep() {
  Rows rows;
  rows["chain/disk"] = pack(disk_);
  rows["chain/view"] = pack(acted_);
  rows["chain/held"] = pack(now_);
  const std::uint64_t number = ++writes_;
  // A write that failed, or that a later one goes together with, may have left another value there.
  if ((!(now_.mark == safe_.mark) || value_write_ != 0) && now_value_) {
    rows["chain/value"] = *now_value_;
    value_write_ = number;
  }
  if (staged_safe_ != staged_.size() || staged_.empty()) rows["chain/staged"] = pack(staged_);
  keep_again_ = kNever;
  const auto done = [this, number, held = now_, value = now_value_, staged = staged_](bool good) {
    if (!good) {
      keep_again_ = hands_.now() + kKeepAgain;
      return;
    }
    safe_ = held;
    safe_value_ = value;
    if (value_write_ <= number) value_write_ = 0;
    const auto same = [](const Kit& a, const Kit& b) { return a.number == b.number && a.mark == b.mark; };
    if (staged.size() <= staged_.size() && std::equal(staged.begin(), staged.end(), staged_.begin(), same))
      staged_safe_ = std::max(staged_safe_, staged.size());
    advance();
  };
  if (planted(Planted::before_sync)) {
    done(true);
    hands_.write(std::move(rows), [](bool) {});
    return;
  }
  hands_.write(std::move(rows), done);
}

// What follows from what the disk has now.
void Seat::advance() {
  std::erase_if(seals_, [&](const Asked& a) {
    const bool tells = safe_.sealed || planted(Planted::seal_forgotten) || planted(Planted::unsealed_tells);
    if (safe_.view != a.number || !tells) return safe_.view > a.number;
    Sealed answer{a.round, true, safe_.mark, {}};
    if (safe_value_ && !(a.mark == safe_.mark)) answer.value = *safe_value_;
    hands_.post(a.from, std::move(answer));
    return true;
  });
  std::erase_if(stages_, [&](const Asked& a) {
    for (std::size_t i = 0; i < staged_safe_ && i < staged_.size(); ++i) {
      if (staged_[i].number != a.number || !(staged_[i].mark == a.mark)) continue;
      hands_.post(a.from, Staged{a.round});
      return true;
    }
    return false;
  });
  if (!acts() || safe_.mark.version == 0) return;
  const std::size_t at = index();
  if (at > 0 && !(told_kept_ == safe_.mark)) {
    told_kept_ = safe_.mark;
    hands_.post(latest_.chain[at - 1].ip, Kept{safe_.view, safe_.mark});
  }
  if (at + 1 < latest_.chain.size()) {
    if (!(any_passed_ && passed_ == safe_.mark)) pass();
  } else if (!(confirmed_ == safe_.mark)) {
    confirmed_ = safe_.mark;
    on_force_(safe_.mark, safe_value_);
  }
}

std::size_t Seat::index() const {
  std::size_t at = 0;
  while (latest_.chain[at].ip != self_) ++at;
  return at;
}

void Seat::pass() {
  if (kept_by_next_ == safe_.mark) return;
  if (!any_passed_ || kept_by_next_ == passed_) pass_since_ = hands_.now();
  passed_ = safe_.mark;
  any_passed_ = true;
  pass_again_ = hands_.now() + kPassAgain;
  hands_.post(latest_.chain[index() + 1].ip, Pass{safe_.view, safe_.mark, *safe_value_});
}

bool Seat::accept(const Mark& mark, Bytes value) {
  if (!is_head() || now_.view != latest_.number) return false;
  if (mark.version <= now_.mark.version && !planted(Planted::any_version)) return true;
  if (now_.sealed && !planted(Planted::sealed_accepts)) return false;
  now_.mark = mark;
  now_value_ = std::move(value);
  keep();
  return true;
}

void Seat::hear(const std::string& from, Pass& word) {
  if (!acts() || word.view != latest_.number || now_.view != latest_.number) return;
  if (word.mark == now_.mark) {
    if (safe_.mark == now_.mark) hands_.post(from, Kept{safe_.view, safe_.mark});
    return;
  }
  if (now_.sealed && !planted(Planted::sealed_accepts)) return;
  if (word.mark.version <= now_.mark.version && !planted(Planted::any_version)) return;
  now_.mark = word.mark;
  now_value_ = bytes_of(std::move(word.value));
  keep();
}

void Seat::hear(const std::string& from, const Kept& word) {
  if (!acts() || word.view != safe_.view || is_tail() || latest_.chain[index() + 1].ip != from) return;
  kept_by_next_ = word.mark;
  pass_since_ = hands_.now();
}

void Seat::hear(const std::string& from, const Seal& word) {
  learn(word.of);
  if (latest_.number != word.of.number || lacks_ || seals_.size() >= kMostAsked) return;
  if (!links()) {
    hands_.post(from, Sealed{word.round, false, {}, {}});
    return;
  }
  std::erase_if(seals_, [&](const Asked& a) { return a.from == from; });
  seals_.push_back({from, word.round, word.of.number, word.have});
  if (!std::exchange(now_.sealed, !planted(Planted::unsealed_tells)) && !planted(Planted::seal_forgotten))
    return keep();
  advance();
}

void Seat::hear(const std::string& from, Stage& word) {
  if (word.number <= latest_.number || stages_.size() >= kMostAsked) return;
  std::erase_if(stages_, [&](const Asked& a) { return a.from == from; });
  stages_.push_back({from, word.round, word.number, word.mark});
  const bool there = std::any_of(staged_.begin(), staged_.end(), [&](const Kit& kit) {
    return kit.number == word.number && kit.mark == word.mark;
  });
  if (!there) staged_.push_back({word.number, word.mark, std::move(word.value)});
  if (there && staged_safe_ == staged_.size()) return advance();
  keep();
}

void Seat::tick() {
  if (hands_.now() >= keep_again_) keep();
  if (!std::exchange(resumed_, true)) advance();
  if (acts() && !is_tail() && any_passed_ && hands_.now() >= pass_again_) pass();
}

Micros Seat::due() const {
  Micros at = keep_again_;
  if (acts() && !is_tail() && any_passed_ && !(kept_by_next_ == safe_.mark)) at = std::min(at, pass_again_);
  return at;
}

}  // namespace woadridge::hoist
