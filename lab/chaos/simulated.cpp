#include "lab/chaos/simulated.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <queue>

#include "duty/list_share.h"
#include "lab/chaos/tools.h"
#include "lab/random.h"

namespace woadridge::lab {
namespace {

using duty::Kept;
using duty::Write;

constexpr Micros kSampleEvery = 20'000;
constexpr Micros kNewsEvery = 400'000;  // discovery's list changes so often
constexpr std::size_t kCopies = 8;      // of a folder, one each 3.2 s; who puts one back takes the oldest
constexpr Micros kSlowSync = 2'000'000;
constexpr Micros kMendAfter = 1'000'000;  // staff remove a folder that is too old, and start the voter anew

struct Disk {
  Kept kept;                  // what a power loss leaves
  std::deque<Write> pending;  // handed over, not finished
  std::deque<Kept> copies;    // older states, for who puts one back
  bool slow = false, full = false, failing = false;
};

void apply(Kept& kept, const Write& w) {
  kept.term = w.term;
  kept.vote = w.vote;
  if (w.cut_from != 0) std::erase_if(kept.entries, [&](const auto& e) { return e.index() >= w.cut_from; });
  if (w.snapshot) {
    kept.snapshot = w.snapshot->snapshot;
    kept.snapshot_index = w.snapshot->snapshot_index;
    kept.snapshot_term = w.snapshot->snapshot_term;
  }
  if (w.forget_up_to != 0)
    std::erase_if(kept.entries, [&](const auto& e) { return e.index() <= w.forget_up_to; });
  kept.entries.insert(kept.entries.end(), w.entries.begin(), w.entries.end());
}

struct Member {
  group::Options options;
  std::unique_ptr<duty::Node> node;
  std::unique_ptr<duty::ListShare> share;
  bool up = false, paused = false, mending = false;
  std::uint64_t life = 0;  // events of an earlier life are void
  std::uint64_t runs = 0;
  double rate = 1;
  Micros offset = 0;
  Micros wake_for = INT64_MAX;
  std::deque<wire::Frame> waiting;  // while paused
  std::deque<std::uint64_t> written_while_paused;
  Disk disk;
};

struct Event {
  enum class Kind { frame, wake, written, fault, fault_over, start, sample, news, heard, mend };
  Micros at = 0;
  std::uint64_t order = 0;
  Kind kind = Kind::wake;
  int who = 0;
  std::uint64_t life = 0;
  std::uint64_t number = 0;
  std::shared_ptr<wire::Frame> frame;
  bool operator>(const Event& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
};

struct Way {  // one direction of one link
  int cut = 0, slow = 0, lossy = 0, repeat = 0, reorder = 0, thin = 0;
  Micros last = 0;
};

class World {
 public:
  World(const ChaosScenario& s, const std::vector<ChaosFault>& schedule)
      : s_(s),
        schedule_(schedule),
        chance_(s.seed, "chaos world"),
        members_(static_cast<std::size_t>(s.members)) {
    ways_.resize(members_.size() * members_.size());
    for (int i = 0; i < s.members; ++i) {
      Member& m = members_[static_cast<std::size_t>(i)];
      m.options = options_of(s, i);
      m.options.address = m.options.listen = address(i);
      for (int v = 0; v < s.voters; ++v) m.options.voters.push_back({"n" + std::to_string(v), address(v)});
      m.options.folder = "folder";
      m.rate = 1 + chance_.uniform(-0.4, 0.4) * m.options.drift;
      m.offset = static_cast<Micros>(chance_.uniform(1e9, 1e12));
      if (i < s.voters) m.disk.kept = duty::founded(m.options);
    }
    report_.schedule = schedule;
  }

