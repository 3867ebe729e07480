#include "chain/replica.h"

#include <algorithm>
#include <limits>

#include "common/frames.h"
#include "text.h"

namespace woadridge::chain {
namespace {

using common::pack;
using common::unpack;

constexpr Micros kPassAgain = 300'000;  // a message may be lost with its connection
constexpr Micros kStuck = 1'200'000;    // a disk that is merely slow has written by then
constexpr Micros kKeepAgain = 200'000;  // after a write that failed
constexpr std::size_t kMostAsked = 64;  // seals and stages that wait for a disk that stands still
// Values staged for views to come. One number is mended from a sealed view, whose links each tell one value,
// so there are never more of them than links.
constexpr std::size_t kMostStaged = 64;
constexpr Micros kNever = std::numeric_limits<Micros>::max();

}  // namespace

Mark mark_of(std::uint64_t version, const std::string& value) {
  return {version, fnv1a(value)};
}

Replica::Replica(const Environment& environment, std::string self, const Rows& kept, std::uint64_t disk,
                 OnForce on_force)
    : environment_(environment), self_(std::move(self)), disk_(disk), on_force_(std::move(on_force)) {
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
  if (auto staged = unpack<std::vector<StagedValue>>(row("chain/staged"))) staged_ = std::move(*staged);
  staged_safe_ = staged_.size();
  read_histories(row("chain/history"), row("chain/staged-histories"));
  safe_ = now_;
  safe_value_ = now_value_;
  safe_history_ = now_history_;
}

// A value whose history isn't there was written by a release without one.
void Replica::read_histories(const std::string& held, const std::string& staged) {
  if (planted(Planted::history_unstored)) return;
  const auto own = unpack<StoredHistory>(held);
  if (own && own->view == now_.view && own->mark == now_.mark) now_history_ = own->history;
  else now_history_ = VersionHistory::unknown_below(now_.mark.version);
  const auto stored = unpack<std::vector<StoredHistory>>(staged).value_or(std::vector<StoredHistory>{});
  for (auto& value : staged_) {
    value.history = VersionHistory::unknown_below(value.mark.version);
    for (const auto& one : stored)
      if (one.view == value.number && one.mark == value.mark) value.history = one.history;
  }
}

std::string Replica::staged_histories() const {
  std::vector<StoredHistory> all;
  for (const auto& value : staged_) all.push_back({value.number, value.mark, value.history});
  return pack(all);
}

const Link* Replica::place() const {
  for (const auto& link : latest_.chain)
    if (link.ip == self_ && (link.disk == disk_ || planted(Planted::blank_link))) return &link;
  return nullptr;
}

bool Replica::acts() const {
  return links() && safe_.view == latest_.number && latest_.number > 0;
}

bool Replica::stuck() const {
  return acts() && !is_tail() && any_passed_ && !(kept_by_next_ == safe_.mark) &&
         environment_.now() - pass_since_ >= kStuck;
}

Bytes Replica::find(const Mark& mark) const {
  if (now_value_ && now_.mark == mark) return now_value_;
  if (safe_value_ && safe_.mark == mark) return safe_value_;
  for (const auto& staged : staged_)
    if (staged.mark == mark) return bytes_of(staged.value);
  return nullptr;
}

void Replica::learn(const View& view) {
  if (view.number <= latest_.number) return;
  latest_ = view;
  lacks_ = false;
  any_passed_ = false;
  if (!links()) {
    std::erase_if(staged_, [&](const StagedValue& staged) { return staged.number <= view.number; });
    staged_safe_ = 0;  // the row is written again with the next stage
    return;
  }
  // A mark alone names no history: in an earlier view other orders may have come before the same one.
  const auto is_base = [&](const Held& held) {
    return held.mark == view.base && (held.view + 1 == view.number || planted(Planted::base_by_mark));
  };
  if (view.base.version == 0) return begin({}, nullptr, {});
  if (is_base(now_)) return begin(view.base, now_value_, now_history_);
  if (is_base(safe_)) return begin(view.base, safe_value_, safe_history_);
  if (const StagedValue* staged = staged_for(view); staged != nullptr)
    return begin(view.base, bytes_of(staged->value), VersionHistory(staged->history));
  lacks_ = true;
}

const Replica::StagedValue* Replica::staged_for(const View& view) const {
  for (const auto& staged : staged_)
    if (staged.number == view.number && staged.mark == view.base) return &staged;
  return nullptr;
}

void Replica::supply(const Mark& mark, const Bytes& value) {
  if (!lacks_ || !(mark == latest_.base)) return;
  lacks_ = false;
  begin(mark, value, VersionHistory::unknown_below(mark.version));
}

void Replica::begin(const Mark& base, const Bytes& value, const VersionHistory& history) {
  acted_ = latest_;
  now_ = {latest_.number, base, false};
  now_value_ = value;
  now_history_ = history;
  std::erase_if(staged_, [&](const StagedValue& staged) { return staged.number <= latest_.number; });
  staged_safe_ = 0;
  kept_by_next_ = told_kept_ = base;  // each link begins with it
  keep();
}

void Replica::keep() {
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
  rows["chain/history"] = pack(StoredHistory{now_.view, now_.mark, now_history_});
  if (staged_safe_ != staged_.size() || staged_.empty()) {
    rows["chain/staged"] = pack(staged_);
    rows["chain/staged-histories"] = staged_histories();
  }
  keep_again_ = kNever;
  const auto done = [this, number, held = now_, value = now_value_, history = now_history_,
                     staged = staged_](bool good) {
    if (!good) {
      keep_again_ = environment_.now() + kKeepAgain;
      return;
    }
    // Writes reach the disk in their order: one that is told late is covered by a later one that was told.
    if (number > safe_write_ || planted(Planted::disk_goes_back)) {
      safe_write_ = number;
      safe_ = held;
      safe_value_ = value;
      safe_history_ = history;
    }
    if (value_write_ <= number) value_write_ = 0;
    const auto same = [](const StagedValue& a, const StagedValue& b) {
      return a.number == b.number && a.mark == b.mark;
    };
    if (staged.size() <= staged_.size() && std::equal(staged.begin(), staged.end(), staged_.begin(), same))
      staged_safe_ = std::max(staged_safe_, staged.size());
    advance();
  };
  if (planted(Planted::before_sync)) {
    done(true);
    environment_.write(std::move(rows), [](bool) {});
    return;
  }
  environment_.write(std::move(rows), done);
}

// What follows from what the disk has now.
void Replica::advance() {
  std::erase_if(seals_, [&](const Asked& a) {
    const bool tells = safe_.sealed || planted(Planted::seal_forgotten) || planted(Planted::unsealed_tells);
    if (safe_.view != a.number || !tells) return safe_.view > a.number;
    Sealed answer{a.round, disk_, true, safe_.mark, {}, {}};
    if (!planted(Planted::history_unsealed)) answer.history = safe_history_;
    if (safe_value_ && !(a.mark == safe_.mark)) answer.value = *safe_value_;
    environment_.post(a.from, std::move(answer));
    return true;
  });
  std::erase_if(stages_, [&](const Asked& a) {
    for (std::size_t i = 0; i < staged_safe_ && i < staged_.size(); ++i) {
      if (staged_[i].number != a.number || !(staged_[i].mark == a.mark)) continue;
      environment_.post(a.from, Staged{a.round, disk_});
      return true;
    }
    return false;
  });
  if (!acts() || safe_.mark.version == 0) return;
  const std::size_t at = index();
  if (at > 0 && !(told_kept_ == safe_.mark)) {
    told_kept_ = safe_.mark;
    environment_.post(latest_.chain[at - 1].ip, Kept{safe_.view, safe_.mark});
  }
  if (at + 1 < latest_.chain.size()) {
    if (!(any_passed_ && passed_ == safe_.mark)) pass();
  } else if (!(confirmed_ == safe_.mark)) {
    confirmed_ = safe_.mark;
    on_force_(safe_.mark, safe_value_);
  }
}

std::size_t Replica::index() const {
  std::size_t at = 0;
  while (latest_.chain[at].ip != self_) ++at;
  return at;
}

void Replica::pass() {
  if (kept_by_next_ == safe_.mark) return;
  if (!any_passed_ || kept_by_next_ == passed_) pass_since_ = environment_.now();
  passed_ = safe_.mark;
  any_passed_ = true;
  pass_again_ = environment_.now() + kPassAgain;
  environment_.post(latest_.chain[index() + 1].ip, Pass{safe_.view, safe_.mark, *safe_value_, safe_history_});
}

bool Replica::accept(const Mark& mark, Bytes value) {
  if (!is_head() || now_.view != latest_.number) return false;
  if (mark.version <= now_.mark.version && !planted(Planted::any_version)) return true;
  if (now_.sealed && !planted(Planted::sealed_accepts)) return false;
  now_history_.add(now_.mark);
  now_.mark = mark;
  now_value_ = std::move(value);
  keep();
  return true;
}

void Replica::receive(const std::string& from, Pass& message) {
  if (!acts() || message.view != latest_.number || now_.view != latest_.number) return;
  if (message.mark == now_.mark) {
    if (safe_.mark == now_.mark) environment_.post(from, Kept{safe_.view, safe_.mark});
    return;
  }
  if (now_.sealed && !planted(Planted::sealed_accepts)) return;
  if (message.mark.version <= now_.mark.version && !planted(Planted::any_version)) return;
  now_.mark = message.mark;
  now_value_ = bytes_of(std::move(message.value));
  now_history_ = std::move(message.history);
  keep();
}

void Replica::receive(const std::string& from, const Kept& message) {
  if (!acts() || message.view != safe_.view || is_tail() || latest_.chain[index() + 1].ip != from) return;
  kept_by_next_ = message.mark;
  pass_since_ = environment_.now();
}

void Replica::receive(const std::string& from, const Seal& message) {
  learn(message.of);
  if (latest_.number != message.of.number || lacks_ || seals_.size() >= kMostAsked) return;
  if (!links()) {
    environment_.post(from, Sealed{message.round, disk_, false, {}, {}, {}});
    return;
  }
  std::erase_if(seals_, [&](const Asked& a) { return a.from == from; });
  seals_.push_back({from, message.round, message.of.number, message.have});
  if (!std::exchange(now_.sealed, !planted(Planted::unsealed_tells)) && !planted(Planted::seal_forgotten))
    return keep();
  advance();
}

void Replica::receive(const std::string& from, Stage& message) {
  if (message.number <= latest_.number || stages_.size() >= kMostAsked) return;
  if (staged_.size() >= kMostStaged) return;  // none is dropped that may have been told as kept
  std::erase_if(stages_, [&](const Asked& a) { return a.from == from; });
  if (planted(Planted::stage_unsynced)) environment_.post(from, Staged{message.round, disk_});
  stages_.push_back({from, message.round, message.number, message.mark});
  const bool there = std::any_of(staged_.begin(), staged_.end(), [&](const StagedValue& staged) {
    return staged.number == message.number && staged.mark == message.mark;
  });
  if (!there)
    staged_.push_back({message.number, message.mark, std::move(message.value), std::move(message.history)});
  if (there && staged_safe_ == staged_.size()) return advance();
  keep();
}

void Replica::tick() {
  if (environment_.now() >= keep_again_) keep();
  if (!std::exchange(resumed_, true)) advance();
  if (acts() && !is_tail() && any_passed_ && environment_.now() >= pass_again_) pass();
}

Micros Replica::due() const {
  Micros at = keep_again_;
  if (acts() && !is_tail() && any_passed_ && !(kept_by_next_ == safe_.mark)) at = std::min(at, pass_again_);
  return at;
}

}  // namespace woadridge::chain
