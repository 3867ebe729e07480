#include "group/membership.h"

#include <algorithm>
#include <cmath>

namespace woadridge::group {
namespace {

constexpr std::size_t kHelpers = 3;        // asked in one's place; the published figure
constexpr double kSuspicionPeriods = 4;    // times log10 of the members: the least time of a suspicion ...
constexpr double kSuspicionStretch = 6;    // ... and the longest is so many times that
constexpr double kConfirmations = 2;       // by so many others it has come down to the least
constexpr Micros kWholeEvery = 5'000'000;  // a member at random, or one that was lost, is told all
constexpr Micros kForgetAfter = 120'000'000;
// Guards against two processes under one name: each hears of the other and outbids it, again and again. One
// that has only inherited its predecessor's name hears of it a few times at most.
constexpr int kContests = 6;
constexpr Micros kContestSpan = 10'000'000;

bool is_there_state(wire::State state) {
  return state == wire::ALIVE || state == wire::SUSPECT;
}

}  // namespace

const char* name_of(wire::State state) {
  if (state == wire::ALIVE) return "alive";
  if (state == wire::SUSPECT) return "suspect";
  return state == wire::DEAD ? "dead" : "left";
}

Membership::Membership(const Options& options, std::uint64_t run, std::uint64_t incarnation,
                       std::uint64_t seed)
    : options_(options),
      run_(run),
      incarnation_(incarnation),
      chance_(static_cast<std::uint_fast32_t>(seed % 2'147'483'646 + 1)) {}

void Membership::start(Micros now, Out& out) {
  period_end_ = now;
  next_whole_ = now;
  tick(now, out);
}

std::optional<std::string> Membership::address_of(const std::string& name) const {
  const auto found = members_.find(name);
  if (found == members_.end()) return std::nullopt;
  return found->second.address;
}

bool Membership::is_there(const std::string& name) const {
  if (name == options_.name) return !left_;
  const auto found = members_.find(name);
  return found != members_.end() && is_there_state(found->second.state);
}

std::size_t Membership::alive() const {
  return 1 + static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto& m) {
           return is_there_state(m.second.state);
         }));
}

// ---- rumours ----

wire::Rumour Membership::own_rumour() const {
  wire::Rumour r;
  r.set_name(options_.name);
  r.set_address(options_.address);
  r.set_zone(options_.zone);
  r.set_machine(options_.machine);
  r.set_incarnation(incarnation_);
  r.set_run(run_);
  r.set_state(left_ ? wire::LEFT : wire::ALIVE);
  return r;
}

wire::Rumour Membership::rumour_of(const std::string& name) const {
  if (name == options_.name) return own_rumour();
  const Member& m = members_.at(name);
  wire::Rumour r;
  r.set_name(name);
  r.set_address(m.address);
  r.set_zone(m.zone);
  r.set_machine(m.machine);
  r.set_incarnation(m.incarnation);
  r.set_run(m.run);
  r.set_state(m.state);
  if (m.state == wire::SUSPECT && !m.suspected_by.empty()) r.set_from(*m.suspected_by.begin());
  return r;
}

void Membership::spread(const std::string& name) {
  to_spread_[name] = 0;
}

// First what is believed of the receiver, if it is not well: only it can refute that. Then what was told
// least often. What has been told often enough is known to all with high probability.
void Membership::add_rumours(const std::string& to, wire::Frame& frame) {
  std::set<std::string> told;
  const auto add = [&](const std::string& name) {
    if (name != options_.name && !members_.contains(name)) return;
    if (told.insert(name).second) *frame.add_rumours() = rumour_of(name);
  };
  if (const auto found = members_.find(to); found != members_.end() && found->second.state != wire::ALIVE)
    add(to);
  std::vector<std::pair<int, std::string>> waiting;
  for (const auto& [name, times] : to_spread_) waiting.emplace_back(times, name);
  std::sort(waiting.begin(), waiting.end());
  const int enough = 4 * static_cast<int>(std::ceil(std::log10(static_cast<double>(members_.size()) + 2)));
  for (const auto& [times, name] : waiting) {
    if (told.size() >= kMostRumours) break;
    add(name);
    if (++to_spread_[name] >= enough) to_spread_.erase(name);
  }
}

