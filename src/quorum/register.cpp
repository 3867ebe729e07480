#include "quorum/register.h"

#include <algorithm>

#include "common/frames.h"
#include "quorum/planted.h"

namespace woadridge::quorum {
namespace {

constexpr Micros kAskAgain = 250'000;   // a message may be lost with its connection
constexpr Micros kStragglers = 60'000;  // a read waits so long for all to agree before it takes a full round
constexpr Micros kRest = 12'000;        // after a conflict, doubled with each up to sixteen times, drawn

Ballot ballot_in(const std::string& row, Ballot& accepted) {
  const auto pair = common::unpack<std::pair<Ballot, Ballot>>(row);
  if (!pair) return {};
  accepted = pair->second;
  return pair->first;
}

}  // namespace

void Register::load(const Rows& kept) {
  if (const auto at = kept.find("ballots/" + name_); at != kept.end())
    now_.promised = ballot_in(at->second, now_.accepted);
  if (const auto at = kept.find("value/" + name_); at != kept.end() && now_.accepted)
    now_.value = bytes_of(at->second);
  safe_ = now_;
}

// A write that failed leaves the earlier one's value unsafe: the next one that succeeds must carry it.
Rows Register::rows() const {
  Rows rows;
  rows["ballots/" + name_] = common::pack(std::pair(now_.promised, now_.accepted));
  if (now_.value != safe_.value && now_.value) rows["value/" + name_] = *now_.value;
  return rows;
}

void Register::kept(const Held& held) {
  if (held.promised > safe_.promised) safe_.promised = held.promised;
  if (held.accepted >= safe_.accepted) {
    safe_.accepted = held.accepted;
    safe_.value = held.value;
  }
}

bool Register::promise(const Ballot& ballot, std::uint64_t round) {
  if (ballot < now_.promised || (ballot == now_.promised && round != promised_round_)) return false;
  now_.promised = ballot;
  promised_round_ = round;
  return true;
}

bool Register::accept(const Ballot& ballot, Bytes value) {
  if (ballot < now_.promised) return false;
  if (ballot == now_.accepted) return true;
  now_.promised = now_.accepted = ballot;
  now_.value = std::move(value);
  return true;
}

Operation::Operation(std::uint64_t ticket, Order order, std::string ballots_of, Electorate group)
    : ticket_(ticket),
      order_(std::move(order)),
      ballots_of_(std::move(ballots_of)),
      group_(std::move(group)) {}

Micros Operation::due() const {
  if (end_ != End::open) return order_.until;
  Micros at = order_.until;
  if (phase_ != Phase::idle) at = std::min(at, again_);
  if (phase_ == Phase::query && settle_ != 0) at = std::min(at, settle_);
  return at;
}

void Operation::regroup(Electorate group, const Now& now) {
  group_ = std::move(group);
  if (end_ != End::open || phase_ == Phase::idle) return;
  phase_ = Phase::resting;
  round_ = 0;
  again_ = now.time;
}

Envelopes Operation::to_missing(const std::string* only) const {
  Envelopes out;
  for (const auto& ip : group_.all()) {
    if (only != nullptr && ip != *only) continue;
    if (phase_ == Phase::query && !holds_.contains(ip))
      out.emplace_back(ip, Query{round_, order_.name, have_, group_.epoch()});
    if (for_.contains(ip) || against_.contains(ip)) continue;
    if (phase_ == Phase::prepare)
      out.emplace_back(ip, Prepare{round_, order_.name, ballot_, have_, group_.epoch()});
    if (phase_ == Phase::accept) {
      Accept message;
      message.round = round_;
      message.name = order_.name;
      message.ballot = ballot_;
      message.promised_by = promised_by_;
      message.epoch = group_.epoch();
      const auto told = promises_.find(ip);
      if (value_ == best_value_ && best_ && told != promises_.end() && told->second.given &&
          told->second.accepted == best_)
        message.same_as = best_;
      else message.value = *value_;
      out.emplace_back(ip, std::move(message));
    }
  }
  return out;
}

Envelopes Operation::begin(const Now& now) {
  lease_left_ms_ = 0;
  // A claim asks again each time: a rival's lease may stand against it by now, and its prepares would keep
  // that one from the votes that it lacks.
  const bool asks_first = order_.kind == Kind::claim && !planted(Planted::claims_unasked);
  if (writes() && !asks_first) return prepare(now);
  phase_ = Phase::query;
  round_ = now.fresh;
  holds_.clear();
  settle_ = 0;
  have_ = now.own->accepted;
  have_value_ = now.own->value;
  again_ = now.time + kAskAgain;
  return to_missing();
}

Envelopes Operation::prepare(const Now& now) {
  phase_ = Phase::prepare;
  full_ = true;
  round_ = now.fresh;
  ballot_ = {std::max(now.counter, highest_ + 1), ballots_of_};
  saw(ballot_);
  have_ = now.own->accepted;
  have_value_ = now.own->value;
  best_ = {};
  best_value_ = nullptr;
  promises_.clear();
  promised_by_.clear();
  lives_.clear();
  for_.clear();
  against_.clear();
  again_ = now.time + kAskAgain;
  return to_missing();
}

Envelopes Operation::rest(const Now& now, Micros least) {
  phase_ = Phase::resting;
  round_ = 0;
  const Micros span = kRest << std::min(tries_++, 4U);
  again_ = now.time +
           std::max(least, span / 2 + static_cast<Micros>(now.chance % static_cast<std::uint64_t>(span)));
  return {};
}

Envelopes Operation::tick(const Now& now) {
  if (end_ != End::open) return {};
  if (now.time >= order_.until) {
    end_ = End::failed;
    return {};
  }
  if (phase_ == Phase::query && settle_ != 0 && now.time >= settle_) return prepare(now);
  if (phase_ == Phase::idle || now.time < again_) return {};
  if (phase_ == Phase::resting) return begin(now);
  // Where one has refused, those that are silent may be the ones that a majority lacks.
  if (phase_ != Phase::query && !against_.empty()) return rest(now, 0);
  again_ = now.time + kAskAgain;
  return to_missing();
}

Envelopes Operation::receive(const std::string& from, const Holds& message, const Now& now) {
  if (end_ != End::open || phase_ != Phase::query || message.round != round_ || !counts(from, message.epoch))
    return {};
  holds_[from] = message;
  saw(message.accepted);
  if (order_.kind == Kind::claim) {  // asked first: a prepare in vain would disturb the holder's renewals
    std::set<std::string> free, leased;
    std::uint32_t shortest = UINT32_MAX;
    for (const auto& [ip, told] : holds_) {
      (told.lease_left_ms == 0 ? free : leased).insert(ip);
      if (told.lease_left_ms != 0) shortest = std::min(shortest, told.lease_left_ms);
    }
    if (group_.majority(free)) return prepare(now);
    if (group_.blocked(leased)) return rest(now, std::min<Micros>(shortest * Micros{1000}, order_.patience));
    return {};
  }
  std::set<std::string> same, all;
  for (const auto& [ip, told] : holds_) {
    all.insert(ip);
    if (told.accepted == message.accepted) same.insert(ip);
  }
  if (group_.majority(same)) {
    chosen_ = message.accepted;
    if (!chosen_) value_ = nullptr;
    else if (chosen_ == have_) value_ = have_value_;
    else value_ = bytes_of(message.value);
    end_ = End::done;
    return {};
  }
  if (all.size() == group_.all().size()) return prepare(now);
  if (group_.majority(all) && settle_ == 0) settle_ = now.time + kStragglers;
  return {};
}

Envelopes Operation::receive(const std::string& from, const Promise& message, const Now& now) {
  if (end_ != End::open || phase_ != Phase::prepare || message.round != round_ ||
      !counts(from, message.epoch))
    return {};
  if (!message.given) {
    saw(message.promised);
    against_.insert(from);
    return group_.blocked(against_) ? rest(now, 0) : Envelopes{};
  }
  if (!for_.insert(from).second) return {};
  promised_by_.emplace_back(from, message.life);
  for (const auto& [ip, life] : message.lives) lives_[ip] = std::max(lives_[ip], life);
  const bool outlived = std::any_of(promised_by_.begin(), promised_by_.end(),
                                    [&](const auto& by) { return by.second < lives_[by.first]; });
  if (outlived && !planted(Planted::lives_ignored)) {
    Envelopes told;  // or its promises would count nowhere for ever
    for (const auto& [ip, life] : promised_by_)
      if (life < lives_[ip]) told.emplace_back(ip, Outlived{lives_[ip]});
    rest(now, 0);
    return told;
  }
  auto& told = promises_[from] = message;
  if (told.accepted > best_) {
    best_ = told.accepted;
    best_value_ = best_ == have_ ? have_value_ : bytes_of(std::move(told.value));
  }
  told.value.clear();
  if (!group_.majority(for_)) return {};
  const bool keeps = order_.kind == Kind::read || order_.kind == Kind::carry;
  const auto wanted =
      keeps ? (best_value_ ? std::optional(*best_value_) : std::nullopt) : order_.change(best_value_.get());
  const bool unchanged = best_value_ && wanted && *wanted == *best_value_;
  if (!wanted) {
    end_ = keeps ? End::done : End::declined;  // a majority promised and holds nothing
    return {};
  }
  value_ = unchanged ? best_value_ : bytes_of(*wanted);
  const bool agreed = std::all_of(promises_.begin(), promises_.end(), [&](const auto& p) {
    return !p.second.given || p.second.accepted == best_;
  });
  if (unchanged && agreed && order_.kind != Kind::claim && order_.kind != Kind::carry) {
    chosen_ = best_;
    end_ = End::done;
    return {};
  }
  phase_ = Phase::accept;
  round_ = now.fresh;
  for_.clear();
  against_.clear();
  sent_accept_ = now.time;
  again_ = now.time + kAskAgain;
  return to_missing();
}

Envelopes Operation::receive(const std::string& from, const Accepted& message, const Now& now) {
  if (end_ != End::open || phase_ != Phase::accept || message.round != round_ || !counts(from, message.epoch))
    return {};
  if (!message.done) {
    saw(message.promised);
    against_.insert(from);
    return group_.blocked(against_) ? rest(now, 0) : Envelopes{};
  }
  for_.insert(from);
  if (!group_.majority(for_)) return {};
  chosen_ = ballot_;
  newly_ = true;
  end_ = End::done;
  return {};
}

}  // namespace woadridge::quorum
