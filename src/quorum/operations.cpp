// The registers' side of a member: operations that it begins, and what it answers to those of others.
#include <algorithm>

#include "common/frames.h"
#include "quorum/member.h"

namespace woadridge::quorum {
namespace {

using common::pack;
using common::unpack;

constexpr Micros kFetchAgain = 200'000;

bool is_register(const std::string& name) {
  return name == kView || name == kLaunch || name == kList || name == kMembers;
}

}  // namespace

Operation::Now Member::now_for(const std::string& name) {
  const Held& own = registers_.at(name).now();
  auto& counter = counters_[name];
  counter = std::max(counter, own.promised.counter) + 1;
  return {now_, chance_(), ++next_, counter, &own};
}

std::uint64_t Member::begin(Operation::Order order) {
  return begin(std::move(order), electorate_);
}

std::uint64_t Member::begin(Operation::Order order, Electorate group) {
  const std::uint64_t ticket = ++next_;
  operations_.emplace(ticket, Operation(ticket, std::move(order), ballots_of_, std::move(group)));
  return ticket;
}

void Member::begin_waiting() {
  for (auto& [ticket, operation] : operations_) {
    if (operation.round() != 0 || operation.resting() || operation.end() != Operation::End::open) continue;
    auto& writer = writer_[operation.name()];
    if (operation.writes()) {
      if (writer != 0) continue;  // its own rounds would hinder one another
      writer = ticket;
    }
    post(operation.begin(now_for(operation.name())));
    counters_[operation.name()] = std::max(counters_[operation.name()], operation.highest_seen());
  }
}

template <class Answer>
void Member::answer_of(const std::string& from, const Answer& message) {
  for (auto& [ticket, operation] : operations_) {
    if (operation.round() != message.round || message.round == 0) continue;
    post(operation.receive(from, message, now_for(operation.name())));
    counters_[operation.name()] = std::max(counters_[operation.name()], operation.highest_seen());
    return;
  }
}

std::uint64_t Member::put(const Bytes& value, std::uint64_t version, Micros limit, Micros now) {
  now_ = now;
  const auto ticket = ++next_;
  if (standing_ == Standing::voter) chain_->put(ticket, version, value, now + limit);
  else out_.finished.push_back({ticket, false, {}, nullptr});
  settle();
  return ticket;
}

std::uint64_t Member::read(Micros limit, Micros now) {
  now_ = now;
  const auto ticket = ++next_;
  if (standing_ == Standing::voter) chain_->read(ticket, now + limit);
  else out_.finished.push_back({ticket, false, {}, nullptr});
  settle();
  return ticket;
}

std::uint64_t Member::change(const std::string& name, Change change, Micros limit, Micros now) {
  now_ = now;
  const auto ticket = begin({Operation::Kind::change, name, std::move(change), now + limit});
  settle();
  return ticket;
}

void Member::ended(const Operation& operation) {
  const bool good = operation.end() == Operation::End::done;
  if (operation.ticket() == founding_ticket_) {
    founding_ticket_ = 0;
    if (good && operation.value())
      if (const auto list = unpack<List>(*operation.value())) adopt(*list);
    return;
  }
  if (good && operation.ballot()) {
    learn(operation.name(), operation.ballot(), operation.value());
    if (operation.newly() && operation.name() == kList)
      if (const auto list = unpack<List>(*operation.value()))
        for (const auto& m : list->next)  // also those that are new on it
          if (!in_list(m.ip)) post(m.ip, Committed{kList, operation.ballot()});
    if (operation.newly())
      for (const auto& m : members_)
        if (m.ip != options_.self.ip) post(m.ip, Committed{operation.name(), operation.ballot()});
  }
  if (operation.ticket() == list_ticket_) {
    list_ticket_ = 0;
    next_list_look_ = now_;
    return;
  }
  if (const auto at = carrying_.find(operation.ticket()); at != carrying_.end()) {
    if (good && operation.epoch() == list_.epoch) carried_.insert(at->second);
    carrying_.erase(at);
    next_list_look_ = now_;
    return;
  }
  if (operation.ticket() == claim_ticket_) {
    claim_ticket_ = 0;
    claimed(operation);
    return;
  }
  if (operation.ticket() == proposal_) {
    proposal_ = 0;
    chain_->proposed(good);
    return;
  }
  if (const auto look = looks_.find(operation.ticket()); look != looks_.end()) {
    const auto ticket = look->second;
    looks_.erase(look);
    const auto view = good && operation.value() ? unpack<chain::View>(*operation.value()) : std::nullopt;
    chain_->looked(ticket, view);
    return;
  }
  if (operation.ticket() == own_read_) {
    own_read_ = 0;
    next_read_ = good ? kNever : now_ + 200'000 + draw(100'000);
    return;
  }
  out_.finished.push_back({operation.ticket(), good, {}, operation.value()});
}

void Member::learn(const std::string& name, const Ballot& ballot, const Bytes& value) {
  auto& known = learned_[name];
  if (!(ballot > known.ballot)) return;
  const bool news = value && (!known.value || *known.value != *value);
  known.ballot = ballot;
  known.asked = 0;
  if (news || !known.value) known.value = value;
  if (news && name == kView)
    if (const auto view = unpack<chain::View>(*value)) chain_->view(*view);
  if (news && name == kList)
    if (const auto list = unpack<List>(*value)) adopt(*list);
}