void Membership::send(const std::string& name, const std::string& address, wire::Frame frame, Out& out) {
  frame.set_to(name);
  add_rumours(name, frame);
  out.push_back({address, std::move(frame)});
}

void Membership::set_state(const std::string& name, Member& member, wire::State state, Micros now,
                           std::string why) {
  const bool changed = member.state != state;
  member.state = state;
  if (state != wire::SUSPECT) member.suspected_by.clear();
  spread(name);
  if (!changed) return;
  member.since = now;
  changes_.push_back({name, state, std::move(why)});
}

void Membership::hear(const wire::Rumour& rumour, Micros now) {
  if (rumour.name().empty()) return;
  if (rumour.name() == options_.name) return hear_of_self(rumour, now);
  auto found = members_.find(rumour.name());
  if (found == members_.end()) {
    if (!is_there_state(rumour.state()) || members_.size() >= kMostMembers) return;
    found = members_.emplace(rumour.name(), Member{}).first;
    found->second.state = wire::LEFT;  // until below
    order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(chance_() % (order_.size() + 1)),
                  rumour.name());
  }
  Member& m = found->second;
  const std::uint64_t told = rumour.incarnation();
  if (told > m.incarnation) {
    m.address = rumour.address();
    m.zone = rumour.zone();
    m.machine = rumour.machine();
    m.incarnation = told;
    m.run = rumour.run();
    m.suspected_by.clear();
    if (rumour.state() == wire::ALIVE) return set_state(found->first, m, wire::ALIVE, now, "heard of");
    if (m.state == wire::LEFT) set_state(found->first, m, wire::ALIVE, now, "heard of");
  }
  if (told < m.incarnation) return;
  switch (rumour.state()) {
    case wire::SUSPECT:
      return suspect(found->first, told, rumour.from(), now);
    case wire::DEAD:
      if (is_there_state(m.state)) set_state(found->first, m, wire::DEAD, now, "heard to be dead");
      return;
    case wire::LEFT:
      if (m.state != wire::LEFT) set_state(found->first, m, wire::LEFT, now, "has left");
      return;
    default:
      return;
  }
}

// Only this member raises its own incarnation: by that what is wrongly believed of it is refuted.
void Membership::hear_of_self(const wire::Rumour& rumour, Micros now) {
  if (left_) return;
  const bool other = rumour.run() != 0 && rumour.run() != run_;
  if (rumour.incarnation() < incarnation_) return;
  if (!other && rumour.state() == wire::ALIVE) return;
  if (rumour.state() != wire::ALIVE && !other)
    worse(1);  // others had no answer from here: perhaps it is slow
  if (other && rumour.state() == wire::ALIVE) {
    contests_ = now - contested_ > kContestSpan ? 1 : contests_ + 1;
    contested_ = now;
    if (contests_ >= kContests && rumour.run() > run_ && !std::exchange(displaced_, true))
      changes_.push_back({options_.name, wire::LEFT, "a later process has this name"});
  }
  incarnation_ = rumour.incarnation() + 1;
  spread(options_.name);
}

// ---- suspicion ----

void Membership::suspect(const std::string& name, std::uint64_t incarnation, const std::string& by,
                         Micros now) {
  Member& m = members_.at(name);
  if (incarnation < m.incarnation || !is_there_state(m.state)) return;
  const bool fresh = m.state == wire::ALIVE;
  if (!fresh && m.suspected_by.contains(by)) return;
  if (fresh) set_state(name, m, wire::SUSPECT, now, by == options_.name ? "no answer" : "suspected by " + by);
  else if (m.suspected_by.size() <= kConfirmations) spread(name);
  confirm(m, by);
}

