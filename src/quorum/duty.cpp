// The duty: its lease, who takes it over, and its handing over at the end.
#include <algorithm>

#include "common/frames.h"
#include "quorum/member.h"

namespace woadridge::quorum {
namespace {

using common::pack;
using common::unpack;

constexpr Micros kRankDelay = 80'000;       // between candidates: a claim is through in less, mostly
constexpr Micros kReadForDuty = 3'000'000;  // a new holder that can't read for so long gives the duty up

}  // namespace

void Member::receive(const std::string& from, Renew& message) {
  receive(from, message.beat);
  if (!of_this_epoch(from, message) || !may_vote(kLaunch)) return;
  const Register& r = registers_.at(kLaunch);
  const Duty duty = duty_of(r.safe().value);
  const bool untouched = r.now().promised == r.now().accepted;
  const bool given = duty == Duty{message.term, from} && r.safe().accepted == r.now().accepted && untouched &&
                     grant_.open_to(duty);
  if (given) grant_.give(duty, now_ + options_.lease * 11 / 10);
  post(from, Granted{message.round, given, beat(), message.epoch});
}

void Member::receive(const std::string& from, Granted& message) {
  receive(from, message.beat);
  if (!message.given) heal_ = true;
  if (message.epoch != list_.epoch) return;
  if (hold_.receive(from, message, electorate_, options_.lease * 9 / 10, now_) == Hold::Heard::refused &&
      claim_ticket_ == 0)
    claim(true);
}

void Member::receive(const std::string& from, Yield& message) {
  if (!in_list(from)) return;
  grant_.yielded(message.term, from);
  yielded_to_me_ = message.successor == options_.self.ip;
  candidate_at_ =
      yielded_to_me_ ? now_ : now_ + 400'000 + static_cast<Micros>(rank()) * kRankDelay + draw(30'000);
}

void Member::tend_duty() {
  if (standing_ != Standing::voter || leaving_) return;
  if (hold_.term() != 0) {
    if (!hold_.held(now_)) {
      drop_duty();
    } else if (now_ >= next_renewal_) {
      next_renewal_ = now_ + options_.lease / 4;
      if (heal_ && claim_ticket_ == 0 && now_ - last_claim_ > options_.lease) {
        claim(true);
      } else {
        hold_.ask(++next_, now_);
        const Renew message{next_, hold_.term(), beat(), list_.epoch};
        for (const auto& m : members_) post(m.ip, message);
      }
      heal_ = false;
    }
    return;
  }
  if (claim_ticket_ != 0 || !may_claim()) return;
  if (grant_.left(options_.self.ip, now_) > 0) {
    candidate_at_ = 0;
    return;
  }
  if (candidate_at_ == 0) {
    const bool mine = grant_.to() == options_.self.ip;
    candidate_at_ = now_ + draw(30'000) + (mine ? 0 : static_cast<Micros>(rank()) * kRankDelay);
  }
  if (now_ >= candidate_at_) claim(yielded_to_me_);
}

void Member::claim(bool at_once) {
  claim_term_ = hold_.term();
  last_claim_ = now_;
  const auto wanted = [term = claim_term_, self = options_.self.ip](const std::string* old) {
    const Duty now = old != nullptr ? unpack<Duty>(*old).value_or(Duty{}) : Duty{};
    if (term == 0) return std::optional(pack(Duty{now.term + 1, self}));
    return now == Duty{term, self} ? std::optional(*old) : std::nullopt;
  };
  Operation::Order order{Operation::Kind::claim, kLaunch, wanted, now_ + 1'000'000};
  order.patience = at_once ? 25'000 : 300'000;
  claim_ticket_ = begin(std::move(order));
}

void Member::claimed(const Operation& operation) {
  using End = Operation::End;
  if (operation.end() == End::done) {
    const Duty duty = duty_of(operation.value());
    if (leaving_) {
      for (const auto& m : members_) post(m.ip, Yield{duty.term, {}});
      return;
    }
    if (claim_term_ != 0 && hold_.term() != claim_term_) return;
    const Micros until =
        (planted(Planted::lease_from_answer) ? now_ : operation.sent_accept()) + options_.lease * 9 / 10;
    yielded_to_me_ = false;
    candidate_at_ = 0;
    if (now_ >= until)
      return;  // the last answers came after the time they were for: this process stood still
    hold_.take(duty.term, until);
    if (claim_term_ == 0) {
      next_renewal_ = now_ + options_.lease / 4;
      begin_duty();
    }
    return;
  }
  if (claim_term_ != 0 && hold_.term() == claim_term_ && operation.end() == End::declined) drop_duty();
  candidate_at_ = now_ + 50'000 + draw(100'000);
}

// One that starts may hold an old configuration, or none: it is no candidate before it has read what is in
// force, unless it founded the group in this life.
bool Member::may_claim() const {
  return chain_->whole() || founded_now_ || planted(Planted::old_plan_acts);
}

// The duty is acted on only after the configuration in force was read in its own term: whatever was
// acknowledged before the term began is known by then.
void Member::begin_duty() {
  duty_read_ = 0;
  if (planted(Planted::old_plan_acts)) {
    out_.duty.push_back({true, hold_.term()});
    return;
  }
  duty_read_until_ = now_ + kReadForDuty;
  read_for_duty();
}

void Member::read_for_duty() {
  duty_read_ = ++next_;
  duty_read_term_ = hold_.term();
  chain_->read(duty_read_, duty_read_until_);
}

void Member::duty_read_over(bool good) {
  duty_read_ = 0;
  if (hold_.term() == 0 || hold_.term() != duty_read_term_) return;
  if (good && hold_.held(now_)) {
    out_.duty.push_back({true, hold_.term()});
    return;
  }
  // Another member may reach the tail: it comes first.
  const Yield yield{hold_.term(), {}};
  drop_duty();
  for (const auto& m : members_)
    if (m.ip != options_.self.ip) post(m.ip, yield);
  candidate_at_ = now_ + 2 * options_.lease;
}

void Member::drop_duty() {
  if (hold_.term() == 0) return;
  out_.duty.push_back({false, hold_.term()});
  hold_.drop();
  candidate_at_ = 0;
}

void Member::leave(Micros now) {
  now_ = now;
  if (leaving_) return;
  leaving_ = true;
  const std::uint64_t term = hold_.term();
  if (term != 0) {
    if (!planted(Planted::yield_acts_on)) drop_duty();
    const auto successor = someone_else(now);
    for (const auto& m : members_) post(m.ip, Yield{term, successor ? successor->ip : std::string()});
  }
  settle();
}

}  // namespace woadridge::quorum
