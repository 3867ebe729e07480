#include "duty/registrar.h"

#include <algorithm>

#include "duty/planted.h"
#include "text.h"

namespace woadridge::duty {
namespace {

constexpr std::size_t kMostAtOnce = 1'000;  // assignments in one entry: some 60 KB
constexpr Micros kPlanEvery = 1'000'000;    // also if nothing is known to have changed
constexpr std::string_view kList = "list/";
constexpr std::string_view kProbe = "probe/";

}  // namespace

std::uint64_t digest_of(const std::set<std::string>& duties) {
  std::uint64_t sum = 0;
  for (const auto& d : duties) sum += fnv1a(d);
  return sum | 1;
}

// By the leader's clock: by then the member, by its own, has stopped.
Micros Registrar::whole_lease() const {
  return static_cast<Micros>(static_cast<double>(options_.lease) * (1 + 2 * options_.drift));
}

void Registrar::send(const std::string& to, wire::Frame frame, Out& out) {
  const auto address = address_of_(to);
  if (!address) return;
  frame.set_to(to);
  out.push_back({*address, std::move(frame)});
}

// What its predecessor may have prolonged until the moment it lost its quorum has to run out first.
void Registrar::begin(Micros now) {
  serves_in_ = consensus_.term();
  live_.clear();
  to_open_.clear();
  to_give_up_.clear();
  wants_.clear();
  waiting_.clear();
  planned_index_ = 0;
  const auto whole = whole_lease();
  const Micros wait = planted(Planted::no_wait_after_election) ? 0 : whole;
  for (const auto& [who, open] : ledger_.sessions()) live_[who].until = now + wait;
}

void Registrar::receive(const wire::Frame& frame, Micros now, Out& out) {
  if (!consensus_.serves()) {
    if (!frame.has_keep_alive()) return;
    wire::Frame back;
    if (!consensus_.leads()) back.mutable_kept()->set_leader(consensus_.leader());
    back.mutable_kept()->set_number(frame.keep_alive().number());
    back.mutable_kept()->set_run(frame.run());
    if (consensus_.leads() || !consensus_.leader().empty()) send(frame.from(), std::move(back), out);
    return;
  }
  if (serves_in_ != consensus_.term()) begin(now);
  const Who who{frame.from(), frame.run()};
  if (frame.has_keep_alive()) return keep_alive(who, frame.keep_alive(), now, out);
  if (frame.has_wants() && live_.contains(who)) {
    auto& wanted = wants_[frame.wants().zone()];
    wanted.clear();
    for (const auto& duty : frame.wants().duties())
      if (duty.starts_with(kProbe) && zone_of(duty) == frame.wants().zone()) wanted.insert(duty);
    planned_index_ = 0;
  }
}

void Registrar::keep_alive(const Who& who, const wire::KeepAlive& k, Micros now, Out& out) {
  floor_ = std::max(floor_, k.seen());
  const auto found = live_.find(who);
  if (found == live_.end() || !ledger_.sessions().contains(who)) {
    wire::Frame back;  // what it thinks it holds it holds no longer
    back.mutable_kept()->set_number(k.number());
    back.mutable_kept()->set_run(who.run);
    back.mutable_kept()->set_version(ledger_.index());
    send(who.name, std::move(back), out);
    if (!k.leaving()) to_open_[who] = k.zone(), planned_index_ = 0;
    return;
  }
  Live& live = found->second;
  if (live.closing && !planted(Planted::keep_closing)) return;
  for (const auto number : k.given_up())
    if (const auto* duty = ledger_.duty_of(number);
        duty != nullptr && ledger_.duties().at(*duty).holder == who)
      to_give_up_.insert(number), planned_index_ = 0;
  if (k.leaving()) planned_index_ = 0;
  live.leaving = live.leaving || k.leaving();
  live.number = k.number();
  live.received = now;
  live.told = k.told();
  waiting_.insert(who);
  if (k.wants() == 0 || options_.probe_workers == 0) return;
  std::set<std::string> known;
  const std::string prefix = std::string(kProbe) + k.zone() + "/";
  for (auto d = ledger_.duties().lower_bound(prefix);
       d != ledger_.duties().end() && d->first.starts_with(prefix); ++d)
    known.insert(d->first);
  if (digest_of(known) == k.wants() || wants_.contains(k.zone())) return;
  wire::Frame ask;
  ask.mutable_kept()->set_known(true);
  ask.mutable_kept()->set_run(who.run);
  ask.mutable_kept()->set_want_all(true);
  send(who.name, std::move(ask), out);
}

void Registrar::fill(wire::Kept& kept, const Who& who, std::uint64_t told) const {
  const auto& open = ledger_.sessions().at(who);
  kept.set_known(true);
  kept.set_run(who.run);
  kept.set_version(open.changed);
  if (told == open.changed) return;
  kept.set_whole(true);
  for (const auto& [duty, number] : open.holds) {
    auto* held = kept.add_held();
    held->set_duty(duty);
    held->set_number(number);
  }
}

// A lease is prolonged only by a round that began after the keep-alive had come and that a majority has
// answered: until then nobody else had been elected. A leader that is cut off prolongs nothing.
void Registrar::answer_confirmed(Out& out) {
  for (auto w = waiting_.begin(); w != waiting_.end();) {
    const Who who = *w;
    const auto found = live_.find(who);
    if (found == live_.end() || !ledger_.sessions().contains(who)) {
      w = waiting_.erase(w);
      continue;
    }
    ++w;
    Live& live = found->second;
    if (live.closing && !planted(Planted::keep_closing)) continue;
    if (live.received > consensus_.confirmed() && !planted(Planted::keep_without_quorum)) continue;
    const auto whole = whole_lease();
    live.until = std::max(live.until, live.received + whole);
    wire::Frame frame;
    fill(*frame.mutable_kept(), who, live.told);
    frame.mutable_kept()->set_number(live.number);
    frame.mutable_kept()->set_give_back(static_cast<std::uint32_t>(std::exchange(live.spare, 0)));
    live.number = 0;
    waiting_.erase(who);
    if (live.leaving) planned_index_ = 0;
    send(who.name, std::move(frame), out);
  }
}

// A new holder need not wait for its next keep-alive: its lease is that of its session.
void Registrar::tell_changed(Out& out) {
  for (const auto& who : ledger_.take_changed()) {
    if (!ledger_.sessions().contains(who)) continue;
    wire::Frame frame;
    fill(*frame.mutable_kept(), who, 0);
    send(who.name, std::move(frame), out);
  }
}

void Registrar::look(Micros now, Out& out) {
  wake_ = INT64_MAX;
  if (!consensus_.serves()) {
    if (!consensus_.leads()) serves_in_ = 0, ledger_.take_changed();
    return;
  }
  if (serves_in_ != consensus_.term()) begin(now);
  tell_changed(out);
  answer_confirmed(out);
  if (const auto newcomer = consensus_.newcomer()) newcomer_ = newcomer, planned_index_ = 0;
  // With nothing new there is nothing to plan: this is looked at with each frame.
  if (planned_index_ != ledger_.index() || now >= planned_until_) plan(now, out);
  wake_ = planned_until_;
}

bool Registrar::close_one(wire::Command& c, Micros now) {
  for (auto& [who, live] : live_) {
    const auto open = ledger_.sessions().find(who);
    if (open == ledger_.sessions().end()) continue;
    const bool gone = live.leaving && open->second.holds.empty() && live.number == 0;
    if (!gone && now <= live.until) continue;
    live.closing = true;
    c.mutable_close()->set_name(who.name);
    c.mutable_close()->set_run(who.run);
    return true;
  }
  return false;
}

// To whom of the zone has the least; among equals the name's place in an order of the duty's own, so that all
// do not begin with the same member.
void Registrar::hand_out(wire::Command& c) {
  std::map<std::string, std::vector<std::pair<std::size_t, Who>>> by_zone;
  const Who closed{c.close().name(), c.close().run()};
  for (const auto& [who, live] : live_) {
    const auto open = ledger_.sessions().find(who);
    if (open == ledger_.sessions().end() || live.leaving || live.closing || who == closed) continue;
    by_zone[open->second.zone].emplace_back(open->second.holds.size(), who);
  }
  std::set<std::string> free = ledger_.free();
  for (const auto number : c.give_up()) free.insert(*ledger_.duty_of(number));
  if (const auto open = ledger_.sessions().find(closed); open != ledger_.sessions().end())
    for (const auto& [duty, number] : open->second.holds) free.insert(duty);
  for (const auto& duty : c.ask()) free.insert(duty);
  for (const auto& duty : c.drop()) free.erase(duty);
  for (const auto& duty : free) {
    auto& members = by_zone[zone_of(duty)];
    if (members.empty()) continue;
    if (static_cast<std::size_t>(c.assign_size()) >= kMostAtOnce) return;
    const auto order = [&](const auto& m) { return std::pair(m.first, fnv1a(duty + m.second.name)); };
    auto& chosen = *std::min_element(members.begin(), members.end(),
                                     [&](const auto& a, const auto& b) { return order(a) < order(b); });
    ++chosen.first;
    auto* a = c.add_assign();
    a->set_duty(duty);
    a->set_name(chosen.second.name);
    a->set_run(chosen.second.run);
  }
}

// Who holds more than twice its part hands some on when it suits; less than that is not worth a move.
void Registrar::spread_evenly() {
  std::map<std::string, std::pair<std::size_t, std::size_t>> zones;  // members and duties
  for (const auto& [who, live] : live_) {
    const auto open = ledger_.sessions().find(who);
    if (open == ledger_.sessions().end() || live.leaving || live.closing) continue;
    ++zones[open->second.zone].first;
    zones[open->second.zone].second += open->second.holds.size();
  }
  for (auto& [who, live] : live_) {
    const auto open = ledger_.sessions().find(who);
    if (open == ledger_.sessions().end()) continue;
    const auto& [members, duties] = zones[open->second.zone];
    const std::size_t part = members == 0 ? duties : (duties + members - 1) / members;
    const std::size_t has = open->second.holds.size();
    live.spare = has > 2 * part ? static_cast<int>(std::min<std::size_t>(has - part, 50)) : 0;
  }
}

// One entry at a time, from what the last one has led to.
void Registrar::plan(Micros now, Out& out) {
  planned_until_ = now + kPlanEvery;
  if (consensus_.committed() != ledger_.index() || consensus_.pending()) return;
  wire::Command c;
  bool some = false;
  if (newcomer_) *c.mutable_admit() = *newcomer_, some = true;
  newcomer_.reset();
  if (!to_open_.empty()) {
    const auto [who, zone] = *to_open_.begin();
    to_open_.erase(to_open_.begin());
    c.mutable_open()->set_name(who.name);
    c.mutable_open()->set_run(who.run);
    c.mutable_open()->set_zone(zone);
    some = true;
  }
  std::erase_if(live_,
                [&](const auto& l) { return l.second.closing && !ledger_.sessions().contains(l.first); });
  for (const auto& [who, open] : ledger_.sessions()) {
    if (live_.contains(who)) continue;
    live_[who].until = now + whole_lease();
  }
  some = close_one(c, now) || some;
  for (const auto number : std::exchange(to_give_up_, {}))
    if (ledger_.duty_of(number) != nullptr) c.add_give_up(number), some = true;
  std::set<std::string> zones;
  for (const auto& [who, open] : ledger_.sessions()) zones.insert(open.zone);
  for (const auto& zone : zones)
    if (const std::string duty = std::string(kList) + zone;
        options_.share_list && !ledger_.duties().contains(duty))
      c.add_ask(duty), some = true;
  for (const auto& [zone, wanted] : std::exchange(wants_, {})) {
    const std::string prefix = std::string(kProbe) + zone + "/";
    for (auto d = ledger_.duties().lower_bound(prefix);
         d != ledger_.duties().end() && d->first.starts_with(prefix); ++d)
      if (!wanted.contains(d->first)) c.add_drop(d->first), some = true;
    for (const auto& duty : wanted)
      if (!ledger_.duties().contains(duty)) c.add_ask(duty), some = true;
  }
  // Numbers that a member has met and this log does not know: the log was lost and begun anew.
  if (floor_ > ledger_.last_number() && !planted(Planted::number_restarts)) c.set_floor(floor_);
  hand_out(c);
  if (some || c.assign_size() > 0) return consensus_.propose(c, out);
  planned_index_ = ledger_.index();
  for (const auto& [who, live] : live_)
    if (!live.closing) planned_until_ = std::min(planned_until_, live.until + 1);
  spread_evenly();
}

}  // namespace woadridge::duty
