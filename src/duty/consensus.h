// What the voters agree on: a log of commands in one order, by Raft as published (Ongaro, Ousterhout 2014),
// with the trial vote, the leader that steps down without a quorum, and snapshots of its dissertation. No
// I/O, no clock. What was known and why this is code of our own: docs/design/duty.md.
//
// A voter is a name and a folder. One whose folder was lost may not vote as who it was: it is a listener
// until the others have agreed on its new folder (`Voter` in a command).
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "group/out.h"

namespace woadridge::duty {

using group::Micros;
using group::Out;

// What a voter may not forget.
struct Kept {
  std::uint64_t disk = 0;  // of the folder, drawn when it was made
  std::uint64_t boot = 0;  // how often it has been opened
  std::uint64_t term = 0;
  std::string vote;
  std::uint64_t snapshot_index = 0, snapshot_term = 0;
  std::string snapshot;                 // a LedgerState; empty: the folder is blank
  std::vector<wire::LogEntry> entries;  // behind the snapshot, without a gap
};

// One write to the folder; whole or not at all, and in the order of the tokens.
struct Write {
  std::uint64_t token = 0;
  std::uint64_t term = 0;
  std::string vote;
  std::uint64_t cut_from = 0;  // entries from here on are void; 0: none
  std::vector<wire::LogEntry> entries;
  std::optional<Kept> snapshot;    // only its snapshot fields count ...
  std::uint64_t forget_up_to = 0;  // ... and entries up to here go
};

std::uint64_t founding_disk(const std::string& group, const std::string& name);
Kept founded(const group::Options& options);  // a folder as `woadridge group found` writes it

class Consensus {
 public:
  enum class Role { listener, follower, candidate, leader };

  Consensus(const group::Options& options, Kept kept, std::uint64_t seed);

  void start(Micros now);
  void receive(const wire::Frame& frame, Micros now, Out& out);
  void tick(Micros now, Out& out);
  void stored(std::uint64_t token, bool ok, Micros now, Out& out);
  void propose(const wire::Command& command, Out& out);  // of a leader
  void step_aside(Micros now, Out& out);                 // before the end: another voter leads at once
  Micros wake() const { return failed_ ? INT64_MAX : role_ == Role::leader ? beat_at_ : elect_at_; }

  std::vector<Write> take_writes() { return std::exchange(writes_, {}); }
  std::vector<wire::LogEntry> take_committed();  // to be applied, in order
  // A snapshot that has come in place of entries: the state is this one from now on. Before take_committed.
  std::optional<std::string> take_snapshot() { return std::exchange(fresh_snapshot_, std::nullopt); }
  void applied(std::uint64_t index, const std::function<std::string()>& state);  // cuts the log now and then
  void voters(const std::map<std::string, std::uint64_t>& folders) { folders_ = folders; }  // as applied

  Role role() const { return role_; }
  bool leads() const { return role_ == Role::leader; }
  bool serves() const;  // leads, and has applied all that earlier leaders may have promised
  const std::string& leader() const { return leader_; }
  std::uint64_t term() const { return term_; }
  std::uint64_t committed() const { return committed_; }
  Micros led_since() const { return led_since_; }
  // Of a leader: when the latest round began that a majority has answered. What was known then still held.
  Micros confirmed() const { return confirmed_; }
  void beat_now(Micros now, Out& out);
  bool failed() const { return failed_; }
  bool stale() const { return stale_; }  // its folder is an older copy: it takes no part
  std::optional<wire::Voter> newcomer() { return std::exchange(newcomer_, std::nullopt); }
  std::uint64_t elections() const { return elections_; }
  std::uint64_t disk() const { return kept_.disk; }
  std::uint64_t boot() const { return kept_.boot; }
  std::size_t log_length() const { return log_.size(); }
  bool pending() const { return committed_ != last_index(); }  // entries that are not agreed on yet

 private:
  struct Other {
    std::uint64_t next = 1, match = 0, round = 0;
    Micros sent = 0;  // entries that are on their way; 0: none
    Micros answered = 0;
    std::uint64_t run = 0, disk = 0;  // of the process that has said so
  };