// The more members have no answer, the sooner it counts as dead; one alone may have its own trouble.
void Membership::confirm(Member& m, const std::string& by) {
  if (m.suspected_by.size() > kConfirmations) return;
  m.suspected_by.insert(by);
  const double members = std::max(1.0, std::log10(static_cast<double>(members_.size()) + 1));
  const double least = kSuspicionPeriods * members * static_cast<double>(options_.probe_every);
  const double longest = kSuspicionStretch * least;
  const double others = static_cast<double>(m.suspected_by.size()) - 1;
  const double time = longest - (longest - least) * std::log(others + 1) / std::log(kConfirmations + 1);
  m.suspect_until = m.since + static_cast<Micros>(std::max(least, time));
}

// ---- probing ----

std::string Membership::next_probed() {
  for (std::size_t i = order_.size(); i > 0; --i) {
    const std::string name = order_.front();
    order_.pop_front();
    const auto found = members_.find(name);
    if (found == members_.end()) continue;
    order_.push_back(name);
    if (is_there_state(found->second.state)) return name;
  }
  return {};
}

std::vector<std::string> Membership::some(std::size_t most, const std::string& but) {
  std::vector<std::string> names;
  for (const auto& [name, m] : members_)
    if (name != but && m.state == wire::ALIVE) names.push_back(name);
  std::shuffle(names.begin(), names.end(), chance_);
  names.resize(std::min(most, names.size()));
  return names;
}

void Membership::begin_period(Micros now, Out& out) {
  acked_ = false;
  helpers_ = helpers_not_heard_ = 0;
  probed_ = next_probed();
  probed_at_ = now;
  period_end_ = now + scaled(options_.probe_every);
  ask_others_at_ = INT64_MAX;
  if (probed_.empty()) return;
  ask_others_at_ = now + scaled(options_.probe_timeout);
  probe_number_ = ++numbers_;
  wire::Frame frame;
  frame.mutable_ping()->set_number(probe_number_);
  send(probed_, members_.at(probed_).address, std::move(frame), out);
}

void Membership::ask_others(Micros, Out& out) {
  ask_others_at_ = INT64_MAX;
  if (probed_.empty() || acked_ || !members_.contains(probed_)) return;
  for (const auto& helper : some(kHelpers, probed_)) {
    ++helpers_;
    wire::Frame frame;
    frame.mutable_ping_for()->set_number(probe_number_);
    frame.mutable_ping_for()->set_name(probed_);
    send(helper, members_.at(helper).address, std::move(frame), out);
  }
}

// No helper said even that it had no answer: then this member's own links are in doubt, and it judges later.
void Membership::end_period(Micros now) {
  const auto found = members_.find(probed_);
  if (probed_.empty() || found == members_.end()) return;
  if (acked_) return worse(-1);
  found->second.link = Link::none;
  if (helpers_ > 0) worse(helpers_ - helpers_not_heard_);
  suspect(probed_, found->second.incarnation, options_.name, now);
}

void Membership::acked(const wire::Frame& frame, const wire::Ack& ack, Micros now, Out& out) {
  if (const auto relay = relays_.find(ack.number()); relay != relays_.end()) {
    if (const auto address = address_of(relay->second.asker)) {
      wire::Frame back;
      back.mutable_ack()->set_number(relay->second.number);
      send(relay->second.asker, *address, std::move(back), out);
    }
    relays_.erase(relay);
    return;
  }
  if (ack.number() != probe_number_ || probed_.empty()) return;
  if (ack.not_heard()) {
    ++helpers_not_heard_;
    return;
  }
  const auto found = members_.find(probed_);
  if (found == members_.end() || std::exchange(acked_, true)) return;
  Member& m = found->second;
  m.link = frame.from() == probed_ ? Link::direct : Link::indirect;
  m.answer = now - probed_at_;
  m.slow = m.answer > options_.probe_timeout;
}

// ---- what comes in ----

