#include "world.h"

#include <algorithm>

#include "toolbox/frames.h"

namespace woadridge::vise {

std::string configuration(std::uint64_t version, std::uint64_t salt) {
  return std::to_string(version) + ":" + std::to_string(salt) +
         std::string(version % 7 == 0 ? 3000 : 30, 'x');
}

std::uint64_t version_in(const std::string& value) {
  return std::stoull(value);
}

World::World(std::size_t members, std::uint64_t seed, Trouble trouble) : trouble_(trouble), chance_(seed) {
  nodes.resize(members);
  for (std::size_t i = 0; i < members; ++i) {
    nodes[i].ip = "10.0.0." + std::to_string(i + 1);
    nodes[i].drift =
        1 + (static_cast<double>(draw(41)) - 20) / 1000;  // clocks run apart by four in a hundred
  }
  for (std::size_t i = 0; i < members; ++i) start(i);
}

std::size_t World::index(const std::string& ip) const {
  std::size_t i = 0;
  while (nodes[i].ip != ip) ++i;
  return i;
}

void World::fail(const std::string& what) {
  if (broken_.empty()) broken_ = what + " at " + std::to_string(now / 1000) + " ms";
}

void World::at(Micros when, std::function<void()> run) {
  events_.push({std::max(when, now), ++order_, std::move(run)});
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

void World::start(std::size_t n) {
  Node& node = nodes[n];
  Options options;
  options.self = {node.ip, node.ip + ":80", "z" + std::to_string(n % 3)};
  // After the first start the seeds are any machines; one that founds sees the same three.
  std::vector<std::string> seeds;
  for (const auto& any : nodes) seeds.push_back(any.ip);
  if (!node.bootstrap) std::shuffle(seeds.begin(), seeds.end(), chance_);
  seeds.resize(std::min<std::size_t>(3, seeds.size()));
  options.seeds = seeds;
  options.bootstrap = node.bootstrap;
  options.losses = (nodes.size() - 1) / 2;
  ++node.life;
  node.acts = false;
  node.ending = false;
  node.frozen = false;
  node.version = 0;
  if (const auto mark = node.disk.find("state"); mark != node.disk.end() && mark->second == "voter")
    node.untold = false;  // it had been told everything, and the disk has it
  node.told_by.clear();
  node.held_back.clear();
  node.writing.clear();
  node.in_write = 0;
  node.member.emplace(options, node.disk, false, chance_(), local(node));
  node.member->tick(local(node));
  take(n);
}

void World::stop(std::size_t n) {
  Node& node = nodes[n];
  if (!node.member) return;
  // What was under way may have come through as a whole or not at all.
  const std::size_t through = chance(0.5) ? node.in_write : 0;
  for (std::size_t i = 0; i < through; ++i)
    for (auto& [name, value] : node.writing[i].second) node.disk[name] = value;
  node.member.reset();
  node.acts = false;
}

void World::wipe(std::size_t n) {
  stop(n);
  nodes[n].disk.clear();
  nodes[n].bootstrap = false;
  nodes[n].wiped = nodes[n].untold = true;
  nodes[n].told_by.clear();
}

// A disk that was lost counts as lost until the machine has been taken in again.
bool World::whole(std::size_t n) const {
  const Node& node = nodes[n];
  if (!node.member || node.member->standing() != Member::Standing::voter) return false;
  const auto& seat = node.member->chain().seat();
  return seat.links() && seat.acting_in() == seat.view().number;
}

void World::take(std::size_t n) {
  Node& node = nodes[n];
  if (!node.member) return;
  if (node.told_by.size() > nodes.size() / 2 && node.member->standing() == Member::Standing::voter)
    node.untold = false;
  if (whole(n)) node.wiped = false;
  Out out = node.member->take();
  for (const auto& d : out.duty) {
    node.acts = d.held;
    if (!d.held) continue;
    if (d.term <= last_term_) fail("a term does not grow");
    last_term_ = std::max(last_term_, d.term);
  }
  for (auto& [token, rows] : out.writes) write(n, token, std::move(rows));
  for (auto& [to, word] : out.letters) post(n, to, std::move(word));
  for (const auto& value : out.learned) {
    value_seen(value);
    if (version_in(*value) <= node.version) fail("a member's configuration goes back");
    node.version = version_in(*value);
  }
  for (const auto& f : out.finished) {
    const auto found = waiting_.find(f.ticket);
    if (found == waiting_.end()) continue;
    const auto then = std::move(found->second);
    waiting_.erase(found);
    then(f);
  }
  arm(n);
}

void World::arm(std::size_t n) {
  Node& node = nodes[n];
  const std::uint64_t wake = ++node.wake, life = node.life;
  const auto due = static_cast<Micros>(static_cast<double>(node.member->due()) / node.drift) + 1;
  at(std::max(due, now + 500), [this, n, wake, life] {
    if (nodes[n].wake != wake) return;
    to_node(n, life, [this, n] { nodes[n].member->tick(local(nodes[n])); });
  });
}

void World::post(std::size_t from, const std::string& to, Word word) {
  const bool votes = std::holds_alternative<Holds>(word) ||
                     (std::holds_alternative<Promise>(word) && std::get<Promise>(word).given) ||
                     (std::holds_alternative<Accepted>(word) && std::get<Accepted>(word).done) ||
                     (std::holds_alternative<Granted>(word) && std::get<Granted>(word).given) ||
                     (std::holds_alternative<Recovered>(word) && std::get<Recovered>(word).given);
  if (votes && nodes[from].untold && nodes[from].told_by.size() <= nodes.size() / 2)
    fail("a member without its disk votes");
  const std::size_t n = index(to);
  const auto own = delay ? delay(nodes[from].ip, to, word) : std::nullopt;
  if (lets && !lets(nodes[from].ip, to, word)) return;
  if (cut_[{from, n}] && !chance(troubled_ ? 0.05 : 0)) return;
  Micros takes = 300 + static_cast<Micros>(draw(2000));
  if (troubled_) {
    if (chance(trouble_.lost)) return;
    if (chance(trouble_.late)) takes += static_cast<Micros>(draw(300'000));
    if (chance(trouble_.very_late) || cut_[{from, n}])
      takes += static_cast<Micros>(draw(6'000'000));  // held up by a cut
  }
  const std::string bytes = toolbox::pack(Letter{nodes[from].ip, std::move(word)});
  at(now + own.value_or(takes), [this, n, bytes] {
    if (!nodes[n].member) return;
    to_node(n, nodes[n].life, [this, n, bytes] {
      auto letter = toolbox::unpack<Letter>(bytes);
      Node& node = nodes[n];
      if (const auto* told = std::get_if<Recovered>(&letter->word); told != nullptr && told->given)
        node.told_by.insert(letter->from);
      node.member->heard(letter->from, std::move(letter->word), local(node));
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
  const Micros takes = node.slow_disk ? 100'000 + static_cast<Micros>(draw(1'500'000))
                                      : 300 + static_cast<Micros>(draw(5'000));
  at(now + takes, [this, n, life = node.life] { written(n, life); });
}

void World::written(std::size_t n, std::uint64_t life) {
  Node& node = nodes[n];
  if (!node.member || node.life != life) return;
  if (node.stalled_disk) return at(now + 20'000, [this, n, life] { written(n, life); });
  const auto end = node.writing.begin() + static_cast<std::ptrdiff_t>(std::exchange(node.in_write, 0));
  const std::vector<std::pair<std::uint64_t, Rows>> batch(node.writing.begin(), end);
  node.writing.erase(node.writing.begin(), end);
  const bool good = !node.full_disk && (!node.bad_disk || chance(0.2));
  const bool there = good || (!node.full_disk && chance(0.3));  // of one that failed nobody knows
  for (const auto& [token, rows] : batch) {
    if (there)
      for (const auto& [name, value] : rows) node.disk[name] = value;
    to_node(n, life,
            [this, n, token = token, good] { nodes[n].member->persisted(token, good, local(nodes[n])); });
  }
  write_next(n);
}

void World::value_seen(const Bytes& value) {
  if (!value) return;
  if (!sent_.contains(*value)) fail("a value that nobody sent");
  const auto [at_version, added] = by_version_.emplace(version_in(*value), *value);
  if (!added && at_version->second != *value) fail("two values of one version");
}

void World::put(std::size_t n, std::uint64_t version) {
  put(n, version, [](bool) {});
}

void World::put(std::size_t n, std::uint64_t version, std::function<void(bool good)> then) {
  Node& node = nodes[n];
  if (!node.member || node.frozen) return;
  const std::string wanted = configuration(version, draw(1000));
  sent_.insert(wanted);
  const auto ticket = node.member->put(bytes_of(wanted), version, 900'000, local(node));
  waiting_[ticket] = [this, version, least = acknowledged_, then = std::move(then)](const Finished& f) {
    if (f.good) {
      value_seen(f.value);
      if (f.mark.version < std::max(version, least)) fail("a change is acknowledged under a lower version");
      acknowledged_ = std::max(acknowledged_, f.mark.version);
      ++good_;
    }
    then(f.good);
  };
  take(n);
}

void World::change(std::size_t n, Change change, std::function<void(bool good)> then) {
  Node& node = nodes[n];
  const auto ticket = node.member->change(kView, std::move(change), 900'000, local(node));
  waiting_[ticket] = [then = std::move(then)](const Finished& f) { then(f.good); };
  take(n);
}

void World::read(std::size_t n) {
  Node& node = nodes[n];
  if (!node.member || node.frozen) return;
  const auto ticket = node.member->read(900'000, local(node));
  waiting_[ticket] = [this, least = acknowledged_](const Finished& f) {
    if (!f.good) return;
    value_seen(f.value);
    if ((f.value ? version_in(*f.value) : 0) < least) fail("an acknowledged version is lost");
  };
  take(n);
}

std::optional<std::size_t> World::holder() const {
  for (std::size_t i = 0; i < nodes.size(); ++i)
    if (nodes[i].member && nodes[i].member->holds(local(nodes[i]))) return i;
  return std::nullopt;
}

void World::check() {
  std::size_t holders = 0;
  for (auto& node : nodes) {
    if (!node.member) continue;
    if (node.member->holds(local(node)) && !node.member->members().empty()) ++holders;
    if (!node.member->members().empty()) {
      if (list_.empty()) list_ = node.member->members();
      else if (list_ != node.member->members()) fail("two lists of members");
    }
  }
  if (holders > 1) fail("two holders at once");
}

void World::operate() {
  const std::size_t n = draw(nodes.size());
  const auto what = draw(10);
  if (what < 5) next_version_ += 1 + draw(3);
  if (what < 7 && next_version_ > 0) put(n, next_version_ - (what == 6 ? draw(next_version_) : 0));
  else read(n);
}

void World::trouble() {
  const std::size_t n = draw(nodes.size());
  Node& node = nodes[n];
  const auto lost =
      static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [](auto& x) { return x.lost(); }));
  const auto wiped =
      static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [](auto& x) { return x.wiped; }));
  const std::size_t bearable = (nodes.size() - 1) / 2;
  const Micros back = now + 100'000 + static_cast<Micros>(draw(2'500'000));
  const auto again = [this, n, back] {
    at(back, [this, n] {
      if (!nodes[n].member) start(n);
    });
  };
  const Trouble& t = trouble_;
  int at_sort = static_cast<int>(
      draw(static_cast<std::uint64_t>(t.kill + t.power + t.wipe + t.freeze + t.cut + t.half_cut +
                                      t.slow_disk + t.bad_disk + t.end + t.herd + t.split)));
  const auto is = [&](int weight) { return (at_sort -= weight) < 0; };
  const bool founded =
      std::any_of(nodes.begin(), nodes.end(), [](auto& x) { return x.disk.contains("members"); });
  if (is(t.herd)) {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      stop(i);
      at(now + 50'000 + static_cast<Micros>(draw(900'000)), [this, i] {
        if (!nodes[i].member) start(i);
      });
    }
    return;
  }
  if (is(t.split)) {
    std::vector<bool> side;
    for (std::size_t i = 0; i < nodes.size(); ++i) side.push_back(chance(0.5));
    for (std::size_t a = 0; a < nodes.size(); ++a)
      for (std::size_t b = 0; b < nodes.size(); ++b) cut_[{a, b}] = side[a] != side[b];
    at(now + 500'000 + static_cast<Micros>(draw(6'000'000)), [this] { cut_.clear(); });
    return;
  }
  if (node.lost() || lost >= bearable) return;
  if (is(t.kill) || is(t.power)) {
    stop(n);
    again();
  } else if (is(t.wipe)) {
    if (!founded || wiped >= bearable) return;
    wipe(n);
    again();
  } else if (is(t.freeze)) {
    node.frozen = true;
    at(now + 50'000 + static_cast<Micros>(draw(4'000'000)), [this, n, life = node.life] {
      Node& woken = nodes[n];
      if (!woken.member || woken.life != life) return;
      woken.frozen = false;
      auto held_back = std::exchange(woken.held_back, {});
      if (chance(0.5)) std::shuffle(held_back.begin(), held_back.end(), chance_);
      for (const auto& run : held_back) run();
      if (woken.member) take(n);
    });
  } else if (is(t.cut) || is(t.half_cut)) {
    const bool in = chance(0.7), out = !in || chance(0.7);
    for (std::size_t i = 0; i < nodes.size(); ++i) cut_[{i, n}] = in, cut_[{n, i}] = out;
    at(now + 300'000 + static_cast<Micros>(draw(5'000'000)), [this, n] {
      for (std::size_t i = 0; i < nodes.size(); ++i) cut_[{i, n}] = cut_[{n, i}] = false;
    });
  } else if (is(t.slow_disk)) {
    node.slow_disk = true;
    at(back, [this, n] { nodes[n].slow_disk = false; });
  } else if (is(t.bad_disk)) {
    node.bad_disk = true;
    at(back, [this, n] { nodes[n].bad_disk = false; });
  } else if (is(t.end)) {
    node.ending = true;
    node.member->leave(local(node));
    take(n);
    at(now + 100'000 + static_cast<Micros>(draw(800'000)), [this, n, life = node.life, again] {
      if (nodes[n].life != life) return;
      stop(n);
      again();
    });
  }
}

void World::pass(Micros span) {
  const Micros end = now + span;
  while (broken_.empty() && !events_.empty() && events_.top().at <= end) {
    now = events_.top().at;
    const auto run = events_.top().run;
    events_.pop();
    run();
    check();
  }
  now = end;
}

bool World::run(Micros span, bool with_trouble) {
  troubled_ = with_trouble;
  const Micros end = now + span;
  while (now < end && broken_.empty()) {
    if (with_trouble && now >= next_trouble_) {
      trouble();
      next_trouble_ = now + trouble_.least_pause +
                      static_cast<Micros>(draw(static_cast<std::uint64_t>(trouble_.most_pause)));
    }
    if (now >= next_call_) {
      operate();
      next_call_ = now + static_cast<Micros>(draw(250'000));
    }
    pass(std::min(end, std::max(std::min(next_call_, with_trouble ? next_trouble_ : end), now + 1)) - now);
  }
  return broken_.empty();
}

bool World::calm() {
  troubled_ = false;
  cut_.clear();
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    Node& node = nodes[i];
    node.slow_disk = node.bad_disk = false;
    if (node.frozen || node.ending) stop(i);
    if (!node.member) start(i);
  }
  pass(12'000'000);
  if (!broken_.empty()) return false;
  bool taken = false;
  ++next_version_;
  put(draw(nodes.size()), ++next_version_, [&taken](bool good) { taken = good; });
  pass(1'000'000);
  for (std::size_t i = 0; i < nodes.size(); ++i) read(i);
  pass(2'000'000);
  if (!taken) fail("a change is not taken in calm times");
  const auto held = holder();
  if (!held || !nodes[*held].acts) fail("nobody holds the duty in calm times");
  for (const auto& node : nodes) {
    if (node.member->standing() != Member::Standing::voter) fail(node.ip + " is no voter in calm times");
    if (node.version != acknowledged_)
      fail(node.ip + " does not know the newest configuration in calm times");
    const auto known = node.member->duty_known();
    if (!known || (held && known->holder != nodes[*held].ip))
      fail(node.ip + " does not know the holder in calm times");
  }
  return broken_.empty();
}

}  // namespace woadridge::vise