  ChaosReport play() {
    for (int i = 0; i < s_.members; ++i)
      push(static_cast<Micros>(chance_.uniform(0, 300'000)), Event::Kind::start, i);
    for (std::size_t f = 0; f < schedule_.size(); ++f) {
      push(schedule_[f].at, Event::Kind::fault, static_cast<int>(f));
      push(schedule_[f].at + schedule_[f].span, Event::Kind::fault_over, static_cast<int>(f));
    }
    push(kSampleEvery, Event::Kind::sample, 0);
    push(kNewsEvery, Event::Kind::news, 0);
    while (!events_.empty() && events_.top().at <= s_.length) {
      const Event e = events_.top();
      events_.pop();
      now_ = e.at;
      handle(e);
    }
    finish();
    return std::move(report_);
  }

 private:
  static std::string address(int i) { return "127.1.0." + std::to_string(i + 1) + ":7400"; }
  Member& at(int i) { return members_[static_cast<std::size_t>(i)]; }
  Way& way(int from, int to) {
    return ways_[static_cast<std::size_t>(from) * members_.size() + static_cast<std::size_t>(to)];
  }
  Micros local(const Member& m) const {
    return m.offset + static_cast<Micros>(static_cast<double>(now_) * m.rate);
  }
  Micros from_local(const Member& m, Micros t) const {
    return static_cast<Micros>(static_cast<double>(t - m.offset) / m.rate) + 1;
  }

  void push(Micros when, Event::Kind kind, int who, std::uint64_t number = 0,
            std::shared_ptr<wire::Frame> frame = nullptr) {
    const bool of_member = kind == Event::Kind::frame || kind == Event::Kind::wake ||
                           kind == Event::Kind::written || kind == Event::Kind::heard;
    events_.push({when, ++orders_, kind, who, of_member ? at(who).life : 0, number, std::move(frame)});
  }

  void broken(const std::string& what) {
    if (report_.violations.size() < 20) report_.violations.push_back(what);
  }

  // ---- a process ----

  void start(int i) {
    Member& m = at(i);
    if (m.up) return;
    m.up = true;
    m.paused = false;
    ++m.life;
    ++m.runs;
    m.waiting.clear();
    m.written_while_paused.clear();
    m.disk.pending.clear();
    duty::Self self{static_cast<std::uint64_t>(now_) + 1'000'000 + m.runs,
                    1'000 + static_cast<std::uint64_t>(now_), chance_.bits()};
    std::optional<Kept> kept;
    if (i < s_.voters) {
      if (m.disk.kept.disk == 0) m.disk.kept.disk = chance_.bits() | 1;  // a blank folder draws its own
      ++m.disk.kept.boot;
      kept = m.disk.kept;
    }
    m.node = std::make_unique<duty::Node>(m.options, std::move(kept), self);
    m.node->record_acts();
    m.share = std::make_unique<duty::ListShare>(
        *m.node, "discovery", [this] { return list(true); }, chance_.bits());
    m.wake_for = INT64_MAX;
    m.node->start(local(m));
    m.share->start(local(m));
    settle(i);
  }

  void stop(int i) {
    Member& m = at(i);
    if (!m.up) return;
    m.up = false;
    ++m.life;
    // Of what was not finished a part may have reached the disk, in order.
    std::size_t kept = m.disk.failing || m.disk.full ? 0 : chance_.below(m.disk.pending.size() + 1);
    for (; kept > 0; --kept) {
      apply(m.disk.kept, m.disk.pending.front());
      m.disk.pending.pop_front();
    }
    m.disk.pending.clear();
    end_spans(i);
    m.share.reset();
    m.node.reset();
  }

  roster::Members list(bool whole) const {
    roster::Members news;
    news.version = version_;
    news.whole = whole;
    roster::Member w;
    w.info.id = "w" + std::to_string(version_ % 7);
    w.address = roster::Address{"127.0.0.1", 8000};
    news.entries.push_back(w);
    return news;
  }

  // What the member wants done, and what it has met.
  void settle(int i) {
    Member& m = at(i);
    m.share->tick(local(m));
    for (const auto& frame : m.node->take_inbox()) m.share->receive(frame, local(m));
    m.share->take_lists();
    for (auto& sent : m.node->take_out()) send(i, std::move(sent));
    for (auto& w : m.node->take_writes()) write(i, std::move(w));
    for (const auto& act : m.node->take_acts())
      judge_.judge({m.options.name, act.duty, act.holder, act.number, act.taken}, report_);
    for (const auto& move : m.node->take_moves()) moved(i, move);
    m.node->take_news();
    check_log(i);
    check_alone(i);
    const Micros wake = std::min(m.node->wake(), m.share->wake());
    const Micros when = std::max(now_ + 1, from_local(m, wake));
    if (m.wake_for <= now_ || when < m.wake_for) {
      m.wake_for = when;
      push(when, Event::Kind::wake, i);
    }
    if (m.node->consensus() != nullptr && m.node->consensus()->stale() && !std::exchange(m.mending, true)) {
      push(now_ + kMendAfter, Event::Kind::mend, i);
    }
  }

  void moved(int i, const duty::Move& move) {
    const Member& m = at(i);
    auto& open = open_[{move.duty, i}];
    if (!move.held) {
      if (open.number != 0)
        report_.spans.push_back({move.duty, m.options.name, open.number, open.from, now_});
      open = {};
      return;
    }
    open = {move.number, now_};
    const std::string who = m.options.name + "/" + std::to_string(m.node->run());
    const auto [given, fresh] = given_.try_emplace({move.duty, move.number}, who);
    if (!fresh && given->second != who) {
      ++report_.two_holders;
      broken("one number, two holders: " + move.duty + " by " + std::to_string(move.number) + ", " +
             given->second + " and " + who);
    }
    auto& highest = highest_[move.duty];
    if (fresh && move.number < highest)
      broken("number went back: " + move.duty + " by " + std::to_string(move.number) + " after " +
             std::to_string(highest));
    highest = std::max(highest, move.number);
  }

  void end_spans(int i) {
    for (auto& [key, open] : open_) {
      if (key.second != i || open.number == 0) continue;
      report_.spans.push_back({key.first, at(i).options.name, open.number, open.from, now_});
      open = {};
    }
  }

  // Time is only for quickness, fencing is for safety; but within the stated drift time is kept as well.
  void check_alone(int i) {
    const Member& m = at(i);
    for (const auto& [name, number] : m.node->holder().held()) {
      if (!m.node->may_act(name, local(m))) continue;
      for (int j = 0; j < s_.members; ++j) {
        const Member& other = at(j);
        if (j == i || !other.up || other.paused || !other.node->may_act(name, local(other))) continue;
        ++report_.two_holders;
        broken("two hold at once: " + name + ", " + m.options.name + " and " + other.options.name + " at " +
               std::to_string(now_ / 1000) + " ms");
      }
    }
  }

  void check_log(int i) {
    const Member& m = at(i);
    if (m.node->consensus() != nullptr && m.node->consensus()->leads()) {
      const auto term = m.node->consensus()->term();
      const auto [leader, first] = leaders_.try_emplace(term, m.options.name);
      if (!first && leader->second != m.options.name)
        broken("two leaders in one term: " + leader->second + " and " + m.options.name + " in " +
               std::to_string(term));
    }
    if (m.node->consensus() == nullptr || m.node->ledger().index() == seen_index_[i]) return;
    seen_index_[i] = m.node->ledger().index();
    const std::uint64_t hash = hash_of(m.node->ledger().state(), 1);
    const auto [state, fresh] = states_.try_emplace(seen_index_[i], hash);
    if (!fresh && state->second != hash)
      broken("voters disagree: at entry " + std::to_string(seen_index_[i]));
  }

  // ---- network and folders ----

  void send(int from, group::Sent sent) {
    const auto dot = sent.address.rfind('.');
    const int to = std::stoi(sent.address.substr(dot + 1)) - 1;
    Way& w = way(from, to);
    if (w.cut > 0 || (w.lossy > 0 && chance_.uniform() < 0.3)) return;
    auto frame = std::make_shared<wire::Frame>(std::move(sent.frame));
    const int copies = w.repeat > 0 && chance_.uniform() < 0.5 ? 2 : 1;
    for (int c = 0; c < copies; ++c) {
      Micros delay = static_cast<Micros>(chance_.uniform(100, 1'500));
      if (w.slow > 0) delay += static_cast<Micros>(chance_.uniform(50'000, 800'000));
      if (w.thin > 0)  // 8 KB a second
        delay += std::max<Micros>(0, w.last - now_) + static_cast<Micros>(frame->ByteSizeLong()) * 122;
      if (w.reorder > 0) delay += static_cast<Micros>(chance_.uniform(0, 60'000));
      Micros when = now_ + delay;
      if (w.reorder == 0) when = w.last = std::max(w.last + 1, when);  // one connection keeps its order
      push(when, Event::Kind::frame, to, 0, frame);
    }
  }

  void write(int i, Write w) {
    Disk& d = at(i).disk;
    const std::uint64_t token = w.token;
    d.pending.push_back(std::move(w));
    if (!d.full) push(now_ + write_time(d), Event::Kind::written, i, token);
  }

  Micros write_time(const Disk& d) {
    return d.slow ? kSlowSync : static_cast<Micros>(chance_.uniform(200, 3'000));
  }

  // In order: a later write is not finished before an earlier one.
  void written(int i, std::uint64_t token) {
    Member& m = at(i);
    if (m.paused) {
      m.written_while_paused.push_back(token);
      return;
    }
    while (!m.disk.pending.empty() && m.disk.pending.front().token <= token) {
      if (m.disk.failing) return m.node->stored(token, false, local(m)), settle(i);
      apply(m.disk.kept, m.disk.pending.front());
      const std::uint64_t done = m.disk.pending.front().token;
      m.disk.pending.pop_front();
      m.node->stored(done, true, local(m));
    }
    settle(i);
  }

  // ---- faults ----

  void links(int a, int b, int by, int Way::*what) { way(a, b).*what += by; }
  void all_links(int a, int by, bool in, bool out) {
    for (int j = 0; j < s_.members; ++j) {
      if (j == a) continue;
      if (in) way(j, a).cut += by;
      if (out) way(a, j).cut += by;
    }
  }
  void between_halves(int by) {
    for (int a = 0; a < s_.members; ++a)
      for (int b = 0; b < s_.members; ++b)
        if (a % 2 != b % 2) way(a, b).cut += by;
  }

  void fault(const ChaosFault& f, bool over) {
    const int by = over ? -1 : 1;
    if (!over) ++report_.faults[name_of(f.kind)];
    Member& m = at(f.a);
    switch (f.kind) {
      case ChaosKind::kill:
        return over ? start(f.a) : stop(f.a);
      case ChaosKind::terminate:
        if (over) return stop(f.a), start(f.a);
        if (m.up && !m.paused) m.node->leave(local(m)), settle(f.a);
        return;
      case ChaosKind::lose_disk:
        if (over) return start(f.a);
        stop(f.a);
        m.disk.kept = {};
        return;
      case ChaosKind::old_disk:  // a copy tells that it is one, and begins anew
        if (over) return start(f.a);
        stop(f.a);
        m.disk.kept = {};
        return;
      case ChaosKind::set_back:
        if (over) return start(f.a);
        stop(f.a);
        if (!m.disk.copies.empty()) m.disk.kept = m.disk.copies.front();
        return;
      case ChaosKind::all_down:
        for (int i = 0; i < s_.members; ++i) over ? start(i) : stop(i);
        return;
      case ChaosKind::pause:
        if (!over) m.paused = m.up;
        else resume(f.a);
        return;
      case ChaosKind::cut:
      case ChaosKind::flap:
      case ChaosKind::break_frame:
      case ChaosKind::silent_link:
        if (f.kind == ChaosKind::flap && !over) flap(f);
        return links(f.a, f.b, by, &Way::cut);
      case ChaosKind::isolate:
        return all_links(f.a, by, true, true);
      case ChaosKind::deaf:
        return all_links(f.a, by, true, false);
      case ChaosKind::halves:
        return between_halves(by);
      case ChaosKind::thin_link:
        return links(f.a, f.b, by, &Way::thin);
      case ChaosKind::slow_link:
        return links(f.a, f.b, by, &Way::slow);
      case ChaosKind::lossy_link:
        return links(f.a, f.b, by, &Way::lossy);
      case ChaosKind::repeat_link:
        return links(f.a, f.b, by, &Way::repeat);
      case ChaosKind::reorder_link:
        return links(f.a, f.b, by, &Way::reorder);
      case ChaosKind::slow_sync:
        m.disk.slow = !over;
        return;
      case ChaosKind::full_disk:
        m.disk.full = !over;
        if (over && m.up && !m.disk.pending.empty())
          push(now_ + write_time(m.disk), Event::Kind::written, f.a, m.disk.pending.back().token);
        return;
      case ChaosKind::failed_sync:
        m.disk.failing = !over;
        if (over) stop(f.a), start(f.a);
        return;
    }
  }

  void flap(const ChaosFault& f) {  // cut and back, each 300 ms
    for (Micros t = 300'000; t < f.span; t += 300'000) {
      flaps_.push_back({f.a, f.b, (t / 300'000) % 2 == 1 ? -1 : 1});
      push(now_ + t, Event::Kind::mend, -static_cast<int>(flaps_.size()));
    }
    if ((f.span - 1) / 300'000 % 2 == 1) {  // even in the end
      flaps_.push_back({f.a, f.b, 1});
      push(now_ + f.span, Event::Kind::mend, -static_cast<int>(flaps_.size()));
    }
  }

  // First what it was about to do when it was stopped, then what has come meanwhile.
  void resume(int i) {
    Member& m = at(i);
    if (!m.up || !m.paused) return;
    m.paused = false;
    check_alone(i);
    for (const auto& frame : std::exchange(m.waiting, {})) {
      m.node->receive(frame, local(m));
      check_alone(i);
    }
    for (const auto token : std::exchange(m.written_while_paused, {})) written(i, token);
    m.node->tick(local(m));
    settle(i);
  }

  void mend(int i) {
    if (i < 0) {
      const auto& flap = flaps_[static_cast<std::size_t>(-i - 1)];
      way(flap.a, flap.b).cut += flap.by;
      return;
    }
    stop(i);
    at(i).disk.kept = {};
    at(i).mending = false;
    start(i);
  }

  // ---- the run ----

  void handle(const Event& e) {
    const bool of_member = e.kind == Event::Kind::frame || e.kind == Event::Kind::wake ||
                           e.kind == Event::Kind::written || e.kind == Event::Kind::heard;
    if (of_member && (at(e.who).life != e.life || !at(e.who).up)) return;
    switch (e.kind) {
      case Event::Kind::frame: {
        Member& m = at(e.who);
        if (m.paused) {
          m.waiting.push_back(*e.frame);
          return;
        }
        m.node->receive(*e.frame, local(m));
        return settle(e.who);
      }
      case Event::Kind::wake: {
        Member& m = at(e.who);
        if (m.wake_for != e.at) return;
        m.wake_for = INT64_MAX;
        if (m.paused) return;
        m.node->tick(local(m));
        return settle(e.who);
      }
      case Event::Kind::written:
        return written(e.who, e.number);
      case Event::Kind::start:
        return start(e.who);
      case Event::Kind::fault:
      case Event::Kind::fault_over:
        return fault(schedule_[static_cast<std::size_t>(e.who)], e.kind == Event::Kind::fault_over);
      case Event::Kind::mend:
        return mend(e.who);
      case Event::Kind::sample:
        sample();
        return push(now_ + kSampleEvery, Event::Kind::sample, 0);
      case Event::Kind::news:
        return news();
      case Event::Kind::heard: {
        Member& m = at(e.who);
        if (m.paused || !m.share->watches()) return;
        m.share->heard(list(false), local(m));
        return settle(e.who);
      }
    }
  }

  void news() {
    ++version_;
    for (int i = 0; i < s_.members; ++i)
      if (at(i).up && at(i).share->watches())
        push(now_ + static_cast<Micros>(chance_.uniform(1'000, 200'000)), Event::Kind::heard, i);
    for (int i = 0; i < s_.voters;
         ++i) {  // copies of folders, as staff make them; the oldest of the last few
      Disk& d = at(i).disk;
      if (d.kept.snapshot.empty() || version_ % 8 != 0) continue;
      d.copies.push_back(d.kept);
      if (d.copies.size() > kCopies) d.copies.pop_front();
    }
    push(now_ + kNewsEvery, Event::Kind::news, 0);
  }

  void sample() {
    for (int z = 0; z < s_.zones; ++z) {
      const std::string name = "list/z" + std::to_string(z);
      const bool held = std::any_of(members_.begin(), members_.end(), [&](const Member& m) {
        return m.up && !m.paused && m.node->may_act(name, local(m));
      });
      auto& since = empty_since_[name];
      if (!held && since == 0) since = now_;
      if (held && since != 0) report_.gaps.push_back(now_ - std::exchange(since, 0));
    }
  }

  void finish() {
    for (int i = 0; i < s_.members; ++i)
      if (at(i).up) end_spans(i);
    // Nothing has gone wrong for the whole of the calm: by its end each duty has a holder again.
    if (s_.calm < gap_bound(s_.times)) return;
    for (const auto& [name, since] : empty_since_)
      if (since != 0) broken("no holder: " + name + " for " + std::to_string((now_ - since) / 1000) + " ms");
    for (const auto& m : members_)
      if (!m.up || m.paused || !m.node->holder().has_session(local(m)))
        broken("no session: " + m.options.name);
    for (const auto& g : report_.gaps)
      report_.figures["gap_longest_ms"] =
          std::max(report_.figures["gap_longest_ms"], static_cast<double>(g) / 1e3);
    double elections = 0;
    for (int i = 0; i < s_.voters; ++i)
      if (at(i).up) elections += static_cast<double>(at(i).node->consensus()->elections());
    report_.figures["elections"] = elections;
  }

  struct OpenSpan {
    std::uint64_t number = 0;
    Micros from = 0;
  };
  struct Flap {
    int a, b, by;
  };

  const ChaosScenario& s_;
  const std::vector<ChaosFault>& schedule_;
  Stream chance_;
  std::vector<Member> members_;
  std::vector<Way> ways_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t orders_ = 0;
  Micros now_ = 0;
  std::int64_t version_ = 1;
  std::vector<Flap> flaps_;
  ActJudge judge_;
  std::map<std::pair<std::string, int>, OpenSpan> open_;
  std::map<std::pair<std::string, std::uint64_t>, std::string> given_;
  std::map<std::string, std::uint64_t> highest_;
  std::map<int, std::uint64_t> seen_index_;
  std::map<std::uint64_t, std::uint64_t> states_;
  std::map<std::uint64_t, std::string> leaders_;  // by term
  std::map<std::string, Micros> empty_since_;
  ChaosReport report_;
};

}  // namespace

ChaosReport play_simulated(const ChaosScenario& scenario, const std::vector<ChaosFault>& schedule) {
  return World(scenario, schedule).play();
}

std::vector<ChaosFault> shrink(const ChaosScenario& scenario, std::vector<ChaosFault> schedule,
                               const PlayChaos& play) {
  return shorten(std::move(schedule),
                 [&](const auto& fewer) { return !play(scenario, fewer).violations.empty(); });
}

}  // namespace woadridge::lab
