#include "duty/consensus.h"

#include <algorithm>

#include "duty/planted.h"
#include "text.h"

namespace woadridge::duty {
namespace {

constexpr std::size_t kMostEntries = 256;    // in one frame
constexpr std::size_t kMostBytes = 1 << 20;  // in one frame, about

}  // namespace

// The same wherever it is computed: the founding state names the folders of all voters.
std::uint64_t founding_disk(const std::string& group, const std::string& name) {
  return fnv1a(group + "/" + name) | 1;
}

Kept founded(const group::Options& options) {
  Kept kept;
  wire::LedgerState state;
  for (const auto& v : options.voters) {
    auto* voter = state.add_voters();
    voter->set_name(v.name);
    voter->set_disk(founding_disk(options.group, v.name));
  }
  kept.disk = founding_disk(options.group, options.name);
  kept.term = kept.snapshot_index = kept.snapshot_term = 1;
  kept.snapshot = state.SerializeAsString();
  return kept;
}

Consensus::Consensus(const group::Options& options, Kept kept, std::uint64_t seed)
    : options_(options),
      kept_(std::move(kept)),
      chance_(static_cast<std::uint_fast32_t>(seed % 2'147'483'646 + 1)),
      term_(kept_.term),
      vote_(kept_.vote),
      base_(kept_.snapshot_index),
      base_term_(kept_.snapshot_term),
      log_(std::move(kept_.entries)),
      committed_(kept_.snapshot_index),
      applied_(kept_.snapshot_index),
      handed_(kept_.snapshot_index) {
  kept_.entries.clear();
  std::erase_if(log_, [this](const auto& e) { return e.index() <= base_; });  // the snapshot has them
  stored_index_ = last_index();
  if (!kept_.snapshot.empty()) fresh_snapshot_ = kept_.snapshot;
  for (const auto& e : log_) {
    wire::Command command;
    if (e.index() > applied_ && command.ParseFromString(e.data()) && command.has_admit())
      admitted_[e.index()] = command.admit();
  }
}

void Consensus::start(Micros now) {
  await_leader(now);
}

// ---- who may vote ----

// Between the moment when a new folder stands in the log and the one when it is known to be agreed on,
// neither the old nor the new one counts: else each could be half of a majority of its own.
std::uint64_t Consensus::folder_of(const std::string& name) const {
  std::uint64_t folder = 0;
  if (const auto found = folders_.find(name); found != folders_.end()) folder = found->second;
  for (const auto& [index, voter] : admitted_) {
    if (voter.name() != name) continue;
    folder = index <= committed_ || planted(Planted::admit_at_once) ? voter.disk() : 0;
  }
  return folder;
}

bool Consensus::counts(const std::string& name, std::uint64_t disk) const {
  if (planted(Planted::vote_after_disk_loss)) return true;
  return disk != 0 && folder_of(name) == disk;
}

bool Consensus::may_vote() const {
  return !failed_ && !stale_ && counts(options_.name, kept_.disk);
}

// Guards against a folder that was put back from an older copy: it has forgotten votes and entries. Whoever
// has met a later start of the same folder says so.
bool Consensus::known_boot(const wire::Frame& frame) {
  auto& [disk, boot] = boots_[frame.from()];
  if (disk == frame.disk() && frame.boot() < boot) return false;
  disk = frame.disk();
  boot = frame.boot();
  return true;
}

const std::string& Consensus::address_of(const std::string& name) const {
  static const std::string nowhere;
  for (const auto& v : options_.voters)
    if (v.name == name) return v.address;
  return nowhere;
}

// ---- writing and sending ----

std::uint64_t Consensus::term_at(std::uint64_t index) const {
  if (index == kept_.snapshot_index) return kept_.snapshot_term;
  if (index == base_) return base_term_;
  if (index > base_ && index <= last_index()) return entry(index).term();
  return 0;
}

void Consensus::send(const std::string& to, wire::Frame frame, Out& out) {
  const auto& address = address_of(to);
  if (address.empty()) return;
  frame.set_to(to);
  out.push_back({address, std::move(frame)});
}

// Promises go out when the folder has what they promise.
void Consensus::send_stored(const std::string& to, wire::Frame frame, Out& out) {
  if (stored_ == tokens_ || planted(Planted::answer_before_stored)) return send(to, std::move(frame), out);
  waiting_.push_back({tokens_, to, std::move(frame)});
}

void Consensus::write(Write w) {
  w.token = ++tokens_;
  w.term = term_;
  w.vote = vote_;
  if (w.cut_from != 0) stored_index_ = std::min(stored_index_, w.cut_from - 1);
  storing_[w.token] = last_index();
  writes_.push_back(std::move(w));
}

void Consensus::stored(std::uint64_t token, bool ok, Micros now, Out& out) {
  if (!ok) {
    // What a failed write left on the disk nobody knows. This voter promises nothing more until it has been
    // started anew and has read what is there.
    failed_ = true;
    if (role_ == Role::leader) leader_.clear();
    role_ = Role::listener;
    waiting_.clear();
    return;
  }
  if (failed_) return;
  stored_ = token;
  if (const auto found = storing_.find(token); found != storing_.end()) {
    stored_index_ = std::min(last_index(), std::max(stored_index_, found->second));
    storing_.erase(storing_.begin(), std::next(found));
  }
  std::vector<Waiting> later;
  for (auto& w : std::exchange(waiting_, {})) {
    if (w.token <= stored_) send(w.to, std::move(w.frame), out);
    else later.push_back(std::move(w));
  }
  waiting_ = std::move(later);
  if (role_ == Role::leader) return count_commits();
  if (role_ == Role::candidate && !trial_ && stored_ == tokens_) {
    votes_[options_.name] = true;  // the own vote counts as others' do: once it is kept
    if (votes_.size() >= majority()) lead(now, out);
  }
  if (role_ == Role::follower || role_ == Role::listener) answer_append(out);
}

void Consensus::set_term(std::uint64_t term, const std::string& vote) {
  if (term == term_ && vote == vote_) return;
  term_ = term;
  vote_ = vote;
  write({});
  term_token_ = tokens_;
}

// ---- elections ----

void Consensus::await_leader(Micros now) {
  elect_at_ = now + options_.election + static_cast<Micros>(chance_()) % options_.election;
}

void Consensus::follow(const std::string& leader, Micros now) {
  if (role_ == Role::leader) others_.clear(), rounds_.clear();
  role_ = may_vote() ? Role::follower : Role::listener;
  leader_ = leader;
  votes_.clear();
  await_leader(now);
}

void Consensus::ask_votes(bool trial, bool handed, Micros now, Out& out) {
  trial_ = trial;
  role_ = Role::candidate;
  leader_.clear();
  votes_.clear();
  await_leader(now);
  if (!trial) {
    ++elections_;
    set_term(term_ + 1, options_.name);
  } else {
    votes_[options_.name] = true;
  }
  wire::Frame frame;
  auto* ask = frame.mutable_vote_ask();
  ask->set_term(trial ? term_ + 1 : term_);
  ask->set_last_index(last_index());
  ask->set_last_term(term_at(last_index()));
  ask->set_trial(trial);
  ask->set_handed(handed);
  for (const auto& v : options_.voters)
    if (v.name != options_.name) trial ? send(v.name, frame, out) : send_stored(v.name, frame, out);
}

void Consensus::on(const std::string& from, std::uint64_t disk, const wire::VoteAsk& ask, Micros now,
                   Out& out) {
  if (!may_vote() || !counts(from, disk)) return;
  // Guards against a voter that alone has lost its leader: whoever hears one gives nobody a vote.
  const bool has_leader =
      !ask.handed() && (role_ == Role::leader || (!leader_.empty() && now - heard_ < options_.election));
  const bool newer =
      std::pair(ask.last_term(), ask.last_index()) >= std::pair(term_at(last_index()), last_index());
  wire::Frame frame;
  auto* answer = frame.mutable_vote_answer();
  answer->set_trial(ask.trial());
  if (ask.trial()) {
    answer->set_term(ask.term());
    answer->set_given(!has_leader && newer && ask.term() > term_);
    return send(from, std::move(frame), out);
  }
  if (has_leader && ask.term() > term_) return;
  if (ask.term() > term_) {
    set_term(ask.term(), {});
    follow({}, now);
  }
  const bool free = vote_.empty() || vote_ == from || planted(Planted::vote_twice);
  const bool given = ask.term() == term_ && free && newer;
  if (given) {
    set_term(term_, from);
    await_leader(now);
  }
  answer->set_term(term_);
  answer->set_given(given);
  send_stored(from, std::move(frame), out);
}

void Consensus::on(const std::string& from, std::uint64_t disk, const wire::VoteAnswer& answer, Micros now,
                   Out& out) {
  if (!answer.trial() && answer.term() > term_) {
    set_term(answer.term(), {});
    return follow({}, now);
  }
  const bool asked =
      role_ == Role::candidate && answer.trial() == trial_ && answer.term() == (trial_ ? term_ + 1 : term_);
  if (!asked || !answer.given() || !counts(from, disk)) return;
  votes_[from] = true;
  if (votes_.size() < majority()) return;
  if (trial_) return ask_votes(false, false, now, out);
  if (votes_.contains(options_.name) && stored_ == tokens_) lead(now, out);
}

void Consensus::lead(Micros now, Out& out) {
  role_ = Role::leader;
  leader_ = options_.name;
  led_since_ = now;
  confirmed_ = 0;
  others_.clear();
  rounds_.clear();
  for (const auto& v : options_.voters)
    if (v.name != options_.name) others_[v.name] = {last_index() + 1, 0, 0, 0, now, 0, 0};
  wire::Command nothing;  // an entry of this term: with it all before it is agreed on
  nothing.set_nothing(true);
  propose(nothing, out);
  beat_now(now, out);
}

// To the voter that has the most of the log; should the word be lost, an election comes as after a death.
void Consensus::step_aside(Micros now, Out& out) {
  if (role_ != Role::leader) return;
  const auto next = std::max_element(others_.begin(), others_.end(), [](const auto& a, const auto& b) {
    return std::pair(a.second.match, a.second.answered) < std::pair(b.second.match, b.second.answered);
  });
  if (next != others_.end()) {
    wire::Frame frame;
    frame.mutable_take_over()->set_term(term_);
    send(next->first, std::move(frame), out);
  }
  follow({}, now);
  elect_at_ = now + 4 * options_.election;
}

bool Consensus::serves() const {
  return role_ == Role::leader && committed_ == applied_ && committed_ > 0 && term_at(committed_) == term_;
}

// ---- the log ----

void Consensus::append(wire::LogEntry e, Write& w) {
  wire::Command command;
  if (command.ParseFromString(e.data()) && command.has_admit()) admitted_[e.index()] = command.admit();
  log_.push_back(e);
  w.entries.push_back(std::move(e));
}

void Consensus::propose(const wire::Command& command, Out&) {
  if (role_ != Role::leader) return;
  wire::LogEntry e;
  e.set_index(last_index() + 1);
  e.set_term(term_);
  e.set_data(command.SerializeAsString());
  Write w;
  append(std::move(e), w);
  write(std::move(w));
  beat_at_ = 0;  // goes out with the next look
}

void Consensus::beat_now(Micros now, Out& out) {
  if (role_ != Role::leader) return;
  rounds_[++round_] = now;
  beat_at_ = now + options_.heartbeat;
  for (const auto& [name, other] : others_) send_log(name, now, out);
}

void Consensus::send_log(const std::string& to, Micros now, Out& out) {
  Other& o = others_[to];
  if (o.next <= base_) return send_snapshot(to, out);
  wire::Frame frame;
  auto* a = frame.mutable_append();
  a->set_term(term_);
  a->set_before_index(o.next - 1);
  a->set_before_term(term_at(o.next - 1));
  a->set_committed(committed_);
  a->set_round(round_);
  // What is on its way is not sent again with each beat, only once it must have been lost.
  if (o.sent == 0 || now - o.sent > 3 * options_.heartbeat) {
    std::size_t bytes = 0;
    for (std::uint64_t i = o.next; i <= last_index() && bytes < kMostBytes; ++i) {
      if (static_cast<std::size_t>(a->entries_size()) >= kMostEntries) break;
      *a->add_entries() = entry(i);
      bytes += entry(i).data().size();
    }
    if (a->entries_size() > 0) o.sent = now;
  }
  send(to, std::move(frame), out);
}

void Consensus::send_snapshot(const std::string& to, Out& out) {
  wire::Frame frame;
  auto* s = frame.mutable_snapshot();
  s->set_term(term_);
  s->set_index(kept_.snapshot_index);
  s->set_index_term(kept_.snapshot_term);
  s->set_state(kept_.snapshot);
  s->set_round(round_);
  send(to, std::move(frame), out);
}

void Consensus::on(const std::string& from, const wire::Append& a, Micros now, Out& out) {
  if (a.term() < term_) {  // tell an old leader that its time is over
    wire::Frame frame;
    frame.mutable_append_answer()->set_term(term_);
    return send_stored(from, std::move(frame), out);
  }
  if (a.term() > term_) set_term(a.term(), {}), match_ = 0;
  if (leader_ != from) match_ = 0;
  follow(from, now);
  heard_ = now;
  answer_round_ = a.round();
  const std::uint64_t before = a.before_index();
  if (before > last_index() || (before > committed_ && term_at(before) != a.before_term())) {
    wire::Frame frame;
    auto* answer = frame.mutable_append_answer();
    answer->set_term(term_);
    answer->set_match_index(std::min(last_index(), before > 0 ? before - 1 : 0));
    answer->set_round(a.round());
    answer->set_last_index(stored_index_);
    return send_stored(from, std::move(frame), out);
  }
  Write w;
  for (const auto& e : a.entries()) {
    if (e.index() <= committed_ || e.index() <= base_) continue;
    if (e.index() <= last_index()) {
      if (entry(e.index()).term() == e.term()) continue;
      w.cut_from = w.cut_from == 0 ? e.index() : w.cut_from;
      log_.resize(e.index() - base_ - 1);
      admitted_.erase(admitted_.lower_bound(e.index()), admitted_.end());
    }
    if (e.index() != last_index() + 1) break;
    append(e, w);
  }
  if (!w.entries.empty() || w.cut_from != 0) write(std::move(w));
  match_ = std::max(match_, before + static_cast<std::uint64_t>(a.entries_size()));
  match_ = std::min(match_, last_index());
  commit_up_to(std::min(a.committed(), match_));
  answer_append(out);
}

// Of what it shares with its leader only what its folder has counts.
void Consensus::answer_append(Out& out) {
  if (leader_.empty() || leader_ == options_.name || failed_ || stale_) return;
  wire::Frame frame;
  auto* answer = frame.mutable_append_answer();
  answer->set_term(term_);
  answer->set_matched(true);
  const bool early = planted(Planted::answer_before_stored);
  answer->set_match_index(early ? match_ : std::min(match_, stored_index_));
  answer->set_round(answer_round_);
  answer->set_last_index(stored_index_);
  if (stored_ < term_token_ && !early) return;  // the term is kept before anything is said in it
  send(leader_, std::move(frame), out);
}

// Guards against a folder put back from a copy that is older than what it had: a voter that has said it kept
// something and, started anew, has less.
bool Consensus::has_lost(Other& other, const wire::Frame& frame) const {
  const bool restarted = other.run != 0 && other.run != frame.run() && other.disk == frame.disk();
  if (restarted && frame.append_answer().last_index() < other.match) return true;
  other.run = frame.run();
  other.disk = frame.disk();
  return false;
}

void Consensus::tell_stale(const std::string& to, Out& out) {
  wire::Frame back;
  back.mutable_kept()->set_stale_name(true);
  send(to, std::move(back), out);
}

void Consensus::on_answer(const wire::Frame& frame, Micros now, Out& out) {
  const std::string& from = frame.from();
  const std::uint64_t disk = frame.disk();
  const wire::AppendAnswer& answer = frame.append_answer();
  if (answer.term() > term_) {
    set_term(answer.term(), {});
    return follow({}, now);
  }
  if (role_ != Role::leader || answer.term() != term_ || !others_.contains(from)) return;
  Other& o = others_[from];
  if (has_lost(o, frame)) return tell_stale(from, out);
  if (!answer.matched()) {
    o.next = std::max<std::uint64_t>(1, std::min(o.next > 1 ? o.next - 1 : 1, answer.match_index() + 1));
    o.sent = 0;
    return send_log(from, now, out);
  }
  if (answer.match_index() + 1 > o.next) {
    o.next = answer.match_index() + 1;
    o.sent = 0;
  }
  // A folder that is not known under this name is caught up like any other, but counts for nothing yet.
  if (!counts(from, disk)) {
    if (answer.match_index() + kept_behind() > last_index() && admitted_.empty()) {
      newcomer_.emplace();
      newcomer_->set_name(from);
      newcomer_->set_disk(disk);
    }
    return;
  }
  o.match = std::max(o.match, answer.match_index());
  o.round = std::max(o.round, answer.round());
  o.answered = now;
  count_rounds();
  count_commits();
  if (o.next <= last_index() && o.sent == 0) send_log(from, now, out);
}

void Consensus::count_rounds() {
  std::vector<std::uint64_t> rounds{round_};
  for (const auto& [name, o] : others_) rounds.push_back(o.round);
  std::sort(rounds.rbegin(), rounds.rend());
  const auto until = rounds_.upper_bound(rounds[majority() - 1]);
  if (until == rounds_.begin()) return;
  confirmed_ = std::max(confirmed_, std::prev(until)->second);
  rounds_.erase(rounds_.begin(), until);
}

void Consensus::count_commits() {
  std::vector<std::uint64_t> matches{stored_index_};
  for (const auto& [name, o] : others_) matches.push_back(o.match);
  std::sort(matches.rbegin(), matches.rend());
  const std::uint64_t agreed = matches[majority() - 1];
  if (agreed <= committed_) return;
  if (term_at(agreed) == term_ || planted(Planted::commit_old_term)) commit_up_to(agreed);
}

void Consensus::commit_up_to(std::uint64_t index) {
  if (index > committed_) committed_ = std::min(index, last_index());
}

std::vector<wire::LogEntry> Consensus::take_committed() {
  std::vector<wire::LogEntry> all;
  while (handed_ < committed_) all.push_back(entry(++handed_));
  return all;
}

void Consensus::applied(std::uint64_t index, const std::function<std::string()>& state) {
  applied_ = std::max(applied_, index);
  admitted_.erase(admitted_.begin(), admitted_.upper_bound(applied_));
  if (applied_ < kept_.snapshot_index + static_cast<std::uint64_t>(options_.snapshot_entries)) return;
  kept_.snapshot_term = term_at(applied_);
  kept_.snapshot_index = applied_;
  kept_.snapshot = state();
  Write w;
  w.snapshot = kept_;
  const std::uint64_t keep_from = applied_ - std::min(applied_, kept_behind());
  if (keep_from > base_) {
    base_term_ = term_at(keep_from);
    log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(keep_from - base_));
    base_ = keep_from;
    w.forget_up_to = keep_from;
  }
  write(std::move(w));
}

void Consensus::on(const std::string& from, const wire::Snapshot& s, Micros now, Out& out) {
  if (s.term() < term_) return;
  if (s.term() > term_) set_term(s.term(), {}), match_ = 0;
  follow(from, now);
  heard_ = now;
  answer_round_ = s.round();
  if (s.index() > committed_) {
    kept_.snapshot_index = base_ = s.index();
    kept_.snapshot_term = base_term_ = s.index_term();
    kept_.snapshot = s.state();
    log_.clear();
    admitted_.clear();
    committed_ = applied_ = handed_ = s.index();
    fresh_snapshot_ = s.state();
    Write w;
    w.snapshot = kept_;
    w.cut_from = 1;
    w.forget_up_to = s.index();
    write(std::move(w));
  }
  match_ = std::max(match_, s.index());
  answer_append(out);
}

// ---- what comes in, and time ----

void Consensus::receive(const wire::Frame& frame, Micros now, Out& out) {
  if (failed_ || stale_ || address_of(frame.from()).empty()) return;
  if (!known_boot(frame)) return tell_stale(frame.from(), out);
  if (frame.has_kept()) {
    if (frame.kept().stale_name()) stale_ = true, role_ = Role::listener;
    return;
  }
  if (frame.has_vote_ask()) on(frame.from(), frame.disk(), frame.vote_ask(), now, out);
  else if (frame.has_vote_answer()) on(frame.from(), frame.disk(), frame.vote_answer(), now, out);
  else if (frame.has_append()) on(frame.from(), frame.append(), now, out);
  else if (frame.has_append_answer()) on_answer(frame, now, out);
  else if (frame.has_take_over()) {
    if (frame.take_over().term() == term_ && role_ == Role::follower && may_vote())
      ask_votes(false, true, now, out);
  } else if (frame.has_snapshot()) on(frame.from(), frame.snapshot(), now, out);
}

void Consensus::tick(Micros now, Out& out) {
  if (failed_ || stale_) return;
  if (role_ == Role::leader) {
    std::size_t heard = 1;
    for (const auto& [name, o] : others_) heard += now - o.answered < 2 * options_.election ? 1u : 0u;
    // Guards against a leader that is deaf: it would keep the others from electing one that hears.
    if (heard < majority() && !planted(Planted::keep_without_quorum)) return follow({}, now);
    if (now >= beat_at_) beat_now(now, out);
    return;
  }
  if (now < elect_at_) return;
  if (!may_vote()) return await_leader(now);
  ask_votes(true, false, now, out);
}

}  // namespace woadridge::duty