// A commit that was missed is fetched from whoever names it.
void Member::maybe_behind(const std::string& from, const std::string& name, const Ballot& ballot) {
  auto& known = learned_[name];
  if (!(ballot > known.ballot)) return;
  const Held& own = registers_.at(name).now();
  if (own.accepted == ballot) {
    learn(name, ballot, own.value);
  } else if (known.asked == 0 || now_ - known.asked >= kFetchAgain) {
    known.asked = now_;
    post(from, Fetch{name, ballot});
  }
}

Beat Member::beat() const {
  Beat beat;
  for (const char* name : kRegisters) {
    const auto at = learned_.find(name);
    beat.committed.push_back(at == learned_.end() ? Ballot{} : at->second.ballot);
  }
  beat.sign = chain_->sign();
  return beat;
}

// ---- what others ask

void Member::receive(const std::string& from, Query& message) {
  if (!is_register(message.name) || !of_this_epoch(from, message) || !may_vote(message.name)) return;
  const Held& held = registers_.at(message.name).safe();
  Holds answer{message.round, held.accepted, {}, 0, message.epoch};
  if (held.value && held.accepted != message.have) answer.value = *held.value;
  if (message.name == kLaunch)
    answer.lease_left_ms = static_cast<std::uint32_t>((grant_.left(from, now_) + 999) / 1000);
  post(from, std::move(answer));
}

void Member::receive(const std::string& from, Prepare& message) {
  if (!is_register(message.name) || !of_this_epoch(from, message) || !may_vote(message.name)) return;
  Register& r = registers_.at(message.name);
  if ((message.name == kLaunch && grant_.left(from, now_) > 0) || !r.promise(message.ballot, message.round)) {
    post(from, Promise{message.round, false, r.now().promised, {}, {}, 0, {}, message.epoch});
    return;
  }
  Promise answer{message.round, true, message.ballot, r.now().accepted, {}, lives_[options_.self.ip], {},
                 message.epoch};
  answer.lives.assign(lives_.begin(), lives_.end());
  if (r.now().value && r.now().accepted != message.have) answer.value = *r.now().value;
  Rows rows;
  if (message.name == kMembers && standing_ == Standing::founding && adopting_ == 0)
    rows = {{"state", "founding"}, {"seeds", pack(founding_seeds_)}, {"disk", pack(disk_)}};
  write({message.name}, std::move(rows), [this, from, answer = std::move(answer)](bool good) {
    if (good && still_counts(answer.epoch)) post(from, answer);
  });
}

void Member::receive(const std::string& from, Accept& message) {
  if (!is_register(message.name) || !of_this_epoch(from, message) || !may_vote(message.name)) return;
  Register& r = registers_.at(message.name);
  Rows rows;
  bool stands = true, newer = false;
  for (const auto& [ip, life] : message.promised_by) {
    auto& known = lives_[ip];
    if (known > life && !planted(Planted::lives_ignored)) {
      stands = false;
      post(ip, Outlived{known});
    }
    if (known < life) known = life, newer = true;
  }
  if (newer) rows["lives"] = pack(Lives(lives_.begin(), lives_.end()));
  Bytes value = message.same_as ? r.now().value : bytes_of(std::move(message.value));
  if (message.same_as && r.now().accepted != message.same_as && r.now().accepted != message.ballot)
    stands = false;
  const Duty duty = message.name == kLaunch ? duty_of(value) : Duty{};
  if (message.name == kLaunch && grant_.left(duty.holder, now_) > 0) stands = false;
  if (!stands || !r.accept(message.ballot, std::move(value))) {
    post(from, Accepted{message.round, false, r.now().promised, message.epoch});
    return;
  }
  if (message.name == kLaunch && grant_.open_to(duty)) grant_.give(duty, now_ + options_.lease * 11 / 10);
  write({message.name}, std::move(rows),
        [this, from, answer = Accepted{message.round, true, {}, message.epoch}](bool good) {
          if (good && still_counts(answer.epoch)) post(from, answer);
        });
}

// One that is told that others know a later life of its disk, of a recovery that came to nothing, takes one
// beyond: its promises would count nowhere else. That voids those it has given, which is always safe.
void Member::receive(const std::string&, Outlived& message) {
  auto& life = lives_[options_.self.ip];
  if (standing_ != Standing::voter || message.life <= life) return;
  life = message.life + 1;
  write({}, {{"lives", pack(Lives(lives_.begin(), lives_.end()))}}, [](bool) {});
}

void Member::receive(const std::string& from, Holds& message) {
  answer_of(from, message);
}
void Member::receive(const std::string& from, Promise& message) {
  answer_of(from, message);
}
void Member::receive(const std::string& from, Accepted& message) {
  answer_of(from, message);
}

void Member::receive(const std::string& from, Committed& message) {
  if (message.name == kView || message.name == kLaunch) maybe_behind(from, message.name, message.ballot);
}

void Member::receive(const std::string& from, Fetch& message) {
  const auto at = learned_.find(message.name);
  if (at == learned_.end() || at->second.ballot < message.at_least || !at->second.value) return;
  post(from, Value{message.name, at->second.ballot, *at->second.value});
}

void Member::receive(const std::string&, Value& message) {
  if (std::find(kRegisters.begin(), kRegisters.end(), message.name) != kRegisters.end())
    learn(message.name, message.ballot, bytes_of(std::move(message.value)));
}

void Member::receive(const std::string& from, Beat& message) {
  for (std::size_t i = 0; i < kRegisters.size() && i < message.committed.size(); ++i)
    maybe_behind(from, kRegisters[i], message.committed[i]);
  chain_->receive(from, message.sign);
}

}  // namespace woadridge::quorum