void Membership::receive(const wire::Frame& frame, Micros now, Out& out) {
  if (!frame.to().empty() && frame.to() != options_.name) {
    ++misdirected_;  // this address was another member's a while ago
    return;
  }
  for (const auto& rumour : frame.rumours()) hear(rumour, now);
  if (left_) return;
  const auto address = address_of(frame.from());
  if (frame.has_whole()) {
    if (!frame.whole().answer() && address) tell_whole(frame.from(), *address, true, out);
    return;
  }
  if (frame.has_ack()) return acked(frame, frame.ack(), now, out);
  if (!address) return;  // it is told of with its first whole
  if (frame.has_ping()) {
    wire::Frame back;
    back.mutable_ack()->set_number(frame.ping().number());
    return send(frame.from(), *address, std::move(back), out);
  }
  if (frame.has_ping_for()) {
    const auto target = address_of(frame.ping_for().name());
    if (!target) return;
    const std::uint64_t number = ++numbers_;
    relays_[number] = {frame.from(), frame.ping_for().number(), now + options_.probe_timeout * 4 / 5};
    wire::Frame ask;
    ask.mutable_ping()->set_number(number);
    send(frame.ping_for().name(), *target, std::move(ask), out);
  }
}

// ---- time ----

void Membership::tick(Micros now, Out& out) {
  if (left_) {
    period_end_ = next_whole_ = INT64_MAX;
    return;
  }
  for (auto relay = relays_.begin(); relay != relays_.end();) {
    if (relay->second.until > now) {
      ++relay;
      continue;
    }
    if (const auto address = address_of(relay->second.asker)) {
      wire::Frame back;
      back.mutable_ack()->set_number(relay->second.number);
      back.mutable_ack()->set_not_heard(true);
      send(relay->second.asker, *address, std::move(back), out);
    }
    relay = relays_.erase(relay);
  }
  if (now >= ask_others_at_) ask_others(now, out);
  if (now >= period_end_) {
    // Guards against judging others for this process's own pause: who was not there to hear has heard
    // nothing.
    if (now - period_end_ > options_.probe_every) worse(1);
    else end_period(now);
    begin_period(now, out);
    for (auto& [name, m] : members_)
      if (m.state == wire::SUSPECT && now >= m.suspect_until)
        set_state(name, m, wire::DEAD, now,
                  "suspected by " + std::to_string(m.suspected_by.size()) + " in vain");
    forget_old(now);
  }
  if (now >= next_whole_) reach_out(now, out);
}

void Membership::forget_old(Micros now) {
  std::erase_if(members_, [&](const auto& m) {
    return !is_there_state(m.second.state) && now - m.second.since > kForgetAfter;
  });
}

void Membership::tell_whole(const std::string& name, const std::string& address, bool answer, Out& out) {
  wire::Frame frame;
  frame.set_to(name);
  frame.mutable_whole()->set_answer(answer);
  *frame.add_rumours() = own_rumour();
  for (const auto& [other, m] : members_) *frame.add_rumours() = rumour_of(other);
  out.push_back({address, std::move(frame)});
}

// To one that is there, and to one that is lost or was never met: guards against two halves that have each
// given up the other and would never speak again once the link is back.
void Membership::reach_out(Micros now, Out& out) {
  const auto alive_ones = some(1, {});
  next_whole_ = now + kWholeEvery / (alive_ones.empty() ? 5 : 1);
  for (const auto& name : alive_ones) tell_whole(name, members_.at(name).address, false, out);
  std::set<std::string> lost(options_.seeds.begin(), options_.seeds.end());
  for (const auto& v : options_.voters) lost.insert(v.address);
  for (const auto& [name, m] : members_)
    if (m.state == wire::DEAD) lost.insert(m.address);
  for (const auto& [name, m] : members_)
    if (is_there_state(m.state)) lost.erase(m.address);
  lost.erase(options_.address);
  std::vector<std::string> addresses(lost.begin(), lost.end());
  std::shuffle(addresses.begin(), addresses.end(), chance_);
  addresses.resize(std::min<std::size_t>(addresses.size(), 2));
  for (const auto& address : addresses) tell_whole({}, address, false, out);
}

void Membership::leave(Micros, Out& out) {
  if (left_) return;
  left_ = true;
  ++incarnation_;
  for (const auto& name : some(kMostRumours, {})) {
    wire::Frame frame;
    frame.set_to(name);
    frame.mutable_ack();  // to no question: only what it carries counts
    *frame.add_rumours() = own_rumour();
    out.push_back({members_.at(name).address, std::move(frame)});
  }
}

}  // namespace woadridge::group
