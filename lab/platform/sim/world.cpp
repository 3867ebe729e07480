#include "lab/platform/sim/world.h"

#include <algorithm>
#include <iterator>

#include "common/frames.h"
#include "lab/platform/votes.h"
#include "text.h"

namespace woadridge::lab::sim {

using quorum::Bytes;
using quorum::Finished;
using quorum::Member;
using quorum::Message;
using quorum::Rows;

namespace {

constexpr Micros kLimit = 900'000;  // of an operator's call
constexpr std::size_t kMostNotes = 400;

enum Use : std::uint64_t { kNode = 100, kWay, kLife };

// How a member is made and asked, and what its answers mean.
quorum::Options options_of(const std::string& ip, std::size_t place, std::size_t losses) {
  quorum::Options options;
  options.losses = losses;
  options.self = {ip, ip + ":80", "z" + std::to_string(place % 3), 0};
  return options;
}
std::uint64_t ask_put(Member& member, const std::string& value, std::uint64_t version, Micros now) {
  return member.put(quorum::bytes_of(value), version, kLimit, now);
}
std::uint64_t ask_read(Member& member, Micros now) {
  return member.read(kLimit, now);
}
std::uint64_t view_of(const Member& member) {
  return member.chain().replica().view().number;
}

}  // namespace

std::string configuration(std::uint64_t version, std::uint64_t salt) {
  return std::to_string(version) + ":" + std::to_string(salt) +
         std::string(version % 7 == 0 ? 3000 : 30, 'x');
}

std::uint64_t version_in(const std::string& value) {
  return std::stoull(value);
}

World::World(std::size_t members, std::uint64_t seed, Lines lines, std::size_t losses)
    : seed_(seed), lines_(lines), losses_(losses) {
  nodes.reserve(kMostNodes);  // others refer to them
  nodes.resize(members);
  cut_until_.resize(kMostNodes * kMostNodes);
  link_free_at_.resize(kMostNodes * kMostNodes);
  connection_.resize(kMostNodes * kMostNodes);
  for (std::size_t from = 0; from < kMostNodes; ++from)
    for (std::size_t to = 0; to < kMostNodes; ++to) {
      const bool founders = from < members && to < members;  // theirs don't depend on how many may come
      ways_.emplace_back(seed, kWay, founders ? from * members + to : (from + kMostNodes) * kMostNodes + to);
    }
  for (std::size_t i = 0; i < members; ++i) places_.push_back(i);
  for (std::size_t i = 0; i < members; ++i) {
    Node& node = nodes[i];
    node.ip = "10.0.0." + std::to_string(i + 1);
    node.place = i;
    by_ip_[node.ip] = i;
    node.dice = Dice(seed, kNode, i);
    node.rate = 1 + (node.dice.share() * 2 - 1) * kMostDrift;
    node.clock_since = now;
    node.clock_from = now;
    // One that founds sees the same three as the others.
    for (std::size_t s = 0; s < std::min<std::size_t>(3, members); ++s)
      node.seeds.push_back("10.0.0." + std::to_string(s + 1));
  }
  for (std::size_t i = 0; i < members; ++i) start(i);
}

void World::fail(Rule rule, const std::string& what) {
  if (!broken_) broken_ = Broken{rule, what + " at " + std::to_string(now / 1000) + " ms"};
}

Micros World::local(std::size_t n) const {
  const Node& node = nodes[n];
  return node.clock_from + static_cast<Micros>(static_cast<double>(now - node.clock_since) * node.rate);
}

void World::set_rate(std::size_t n, double rate) {
  nodes[n].clock_from = local(n);
  nodes[n].clock_since = now;
  nodes[n].rate = rate;
  if (nodes[n].member) arm(n);
}

void World::at(Micros when, std::function<void()> run) {
  events_.push_back({std::max(when, now), ++order_, std::move(run)});
  std::push_heap(events_.begin(), events_.end());
}

void World::pass(Micros span) {
  const Micros end = now + span;
  while (!broken_ && !events_.empty() && events_.front().at <= end) {
    std::pop_heap(events_.begin(), events_.end());
    const Event event = std::move(events_.back());
    events_.pop_back();
    now = event.at;
    event.run();
    digest_ = (digest_ ^ static_cast<std::uint64_t>(now) ^ (event.order << 40)) * 0x9e3779b97f4a7c15ULL;
    check_holders();
  }
  if (!broken_) now = end;
}

// In that life of the process, or never; when it is frozen, after it wakes.
void World::to_node(std::size_t n, std::uint64_t life, std::function<void()> run) {
  Node& node = nodes[n];
  if (!node.member || node.life != life) return;
  if (node.frozen) {
    node.held_back.push_back([this, n, life, run = std::move(run)] { to_node(n, life, run); });
    return;
  }
  run();
  take(n);
}

std::vector<std::string> World::any_seeds(Dice& dice) const {
  std::vector<std::string> seeds;
  for (const auto& any : nodes)
    if (!any.gone) seeds.push_back(any.ip);
  for (std::size_t i = seeds.size(); i > 1; --i) std::swap(seeds[i - 1], seeds[dice.below(i)]);
  seeds.resize(std::min<std::size_t>(3, seeds.size()));
  return seeds;
}

void World::start(std::size_t n) {
  Node& node = nodes[n];
  quorum::Options options = options_of(node.ip, node.place, losses_);
  if (!node.bootstrap) node.seeds = any_seeds(node.dice);
  options.seeds = node.seeds;
  options.bootstrap = node.bootstrap;
  ++node.life;
  node.acts = false;
  node.ending = false;
  node.frozen = false;
  node.version = 0;
  const auto mark = node.disk.find("state");
  if (mark != node.disk.end() && mark->second == "voter") node.untold = false;
  node.told_by.clear();
  node.held_term = node.acknowledged_before_term = 0;
  node.held_back.clear();
  node.writing.clear();
  node.in_write = 0;
  node.member.emplace(options, node.disk, false, Dice(seed_, kLife + n, node.life)(), local(n));
  node.member->tick(local(n));
  take(n);
}

void World::start_later(std::size_t n, Micros after) {
  at(now + after, [this, n, life = nodes[n].life] {
    if (!nodes[n].member && !nodes[n].gone && nodes[n].life == life) start(n);
  });
}

void World::stop(std::size_t n, bool power) {
  Node& node = nodes[n];
  if (!node.member) return;
  // Of what was under way power loss leaves some, in its order; else all of it is there or nothing.
  const std::size_t through = power                   ? node.dice.below(node.in_write + 1)
                              : node.dice.chance(0.5) ? node.in_write
                                                      : 0;
  for (std::size_t i = 0; i < through; ++i)
    for (auto& [name, value] : node.writing[i].second) node.disk[name] = value;
  node.member.reset();
  node.acts = false;
  if (power) {  // the machine's clock begins anew
    node.clock_from = 1'000'000 + node.dice.below<Micros>(60'000'000);
    node.clock_since = now;
  }
}

void World::wipe(std::size_t n) {
  stop(n);
  nodes[n].disk.clear();
  nodes[n].bootstrap = false;
  nodes[n].wiped = nodes[n].untold = true;
  nodes[n].told_by.clear();
}

void World::break_connections(std::size_t n) {
  for (std::size_t other = 0; other < nodes.size(); ++other)
    for (const std::size_t way : {n * kMostNodes + other, other * kMostNodes + n}) {
      ++connection_[way];
      link_free_at_[way] = now;
    }
}

void World::leave(std::size_t n) {
  nodes[n].ending = true;
  nodes[n].member->leave(local(n));
  take(n);
}

void World::take(std::size_t n) {
  Node& node = nodes[n];
  if (!node.member) return;
  if (node.wiped && taken_in(node)) node.wiped = false;
  if (node.member->standing() == Member::Standing::voter && node.told_by.size() > places_.size() / 2)
    node.untold = false;
  quorum::Out out = node.member->take();
  for (const auto& what : out.notes) note(n, what);
  for (auto& [token, rows] : out.writes) write(n, token, std::move(rows));
  for (auto& [to, message] : out.envelopes) post(n, to, std::move(message));
  for (const auto& value : out.learned) {
    value_seen(value);
    if (version_in(*value) <= node.version) fail(Rule::newest, "a member's configuration goes back");
    node.version = version_in(*value);
  }
  for (const auto& d : out.duty) {
    node.acts = d.held;
    if (!d.held) continue;
    if (d.term <= last_term_) fail(Rule::terms_grow, "a term does not grow");
    if (std::exchange(node.held_term, d.term) != d.term) node.acknowledged_before_term = acknowledged_;
    if (node.version < node.acknowledged_before_term) fail(Rule::old_plan, "a holder acts on an old plan");
    last_term_ = std::max(last_term_, d.term);
  }
  if (const auto& list = node.member->list(); list.epoch != 0) {
    const auto [known, added] = lists_.emplace(list.epoch, list);
    if (!added && known->second != list) fail(Rule::one_list, "two lists of members");
    if (list.joint() && list.next.size() < list.members.size())
      fail(Rule::one_list, "the list of members shrinks");
  }
  views_ = std::max(views_, view_of(*node.member));
  for (const auto& f : out.finished) {
    const auto found = waiting_.find(f.ticket);
    if (found == waiting_.end()) continue;
    const auto then = std::move(found->second);
    waiting_.erase(found);
    then(f);
  }
  arm(n);
}

void World::note(std::size_t n, const std::string& what) {
  if (notes_.size() >= kMostNotes) notes_.erase(notes_.begin(), notes_.begin() + kMostNotes / 2);
  notes_.push_back(std::to_string(now / 1000) + " ms " + nodes[n].ip + ": " + what);
}

void World::arm(std::size_t n) {
  Node& node = nodes[n];
  const std::uint64_t wake = ++node.wake, life = node.life;
  const Micros left = std::clamp<Micros>(node.member->due() - local(n), 0, 10'000'000);
  const auto due = now + static_cast<Micros>(static_cast<double>(left) / node.rate) + 1;
  at(std::max(due, now + 500), [this, n, wake, life] {
    if (nodes[n].wake != wake) return;
    to_node(n, life, [this, n] { nodes[n].member->tick(local(n)); });
  });
}

void World::post(std::size_t from, const std::string& to, Message message) {
  if (is_vote(message) && nodes[from].untold && !taken_in_with_its_disk(nodes[from]) &&
      nodes[from].told_by.size() <= places_.size() / 2)
    fail(Rule::disk_counts, "a member without its disk votes");
  if (is_vote(message) && nodes[from].member->standing() == Member::Standing::learner)
    fail(Rule::disk_counts, "a machine on no list votes");
  const auto known = by_ip_.find(to);
  if (known == by_ip_.end()) return;
  const std::size_t n = known->second;
  const auto own = delay ? delay(nodes[from].ip, to, message) : std::nullopt;
  if (lets && !lets(nodes[from].ip, to, message)) return;
  Dice& dice = ways_[from * kMostNodes + n];
  const bool is_cut = now < cut_until(from, n);
  if (is_cut && !dice.chance(0.05)) return;
  Micros takes = 300 + dice.below<Micros>(2000);
  if (!calm_) {
    if (dice.chance(lines_.lost)) return;
    if (dice.chance(lines_.late)) takes += dice.below(lines_.late_by);
    if (dice.chance(lines_.very_late) || is_cut)
      takes += dice.below(lines_.very_late_by);  // held up by a cut
  }
  std::string bytes = common::pack(quorum::Envelope{nodes[from].ip, std::move(message)});
  const std::size_t way = from * kMostNodes + n;
  if (bytes_per_s > 0) {
    Micros& free_at = link_free_at_[way];
    free_at =
        std::max(free_at, now) + static_cast<Micros>(static_cast<double>(bytes.size()) * 1e6 / bytes_per_s);
    takes += free_at - now;
  }
  at(now + own.value_or(takes), [this, n, way, connection = connection_[way], bytes = std::move(bytes)] {
    if (!nodes[n].member || connection_[way] != connection) return;
    to_node(n, nodes[n].life, [this, n, bytes] {
      auto envelope = common::unpack<quorum::Envelope>(bytes);
      Node& node = nodes[n];
      if (tells_all(envelope->message)) node.told_by.insert(envelope->from);
      node.member->heard(envelope->from, std::move(envelope->message), local(n));
    });
  });
}

void World::write(std::size_t n, std::uint64_t token, Rows rows) {
  nodes[n].writing.emplace_back(token, std::move(rows));
  write_next(n);
}

// What waits goes together, as the store does it.
void World::write_next(std::size_t n) {
  Node& node = nodes[n];
  if (node.in_write > 0 || node.writing.empty()) return;
  node.in_write = node.writing.size();
  const Micros takes = now < node.slow_until ? 100'000 + node.dice.below<Micros>(1'500'000)
                                             : 300 + node.dice.below<Micros>(5'000);
  if (++writes_ == crash_at_write) {
    at(now + takes / 2, [this, n, life = node.life] {
      if (nodes[n].life != life) return;
      stop(n);
      start_later(n, 300'000);
    });
  }
  at(now + takes, [this, n, life = node.life] { written(n, life); });
}

void World::written(std::size_t n, std::uint64_t life) {
  Node& node = nodes[n];
  if (!node.member || node.life != life) return;
  if (now < node.stalled_until) {
    at(node.stalled_until, [this, n, life] { written(n, life); });
    return;
  }
  const auto end = node.writing.begin() + static_cast<std::ptrdiff_t>(std::exchange(node.in_write, 0));
  const std::vector<std::pair<std::uint64_t, Rows>> batch(std::make_move_iterator(node.writing.begin()),
                                                          std::make_move_iterator(end));
  node.writing.erase(node.writing.begin(), end);
  const bool full = now < node.full_until;
  const bool good = !full && (now >= node.bad_until || node.dice.chance(0.2));
  const bool there = good || (!full && node.dice.chance(0.3));  // of one that failed nobody knows
  for (const auto& [token, rows] : batch) {
    if (there)
      for (const auto& [name, value] : rows) node.disk[name] = value;
    to_node(n, life, [this, n, token = token, good] { nodes[n].member->persisted(token, good, local(n)); });
  }
  write_next(n);
}

void World::value_seen(const Bytes& value) {
  if (!value) return;
  if (!orders_.was_sent(*value)) fail(Rule::valid, "a value that nobody sent");
  const std::uint64_t digest = fnv1a(*value);
  const auto [at_version, added] = by_version_.emplace(version_in(*value), digest);
  if (!added && at_version->second != digest) fail(Rule::valid, "two values of one version");
  const auto broken = orders_.in_force(version_in(*value), *value);
  if (!broken.empty()) fail(Rule::one_content, broken);
}

void World::put(std::size_t n, std::uint64_t version) {
  put(n, version, [](bool) {});
}

void World::put(std::size_t n, std::uint64_t version, std::function<void(bool good)> then) {
  std::string bytes = configuration(version, ++puts_);
  bytes.append(value_bytes, static_cast<char>('a' + version % 26));
  order(n, bytes, [then = std::move(then)](const Finished& f) { then(f.good); });
}

void World::resend(std::size_t n, std::uint64_t draw, std::function<void(bool good)> then) {
  if (orders_.empty()) return;
  order(n, orders_.earlier(draw), [then = std::move(then)](const Finished& f) { then(f.good); });
}

void World::order(std::size_t n, const std::string& bytes, std::function<void(const Finished&)> then) {
  Node& node = nodes[n];
  if (!node.member || node.frozen) return;
  const std::uint64_t version = version_in(bytes);
  orders_.sent(bytes);
  highest_sent_ = std::max(highest_sent_, version);
  const auto ticket = ask_put(*node.member, bytes, version, local(n));
  waiting_[ticket] = [this, version, bytes, least = acknowledged_,
                      then = std::move(then)](const Finished& f) {
    if (f.good) {
      value_seen(f.value);
      const auto broken = orders_.told(version, bytes, f);
      if (!broken.empty()) fail(Rule::one_content, broken);
      if (f.mark.version < std::max(version, least))
        fail(Rule::newest, "a change is acknowledged under a lower version");
      acknowledged_ = std::max(acknowledged_, f.mark.version);
      ++good_;
      if (after_ack_) at(now, [this, entry = *std::exchange(after_ack_, std::nullopt)] { strike(entry); });
    }
    then(f);
  };
  take(n);
}

void World::change(std::size_t n, quorum::Change change, std::function<void(bool good)> then) {
  const auto ticket = nodes[n].member->change(quorum::kView, std::move(change), kLimit, local(n));
  waiting_[ticket] = [then = std::move(then)](const Finished& f) { then(f.good); };
  take(n);
}

void World::read(std::size_t n) {
  read(n, [](bool) {});
}

void World::read(std::size_t n, std::function<void(bool good)> then) {
  Node& node = nodes[n];
  if (!node.member || node.frozen) return;
  const auto ticket = ask_read(*node.member, local(n));
  waiting_[ticket] = [this, least = acknowledged_, then = std::move(then)](const Finished& f) {
    then(f.good);
    if (!f.good) return;
    value_seen(f.value);
    if ((f.value ? version_in(*f.value) : 0) < least) fail(Rule::kept, "an acknowledged version is lost");
  };
  take(n);
}

std::optional<std::size_t> World::holder() const {
  for (std::size_t i = 0; i < nodes.size(); ++i)
    if (nodes[i].member && nodes[i].member->holds(local(i))) return i;
  return std::nullopt;
}

void World::check_holders() {
  std::size_t holders = 0;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    Node& node = nodes[i];
    if (!node.member || !node.member->holds(local(i)) || node.member->members().empty()) continue;
    ++holders;
    if (std::exchange(node.held_term, node.member->term()) != node.member->term())
      node.acknowledged_before_term = acknowledged_;
  }
  if (holders > 1) fail(Rule::one_holder, "two holders at once");
}

// ---- machines that come and go

std::size_t World::add(std::optional<std::size_t> place) {
  const std::size_t n = nodes.size();
  Node& node = nodes.emplace_back();
  node.ip = "10.0.1." + std::to_string(n + 1);
  node.place = place.value_or(n);
  by_ip_[node.ip] = n;
  node.dice = Dice(seed_, kNode, n);
  node.rate = 1 + (node.dice.share() * 2 - 1) * kMostDrift;
  node.clock_since = now;
  node.clock_from = 1'000'000 + node.dice.below<Micros>(60'000'000);
  node.bootstrap = false;
  start(n);
  return n;
}

std::size_t World::replace(std::size_t place, bool planned, Micros after) {
  const std::size_t old = places_[place];
  if (!planned) {
    go(old);
    // Its successor is on its way, and lost until it has been taken in.
    const std::size_t n = nodes.size();
    places_[place] = n;
    add(place);
    nodes[n].wiped = true;
    nodes[n].member.reset();
    start_later(n, after);
    return n;
  }
  const std::size_t n = add(place);
  places_[place] = n;
  nodes[n].wiped = true;
  at(now + after, [this, old, place] { end_for_good(old, place); });
  return n;
}

// Not while the one that follows it has just lost its disk: that would be one loss more.
void World::end_for_good(std::size_t old, std::size_t place) {
  if (nodes[old].gone) return;
  const bool waits = misses_its_disk(nodes[places_[place]]) || !is_borne_without(old);
  if (waits || !nodes[old].member || nodes[old].frozen) {
    at(now + 500'000, [this, old, place] { end_for_good(old, place); });
    return;
  }
  leave(old);
  at(now + 2'000'000, [this, old] { go(old); });
}

void World::go(std::size_t n) {
  stop(n);
  nodes[n].gone = true;
  nodes[n].wiped = false;  // who follows it counts as lost
}

std::string World::lacking() const {
  const auto held = holder();
  if (!held || !nodes[*held].acts) return "nobody holds the duty";
  for (std::size_t n = 0; n < nodes.size(); ++n)
    if (!nodes[n].gone && !stands(n)) return nodes[n].ip + " has not ended for good";
  for (const std::size_t n : places_) {
    const Node& node = nodes[n];
    if (!node.member || node.member->standing() != Member::Standing::voter) return node.ip + " is no voter";
    if (node.wiped) return node.ip + " votes without having been told what its disk held";
    if (!taken_in(node)) return node.ip + " is no link of the chain";
    if (node.version < acknowledged_) return node.ip + " does not know the newest configuration";
    const auto known = node.member->duty_known();
    if (!known || known->holder != nodes[*held].ip) return node.ip + " does not know the holder";
  }
  return {};
}

}  // namespace woadridge::lab::sim
