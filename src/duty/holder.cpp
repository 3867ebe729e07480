#include "duty/holder.h"

#include <algorithm>

#include "duty/planted.h"

namespace woadridge::duty {
namespace {

constexpr std::size_t kMostAsked = 16;        // keep-alives that may still be answered
constexpr std::size_t kMostGivenUp = 10'000;  // numbers; the oldest are long out of every answer on its way

}  // namespace

std::string Holder::voter() const {
  for (const auto& v : options_.voters)
    if (v.name == leader_) return v.name;
  return options_.voters[next_voter_ % options_.voters.size()].name;
}

void Holder::ask(Micros now, Out& out) {
  const std::string to = voter();
  const auto v = std::find_if(options_.voters.begin(), options_.voters.end(),
                              [&](const auto& x) { return x.name == to; });
  wire::Frame frame;
  frame.set_to(to);
  auto* k = frame.mutable_keep_alive();
  k->set_number(++numbers_);
  k->set_zone(options_.zone);
  k->set_seen(seen_);
  k->set_told(told_);
  k->set_wants(wants_);
  k->set_leaving(leaving_);
  for (const auto number : unconfirmed_) k->add_given_up(number);
  asked_[numbers_] = now;  // from before it is sent: the answer prolongs from here
  if (asked_.size() > kMostAsked) asked_.erase(asked_.begin());
  ask_at_ = now + options_.lease / (unconfirmed_.empty() ? 6 : 30);
  out.push_back({v->address, std::move(frame)});
}

void Holder::tick(Micros now, Out& out) {
  timer_says_ = now < until_;
  if (now >= until_ && !held_.empty()) lose_all("its time has run out");
  if (now < ask_at_) return;
  // Nobody has answered the last few: perhaps another voter leads.
  if (asked_.size() >= 2) leader_.clear(), ++next_voter_;
  ask(now, out);
}

std::optional<std::uint64_t> Holder::may_act(const std::string& duty, Micros now) const {
  const bool in_time = planted(Planted::act_on_timer) ? timer_says_ : now < until_;
  if (!in_time) return std::nullopt;
  const auto found = held_.find(duty);
  if (found == held_.end()) return std::nullopt;
  return found->second;
}

std::optional<Micros> Holder::since(const std::string& duty) const {
  const auto found = since_.find(duty);
  if (found == since_.end()) return std::nullopt;
  return found->second;
}

void Holder::lose_all(const char* why) {
  for (const auto& [duty, number] : held_) moves_.push_back({duty, number, false, why});
  held_.clear();
  since_.clear();
  told_ = 0;
}

// It stops first, and only then says so.
void Holder::give_up(const std::string& duty, Micros now, Out& out) {
  const auto found = held_.find(duty);
  if (found == held_.end()) return;
  const std::uint64_t number = found->second;
  unconfirmed_.insert(number);
  if (!planted(Planted::give_before_stop)) {
    given_up_.insert(number);
    if (given_up_.size() > kMostGivenUp) given_up_.erase(given_up_.begin());
    moves_.push_back({duty, number, false, "handed on"});
    held_.erase(found);
    since_.erase(duty);
  }
  ask(now, out);
}

void Holder::leave(Micros now, Out& out) {
  if (std::exchange(leaving_, true)) return;
  if (planted(Planted::give_before_stop)) {
    for (const auto& [duty, number] : held_) unconfirmed_.insert(number);
    return ask(now, out);
  }
  for (const auto& [duty, number] : held_) {
    given_up_.insert(number);
    unconfirmed_.insert(number);
  }
  lose_all("this member leaves");
  ask(now, out);
}

void Holder::take(const wire::Kept& kept, Micros now) {
  if (kept.version() < version_ || !kept.whole()) return;
  version_ = told_ = kept.version();
  std::map<std::string, std::uint64_t> told;
  std::set<std::uint64_t> numbers;
  for (const auto& h : kept.held()) {
    seen_ = std::max(seen_, h.number());
    numbers.insert(h.number());
    if (!given_up_.contains(h.number())) told[h.duty()] = h.number();
  }
  std::erase_if(unconfirmed_, [&](std::uint64_t n) { return !numbers.contains(n); });
  for (const auto& [duty, number] : held_)
    if (const auto still = told.find(duty); still == told.end() || still->second != number) {
      moves_.push_back({duty, number, false, "taken back by the voters"});
      since_.erase(duty);
    }
  for (const auto& [duty, number] : told)
    if (const auto had = held_.find(duty); had == held_.end() || had->second != number) {
      moves_.push_back({duty, number, true, "given by the voters"});
      since_[duty] = now;
    }
  held_ = std::move(told);
}

void Holder::receive(const wire::Frame& frame, Micros now, Out& out) {
  const wire::Kept& kept = frame.kept();
  if (kept.run() != run_) return;  // for the process that had this name before
  const auto asked = asked_.find(kept.number());
  const Micros sent = asked == asked_.end() ? 0 : asked->second;
  if (!kept.known()) {
    if (asked == asked_.end()) return;
    asked_.erase(asked_.begin(), std::next(asked));
    if (!kept.leader().empty() && kept.leader() != leader_) {
      leader_ = kept.leader();
      if (leader_ != frame.from()) ask(now, out);
      return;
    }
    if (kept.version() == 0) return;  // a leader that does not serve yet
    // The session was closed, or is not open yet: nothing is held, whatever older answers say.
    leader_ = frame.from();
    until_ = std::min(until_, sent);
    if (!held_.empty()) lose_all("the voters have closed the session");
    unconfirmed_.clear();
    version_ = std::max(version_, kept.version());
    ask_at_ = std::min(ask_at_, now + options_.heartbeat);
    return;
  }
  if (kept.want_all()) want_all_ = true;
  if (asked != asked_.end()) {
    leader_ = frame.from();
    asked_.erase(asked_.begin(), std::next(asked));
    const Micros from = planted(Planted::lease_from_answer) ? now : sent;
    until_ = std::max(
        until_, from + static_cast<Micros>(static_cast<double>(options_.lease) * (1 - 2 * options_.drift)));
    timer_says_ = timer_says_ || planted(Planted::lease_from_answer);
  }
  if (now < until_) take(kept, now);  // before the first lease nothing can be held
  if (leaving_ && !planted(Planted::give_before_stop)) {
    for (const auto& [duty, number] : held_) unconfirmed_.insert(number), given_up_.insert(number);
    held_.clear();
    since_.clear();
  }
  for (std::uint32_t i = 0; i < kept.give_back() && held_.size() > 1; ++i)
    give_up(std::prev(held_.end())->first, now, out);
}

}  // namespace woadridge::duty