  std::uint64_t last_index() const { return base_ + log_.size(); }
  std::uint64_t term_at(std::uint64_t index) const;
  const wire::LogEntry& entry(std::uint64_t index) const { return log_[index - base_ - 1]; }
  // Entries that are kept behind a snapshot, for a voter that is a little behind.
  std::uint64_t kept_behind() const { return static_cast<std::uint64_t>(options_.snapshot_entries) / 4; }
  std::size_t majority() const { return options_.voters.size() / 2 + 1; }
  bool may_vote() const;
  bool counts(const std::string& name, std::uint64_t disk) const;
  std::uint64_t folder_of(const std::string& name) const;
  const std::string& address_of(const std::string& name) const;
  bool known_boot(const wire::Frame& frame);

  void send(const std::string& to, wire::Frame frame, Out& out);
  void send_stored(const std::string& to, wire::Frame frame, Out& out);
  void write(Write w);
  void set_term(std::uint64_t term, const std::string& vote);
  void follow(const std::string& leader, Micros now);
  void await_leader(Micros now);
  void ask_votes(bool trial, bool handed, Micros now, Out& out);
  void lead(Micros now, Out& out);
  void append(wire::LogEntry e, Write& w);
  void send_log(const std::string& to, Micros now, Out& out);
  void send_snapshot(const std::string& to, Out& out);
  void count_commits();
  void count_rounds();
  void commit_up_to(std::uint64_t index);

  void on(const std::string& from, std::uint64_t disk, const wire::VoteAsk& ask, Micros now, Out& out);
  void on(const std::string& from, std::uint64_t disk, const wire::VoteAnswer& answer, Micros now, Out& out);
  void on(const std::string& from, const wire::Append& append, Micros now, Out& out);
  void on_answer(const wire::Frame& frame, Micros now, Out& out);
  bool has_lost(Other& other, const wire::Frame& frame) const;
  void tell_stale(const std::string& to, Out& out);
  void on(const std::string& from, const wire::Snapshot& snapshot, Micros now, Out& out);
  void answer_append(Out& out);

  const group::Options& options_;
  Kept kept_;  // disk, boot and the latest snapshot; entries live in log_
  std::minstd_rand chance_;
  Role role_ = Role::follower;
  std::uint64_t term_ = 0;
  std::string vote_;
  std::uint64_t base_ = 0;  // index of the last entry that is not in the log any more
  std::uint64_t base_term_ = 0;
  std::vector<wire::LogEntry> log_;
  std::uint64_t committed_ = 0, applied_ = 0, handed_ = 0;
  std::map<std::string, std::uint64_t> folders_;   // as applied
  std::map<std::uint64_t, wire::Voter> admitted_;  // by entries that are not applied yet, by their index

  std::string leader_;
  Micros heard_ = 0;  // from a leader
  Micros elect_at_ = 0, beat_at_ = 0, led_since_ = 0, confirmed_ = 0;
  bool trial_ = false;
  std::map<std::string, bool> votes_;
  std::map<std::string, Other> others_;
  std::uint64_t round_ = 0;
  std::map<std::uint64_t, Micros> rounds_;  // when each that is not confirmed yet began
  std::uint64_t match_ = 0;                 // of a follower: what it shares with its leader
  std::uint64_t answer_round_ = 0;

  std::uint64_t tokens_ = 0, stored_ = 0, term_token_ = 0;
  std::uint64_t stored_index_ = 0;
  std::map<std::uint64_t, std::uint64_t> storing_;  // token: the last index that is safe with it
  struct Waiting {
    std::uint64_t token;
    std::string to;
    wire::Frame frame;
  };
  std::vector<Waiting> waiting_;
  std::vector<Write> writes_;
  std::optional<std::string> fresh_snapshot_;
  std::optional<wire::Voter> newcomer_;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> boots_;  // of the others: folder and boot
  bool failed_ = false, stale_ = false;
  std::uint64_t elections_ = 0;
};

}  // namespace woadridge::duty
