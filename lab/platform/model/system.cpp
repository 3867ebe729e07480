#include "lab/platform/model/system.h"

#include <algorithm>
#include <boost/core/demangle.hpp>
#include <typeinfo>

#include "common/frames.h"
#include "lab/platform/model/membership.h"
#include "lab/platform/model/mix.h"
#include "lab/platform/votes.h"
#include "text.h"

namespace woadridge::lab::model {

using quorum::Member;
using quorum::Message;
using Standing = Member::Standing;

namespace {

constexpr Micros kLimit = 900'000;       // of an operator's call
constexpr Micros kPutAgain = 1'000'000;  // the first operator, that was told nothing
constexpr Micros kReadEvery = 350'000;
constexpr Micros kBetweenTicks = 500;
constexpr Micros kBegin = 1'000'000;  // what the clocks show at the start
constexpr std::uint64_t kFirstVersion = 1;

std::string ip_of(std::size_t n) {
  return "10.0.0." + std::to_string(n + 1);
}

std::uint64_t hash_of(const quorum::Rows& rows) {
  std::uint64_t hash = rows.size();
  for (const auto& [name, value] : rows) hash = mix(mix(hash, fnv1a(name)), fnv1a(value));
  return hash;
}

std::string contents(std::uint64_t version, const std::string& content) {
  return std::to_string(version) + ":" + content;
}

chain::Mark mark_in(const std::string& value) {
  return chain::mark_of(std::stoull(value), value);
}

template <class Variant>
std::string type_name(const Variant& message) {
  const std::string whole =
      std::visit([](const auto& m) { return boost::core::demangle(typeid(m).name()); }, message);
  return whole.substr(whole.rfind(':') + 1);
}

// It has been taken in again: all that was ever acknowledged is on its disk.
bool is_link(const Member& member) {
  const auto& replica = member.chain().replica();
  return member.standing() == Standing::voter && replica.links() &&
         replica.acting_in() == replica.view().number;
}

}  // namespace

System::System(const Situation& situation) : situation_(situation), now_(0) {
  put_at_ = situation_.puts_at;
  read_at_ = situation_.puts_at + kReadEvery;
  put_machine_ = situation_.first_at;
  for (std::size_t n = 0; n < kMachines; ++n) machines_[n].ip = ip_of(n);
  machines_[kMembers].bootstrap = false;
  machines_[kMembers].untold = true;
  last_choice_ = situation_.from;
  for (std::size_t n = 0; n < kMembers; ++n) {
    if (situation_.disks) machines_[n].disk = (*situation_.disks)[n];
    start(n);
  }
}

bool System::over() const {
  return judge_.broken() || now_ >= last_choice_ + situation_.after;
}

std::optional<Disks> System::disks() const {
  const bool on_its_way =
      std::any_of(lines_.begin(), lines_.end(), [](const Line& l) { return !l.messages.empty(); });
  Disks disks;
  for (std::size_t n = 0; n < kMembers; ++n) {
    const Machine& m = machines_[n];
    if (!m.member || !is_link(*m.member) || !m.writes.empty() || on_its_way) return std::nullopt;
    disks[n] = m.disk;
  }
  return disks;
}

std::uint64_t System::epoch() const {
  std::uint64_t latest = 0;
  for (const Machine& m : machines_)
    if (m.member) latest = std::max(latest, epoch_of(*m.member));
  return latest;
}

bool System::settled() const {
  std::size_t holders = 0;
  for (std::size_t n = 0; n < kMembers; ++n) {
    const auto& member = machines_[n].member;
    if (!member || member->standing() != Standing::voter) return false;
    if (member->holds(kBegin + now_)) ++holders;
  }
  return holders == 1;
}

// ---- the usual order

bool System::message_ready(std::size_t from, std::size_t to, bool after) const {
  const Line& l = line(from, to);
  return !l.messages.empty() && l.after == after && l.held_until <= now_ &&
         machines_[to].frozen_until <= now_;
}

bool System::write_ready(std::size_t n, bool after) const {
  const Machine& m = machines_[n];
  return !m.writes.empty() && m.disk_after == after && m.disk_held_until <= now_ && m.frozen_until <= now_;
}

std::optional<System::Next> System::ready_message(bool after) const {
  for (std::size_t from = 0; from < kMachines; ++from)
    for (std::size_t to = 0; to < kMachines; ++to)
      if (message_ready(from, to, after)) return Next{Do::message, now_, from, to};
  return std::nullopt;
}

std::optional<System::Next> System::ready_write(bool after) const {
  for (std::size_t n = 0; n < kMachines; ++n)
    if (write_ready(n, after)) return Next{Do::write, now_, n, n};
  return std::nullopt;
}

std::optional<System::Next> System::ready(bool after) const {
  auto first = situation_.disks_first ? ready_write(after) : ready_message(after);
  if (first) return first;
  return situation_.disks_first ? ready_message(after) : ready_write(after);
}

std::size_t System::count_ready() const {
  std::size_t count = 0;
  for (std::size_t from = 0; from < kMachines; ++from) {
    count += write_ready(from, false) ? 1 : 0;
    for (std::size_t to = 0; to < kMachines; ++to) count += message_ready(from, to, false) ? 1 : 0;
  }
  return count;
}

System::Next System::next() const {
  if (const auto found = ready(false)) return *found;
  if (const auto found = ready(true)) return *found;
  Next best{Do::nothing, last_choice_ + situation_.after, 0, 0};
  const auto candidate = [&](Do what, Micros at, std::size_t n) {
    if (std::max(at, now_) < best.at) best = {what, std::max(at, now_), n, n};
  };
  for (std::size_t n = 0; n < kMachines; ++n) {
    const Machine& m = machines_[n];
    if (m.stop_at >= 0) candidate(Do::stop, m.stop_at, n);
    if (m.start_at >= 0) candidate(Do::start, m.start_at, n);
    if (!m.writes.empty() && m.disk_held_until > now_) candidate(Do::wait, m.disk_held_until, n);
    if (!m.member) continue;
    const Micros due = std::max(m.member->due() - kBegin, m.ticked + kBetweenTicks);
    if (m.frozen_until > now_) candidate(Do::wait, m.frozen_until, n);
    else candidate(Do::tick, due, n);
  }
  for (const Line& l : lines_)
    if (!l.messages.empty() && l.held_until > now_) candidate(Do::wait, l.held_until, 0);
  if (given_ < situation_.given.size()) {
    const Given& given = situation_.given[given_];
    candidate(Do::given, given.at, given.choice.machine);
  }
  if (!first_done_) candidate(Do::put, put_at_, put_machine_);
  candidate(Do::read, read_at_, read_machine_);
  return best;
}

bool System::step() {
  const Next next = this->next();
  ++steps_;
  now_ = next.at;
  did_something_ = next.what != Do::tick;
  switch (next.what) {
    case Do::message:
      deliver(next.from, next.to);
      break;
    case Do::write:
      write(next.to);
      break;
    case Do::tick:
      note(next.to, 1, 0);
      machines_[next.to].ticked = now_;
      machines_[next.to].member->tick(kBegin + now_);
      take(next.to);
      break;
    case Do::start:
      start(next.to);
      break;
    case Do::stop:
      stop(next.to, kSoon);
      break;
    case Do::given:
      apply(situation_.given[given_++].choice);
      break;
    case Do::put:
      put_at_ = now_ + kPutAgain;
      put(put_machine_, kFirstVersion, "a", true);
      put_machine_ = after(put_machine_);
      break;
    case Do::read:
      read_at_ = now_ + kReadEvery;
      read(read_machine_);
      read_machine_ = after(read_machine_);
      break;
    case Do::wait:
    case Do::nothing:
      break;
  }
  check_holders();
  return did_something_;
}

std::string System::text() const {
  const Next next = this->next();
  const auto at = std::to_string(static_cast<double>(next.at) / 1e3);
  const std::string time = at.substr(0, at.find('.') + 2) + " ms ";
  const std::string to = std::to_string(next.to);
  switch (next.what) {
    case Do::message: {
      const Message& message = line(next.from, next.to).messages.front().second;
      const auto* of_chain = std::get_if<chain::Message>(&message);
      const std::string name = of_chain != nullptr ? type_name(*of_chain) : type_name(message);
      return time + name + " from " + std::to_string(next.from) + " to " + to;
    }
    case Do::write:
      return time + "write at " + to;
    case Do::tick:
      return time + "timer at " + to;
    case Do::start:
      return time + "start of " + to;
    case Do::stop:
      return time + "end of " + to;
    case Do::given:
      return time + name_of(situation_.given[given_].choice.kind) + " " + to + " (given)";
    case Do::put:
      return time + "first operator puts at " + to;
    case Do::read:
      return time + "read at " + to;
    case Do::wait:
      return time + "what stood still goes on";
    case Do::nothing:
      return time + "the end";
  }
  return time;
}

// ---- what is done

void System::note(std::size_t n, std::uint64_t what, std::uint64_t detail) {
  auto& history = machines_[n].history;
  history = mix(mix(mix(history, what), detail), static_cast<std::uint64_t>(now_));
}

void System::deliver(std::size_t from, std::size_t to) {
  Line& l = line(from, to);
  l.after = false;
  auto [hash, message] = std::move(l.messages.front());
  l.messages.pop_front();
  Machine& m = machines_[to];
  note(to, 2 + from, hash);
  if (tells_all(message)) m.told_by.insert(machines_[from].ip);
  m.member->heard(machines_[from].ip, std::move(message), kBegin + now_);
  take(to);
}

void System::write(std::size_t n) {
  Machine& m = machines_[n];
  m.disk_after = false;
  const auto [token, rows] = std::move(m.writes.front());
  m.writes.pop_front();
  for (const auto& [name, value] : rows) m.disk[name] = value;
  note(n, 20, 0);
  m.member->persisted(token, true, kBegin + now_);
  take(n);
}

void System::start(std::size_t n) {
  Machine& m = machines_[n];
  m.start_at = -1;
  quorum::Options options;
  options.losses = 1;
  options.self.ip = m.ip;
  options.self.control = m.ip + ":80";
  options.self.zone = "z" + std::to_string(n);
  for (std::size_t seed = 0; seed < kMembers; ++seed) options.seeds.push_back(ip_of(seed));
  options.bootstrap = m.bootstrap;
  ++m.life;
  m.version = 0;
  const auto mark = m.disk.find("state");
  if (mark != m.disk.end() && mark->second == "voter") m.untold = false;
  m.told_by.clear();
  m.ticked = now_;
  m.history = mix(mix(m.life, hash_of(m.disk)), static_cast<std::uint64_t>(now_));
  m.member.emplace(options, m.disk, false, mix(n, m.life), kBegin + now_);
  m.member->tick(kBegin + now_);
  take(n);
}

void System::stop(std::size_t n, Micros back_after) {
  Machine& m = machines_[n];
  m.stop_at = -1;
  if (!m.member) return;
  m.member.reset();
  m.writes.clear();
  m.disk_held_until = m.frozen_until = 0;
  m.disk_after = false;
  m.start_at = now_ + back_after;
  m.history = mix(m.life, hash_of(m.disk));
  for (std::size_t from = 0; from < kMachines; ++from) line(from, n) = {};
  std::erase_if(calls_, [&](const auto& call) { return call.first.first == n; });
}

void System::lose_disk(std::size_t n) {
  Machine& m = machines_[n];
  stop(n, kSoon);
  m.disk.clear();
  m.history = mix(m.life, hash_of(m.disk));
  m.bootstrap = false;
  m.untold = m.lost = true;
}

void System::replace(std::size_t n) {
  stop(n, kSoon);
  machines_[n].start_at = -1;
  machines_[n].gone = true;
  machines_[kMembers].start_at = now_ + kSoon;
}

std::size_t System::after(std::size_t machine) const {
  const std::size_t known = machines_[kMembers].life > 0 ? kMachines : kMembers;
  return (machine + 1) % known;
}

void System::take(std::size_t n) {
  Machine& m = machines_[n];
  if (m.member->standing() == Standing::voter && m.told_by.size() > kMembers / 2) m.untold = false;
  if (m.lost && is_link(*m.member)) m.lost = false;
  quorum::Out out = m.member->take();
  did_something_ = did_something_ || !out.envelopes.empty() || !out.writes.empty() || !out.duty.empty() ||
                   !out.finished.empty() || !out.learned.empty();
  for (const auto& duty : out.duty)
    if (duty.held) judge_.duty_taken(duty.term);
  for (auto& [token, rows] : out.writes) m.writes.emplace_back(token, std::move(rows));
  for (auto& [to, message] : out.envelopes) post(n, to, std::move(message));
  for (const auto& value : out.learned) {
    const chain::Mark mark = mark_in(*value);
    judge_.in_force(mark);
    if (mark.version <= m.version) judge_.fail(Rule::newest, "a member's configuration goes back");
    m.version = mark.version;
  }
  judge_.list_seen(epoch_of(*m.member), list_hash_of(*m.member));
  for (const auto& finished : out.finished) ended(n, finished);
}

void System::post(std::size_t from, const std::string& to, Message message) {
  const Machine& m = machines_[from];
  if (is_vote(message) && m.untold && m.told_by.size() <= kMembers / 2 &&
      !listed_with_its_disk(*m.member, m.ip))
    judge_.fail(Rule::disk_counts, "a member without its disk votes");
  for (std::size_t n = 0; n < kMachines; ++n) {
    if (machines_[n].ip != to) continue;
    if (!machines_[n].member || m.mute_until > now_ || machines_[n].deaf_until > now_) return;
    const std::uint64_t hash = fnv1a(common::pack(message));
    line(from, n).messages.emplace_back(hash, std::move(message));
  }
}

void System::put(std::size_t n, std::uint64_t version, const std::string& content, bool first) {
  Machine& m = machines_[n];
  operators_ = mix(mix(operators_, n * 8 + version * 2 + (first ? 1 : 0)), static_cast<std::uint64_t>(now_));
  if (!m.member || m.frozen_until > now_) return;
  const std::string value = contents(version, content);
  note(n, 30, fnv1a(value));
  const auto ticket = m.member->put(quorum::bytes_of(value), version, kLimit, kBegin + now_);
  calls_[{n, ticket}] = {true, first, chain::mark_of(version, value), judge_.acknowledged()};
  take(n);
}

void System::read(std::size_t n) {
  Machine& m = machines_[n];
  if (!m.member || m.frozen_until > now_) return;
  operators_ = mix(mix(operators_, n), static_cast<std::uint64_t>(now_));
  note(n, 31, 0);
  const auto ticket = m.member->read(kLimit, kBegin + now_);
  calls_[{n, ticket}] = {false, false, {}, judge_.acknowledged()};
  take(n);
}

void System::ended(std::size_t n, const quorum::Finished& finished) {
  const auto at = calls_.find({n, finished.ticket});
  if (at == calls_.end()) return;
  const Call call = at->second;
  calls_.erase(at);
  operators_ = mix(mix(operators_, finished.good ? 1 : 0), mix(finished.mark.version, finished.mark.digest));
  if (!call.puts) return judge_.read_ended(call.acknowledged_before, finished);
  judge_.put_ended(call.mark, call.acknowledged_before, finished);
  if (call.first && finished.good) first_done_ = true;
}

void System::check_holders() {
  std::size_t holders = 0;
  for (const Machine& m : machines_)
    if (m.member && m.member->holds(kBegin + now_) && !m.member->members().empty()) ++holders;
  if (holders > 1) judge_.fail(Rule::one_holder, "two holders of the duty at once");
}

// ---- choices

// A crash, a freeze and the like change only what is done at their machine, so they are tried before steps at
// that machine; what changes the network round it or several machines, before every step.
std::vector<Choice> System::choices() const {
  std::vector<Choice> all;
  const Next next = this->next();
  if (next.what == Do::nothing || next.what == Do::wait || next.what == Do::start || next.what == Do::given)
    return all;
  const bool orders = next.what == Do::message || next.what == Do::write;
  if (orders && count_ready() > 1) all.push_back({Kind::after_others, 0});
  if (orders) all.push_back({Kind::hold, 0});
  if (next.what == Do::message) all.push_back({Kind::lose, 0});
  const auto at = static_cast<std::uint8_t>(next.to);
  for (const Kind kind : {Kind::freeze, Kind::crash, Kind::down, Kind::lose_disk, Kind::lose_disk_all_down,
                          Kind::mute, Kind::end, Kind::replace, Kind::put_same, Kind::put_other, Kind::read})
    all.push_back({kind, at});
  all.push_back({Kind::crash_all, 0});
  for (std::uint8_t n = 0; n < kMembers; ++n)
    for (const Kind kind : {Kind::cut, Kind::deaf, Kind::crash_others}) all.push_back({kind, n});
  return all;
}

bool System::apply(const Choice& choice) {
  const Next next = this->next();
  Machine& m = machines_[choice.machine];
  const bool orders = next.what == Do::message || next.what == Do::write;
  const bool disk_lost =
      std::any_of(machines_.begin(), machines_.end(), [](const Machine& x) { return x.gone || x.lost; });
  const bool needs_none = is_delay(choice.kind) || choice.kind == Kind::lose ||
                          choice.kind == Kind::crash_all || choice.kind == Kind::join;
  if (!needs_none && !m.member) return false;
  switch (choice.kind) {
    case Kind::after_others:
      if (!orders || count_ready() < 2) return false;
      (next.what == Do::message ? line(next.from, next.to).after : machines_[next.to].disk_after) = true;
      break;
    case Kind::hold:
      if (!orders) return false;
      (next.what == Do::message ? line(next.from, next.to).held_until : machines_[next.to].disk_held_until) =
          now_ + kHold;
      break;
    case Kind::lose:
      if (next.what != Do::message) return false;
      line(next.from, next.to) = {};
      break;
    case Kind::freeze:
      m.frozen_until = now_ + kHold;
      break;
    case Kind::crash:
      stop(choice.machine, kSoon);
      break;
    case Kind::down:
      stop(choice.machine, kLong);
      break;
    case Kind::crash_all:
      for (std::size_t n = 0; n < kMachines; ++n) stop(n, kSoon);
      break;
    case Kind::crash_others:
      for (std::size_t n = 0; n < kMachines; ++n)
        if (n != choice.machine) stop(n, kSoon);
      break;
    case Kind::lose_disk:
    case Kind::lose_disk_all_down:
      if (disk_lost) return false;  // one disk at a time must be borne
      if (choice.kind == Kind::lose_disk_all_down)
        for (std::size_t n = 0; n < kMachines; ++n) stop(n, kSoon);
      lose_disk(choice.machine);
      machines_[choice.machine].start_at = now_ + kSoon;
      break;
    case Kind::cut:
      m.deaf_until = m.mute_until = now_ + kLong;
      break;
    case Kind::deaf:
      m.deaf_until = now_ + kLong;
      break;
    case Kind::mute:
      m.mute_until = now_ + kLong;
      break;
    case Kind::end:
      if (m.stop_at >= 0) return false;
      note(choice.machine, 40, 0);
      m.stop_at = now_ + kSoon;
      m.member->leave(kBegin + now_);
      take(choice.machine);
      break;
    case Kind::replace:
      if (choice.machine == kMembers || disk_lost) return false;
      replace(choice.machine);
      break;
    case Kind::join:
      if (choice.machine != kMembers || m.member) return false;
      m.start_at = now_;
      break;
    case Kind::put_same:
      put(choice.machine, kFirstVersion, "b", false);
      break;
    case Kind::put_other:
      put(choice.machine, kFirstVersion + 1, "c", false);
      break;
    case Kind::read:
      read(choice.machine);
      break;
  }
  ++steps_;
  last_choice_ = std::max(last_choice_, now_);
  check_holders();
  return true;
}

std::uint64_t System::fingerprint() const {
  std::uint64_t hash = mix(mix(judge_.fingerprint(), operators_), static_cast<std::uint64_t>(now_));
  const auto add = [&](Micros value) { hash = mix(hash, static_cast<std::uint64_t>(value)); };
  const auto left = [&](Micros until) { add(std::max(until, now_)); };
  for (const Machine& m : machines_) {
    hash = mix(mix(hash, m.history), m.life);
    add(m.start_at);
    add(m.stop_at);
    left(m.frozen_until);
    left(m.disk_held_until);
    left(m.deaf_until);
    left(m.mute_until);
    add((m.member ? 1 : 0) + (m.disk_after ? 2 : 0) + (m.untold ? 4 : 0) + (m.bootstrap ? 8 : 0) +
        (m.gone ? 16 : 0) + (m.lost ? 32 : 0));
    add(static_cast<Micros>(m.writes.size()));
  }
  for (const Line& l : lines_) {
    left(l.messages.empty() ? 0 : l.held_until);
    add(l.after ? 1 : 0);
    for (const auto& [message, ignored] : l.messages) hash = mix(hash, message);
  }
  add(put_at_ + static_cast<Micros>(put_machine_));
  add(read_at_);
  add(last_choice_);
  add(static_cast<Micros>(given_));
  return hash;
}

}  // namespace woadridge::lab::model
