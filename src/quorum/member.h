// One core machine's part in what the core machines hold together: list of members, registers, duty, and its
// place in the chain that keeps the configuration. No I/O and no clock: what it is told comes with the time,
// what it wants done is taken from it.
#pragma once

#include <array>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "chain/chain.h"
#include "quorum/duty.h"
#include "quorum/messages.h"
#include "quorum/register.h"

namespace woadridge::quorum {

inline constexpr const char* kView = "view";  // of the chain
inline constexpr const char* kLaunch = "launch";
inline constexpr const char* kList = "list";        // of members, after the first
inline constexpr const char* kMembers = "members";  // the first list: held by the seeds, at the founding
inline constexpr std::array<const char*, 3> kRegisters = {kView, kLaunch, kList};
inline constexpr Micros kNever = std::numeric_limits<Micros>::max();

struct Options {
  Machine self;
  std::vector<std::string> seeds;  // their ips, in the order of the settings
  bool bootstrap = false;          // the whole system starts for the first time
  bool votes = true;
  Micros lease = 1'600'000;
  std::size_t losses = 0;  // of disks, at once, that must be borne; likewise of zones and regions
  std::size_t zone_losses = 0, region_losses = 0;
  std::map<std::string, std::string> region_of;  // a zone
};

using Finished = chain::Ended;  // a put or a read of the configuration

struct DutyNews {
  bool held = false;
  std::uint64_t term = 0;
};

struct Out {
  Envelopes envelopes;  // by ip
  std::vector<std::pair<std::uint64_t, Rows>>
      writes;  // each whole, in this order; persisted() tells how it went
  std::vector<Finished> finished;
  std::vector<Bytes> learned;  // configurations in force: each newer than those before
  std::vector<DutyNews> duty;
  std::vector<std::string> notes;  // for the log
  std::vector<std::pair<std::string, std::string>>
      refused;  // whose message, and why: the connection is closed
};

class Member {
 public:
  /// learner: on no list; it is told everything and votes on nothing until it takes the place of a member.
  enum class Standing { founding, blank, voter, learner };

  // `kept`: what the disk has. `lost`: there was something that can't be read any more.
  Member(Options options, const Rows& kept, bool lost, std::uint64_t seed, Micros now);

  void heard(const std::string& from, Message message, Micros now);
  void persisted(std::uint64_t token, bool good, Micros now);
  void tick(Micros now);
  Micros due() const;  // when tick() is wanted
  Out take();

  // Of the configuration. Answered by Finished, at the latest after `limit`. Only a voter can; others are
  // told false at once.
  std::uint64_t put(const Bytes& value, std::uint64_t version, Micros limit, Micros now);
  std::uint64_t read(Micros limit, Micros now);
  // Of a register, at a majority.
  std::uint64_t change(const std::string& name, Change change, Micros limit, Micros now);
  void leave(Micros now);  // told to end: names a successor, takes no duty again
  void seeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }

  Standing standing() const { return standing_; }
  /// Of the list in force; while a change of it is under way those before and after.
  const Machines& members() const { return members_; }
  const List& list() const { return list_; }
  std::uint64_t disk() const { return disk_; }  // the number of this machine's disk, as lists name it
  Machines learners(Micros now) const;          // that stand by, as far as this machine knows
  /// Told to end, and not yet replaced by one that stands by: it had better wait, for a while.
  bool handing_over(Micros now) const;
  /// A person asks that this member's place be given to one that stands by. False: it is no member, or
  /// this machine doesn't hold the duty.
  bool replace(const std::string& ip, Micros now);
  bool holds(Micros now) const { return hold_.held(now); }
  std::uint64_t term() const { return hold_.term(); }
  std::optional<Duty> duty_known() const;
  const chain::Chain& chain() const { return *chain_; }
  std::optional<Machine> someone_else(Micros now) const;  // a member that was heard of lately, if any
  bool seen(const std::string& ip, Micros now) const;
  const Register& held(const std::string& name) const { return registers_.at(name); }

 private:
  struct Learned {
    Ballot ballot;
    Bytes value;
    Micros asked = 0;
  };

  void receive(const std::string& from, Hello& message);
  void receive(const std::string& from, Listed& message);
  void receive(const std::string& from, WhichList& message);
  void receive(const std::string& from, Leaving& message);
  void receive(const std::string& from, Query& message);
  void receive(const std::string& from, Holds& message);
  void receive(const std::string& from, Prepare& message);
  void receive(const std::string& from, Promise& message);
  void receive(const std::string& from, Accept& message);
  void receive(const std::string& from, Accepted& message);
  void receive(const std::string& from, Committed& message);
  void receive(const std::string& from, Fetch& message);
  void receive(const std::string& from, Value& message);
  void receive(const std::string& from, Recover& message);
  void receive(const std::string& from, Recovered& message);
  void receive(const std::string& from, Outlived& message);
  void receive(const std::string& from, Beat& message);
  void receive(const std::string& from, Renew& message);
  void receive(const std::string& from, Granted& message);
  void receive(const std::string& from, Yield& message);
  void receive(const std::string& from, chain::Message& message);
  template <class Answer>
  void answer_of(const std::string& from, const Answer& message);

  bool may_vote(const std::string& name) const;
  bool in_list(const std::string& ip) const;
  std::size_t rank() const;
  static std::vector<std::string> ips_of(const Machines& machines);
  Bytes known(const std::string& name) const;
  chain::Environment environment();
  bool enough(const std::vector<chain::Link>& links) const;
  void tell_sign();
  using Then = std::function<void(bool good)>;
  void write(const std::vector<std::string>& registers, Rows rows, Then then);
  void post(const std::string& to, Message message);
  void post(Envelopes envelopes);
  void settle();  // what this member told itself, and operations that have ended
  std::uint64_t begin(Operation::Order order);
  std::uint64_t begin(Operation::Order order, Electorate group);
  void begin_waiting();
  void ended(const Operation& operation);
  Operation::Now now_for(const std::string& name);
  void learn(const std::string& name, const Ballot& ballot, const Bytes& value);
  void maybe_behind(const std::string& from, const std::string& name, const Ballot& ballot);
  Beat beat() const;
  template <class Asked>
  bool of_this_epoch(const std::string& from, const Asked& message);
  // An answer that waited for the disk, of an epoch that is over meanwhile, is kept back.
  bool still_counts(std::uint64_t epoch) const { return epoch == 0 || epoch == list_.epoch; }
  void tell_list(const std::string& to);
  void adopt(const List& list);
  void adopted(const List& list, Standing standing);
  void take_list(const List& list);
  Standing standing_in(const List& list) const;
  bool joins() const;
  void join();
  void tend_place();
  void welcome(const std::string& from, const Hello& message);
  void refuse(const std::string& why);
  bool gone(const Machine& machine) const;
  void tend_list();
  void carry();
  void change_list(const List& next);
  std::vector<Machine> ready_learners() const;
  bool leaves(const Machine& machine) const;
  std::optional<List> list_with(const std::vector<std::size_t>& places, const std::vector<Machine>& ready,
                                bool same_zone) const;
  std::optional<List> next_list() const;
  void found();
  void recover();
  void recovered();
  void keep_told();
  void tend_duty();
  void claim(bool at_once);
  void claimed(const Operation& operation);
  void drop_duty();
  bool may_claim() const;
  void begin_duty();
  void read_for_duty();
  void duty_read_over(bool good);
  Micros draw(Micros most);
  static Duty duty_of(const Bytes& value);

  Options options_;
  std::mt19937_64 chance_;
  Micros now_ = 0, started_ = 0;
  Standing standing_ = Standing::blank;
  List list_;
  Electorate electorate_;  // of it
  Machines members_;
  std::map<std::string, Register> registers_;
  std::map<std::string, std::uint64_t> lives_;
  std::map<std::string, Learned> learned_;
  std::map<std::string, std::uint64_t> counters_;
  std::map<std::string, Micros> seen_, sent_;
  std::map<std::uint64_t, Then> writing_;
  std::map<std::uint64_t, Operation> operations_;  // by ticket
  std::map<std::string, std::uint64_t> writer_;    // the operation that writes, by register
  std::uint64_t next_ = 0;
  std::string ballots_of_;
  Envelopes to_self_;
  Out out_;
  bool leaving_ = false, joining_ = false, told_ = false, founded_now_ = false;

  std::vector<std::string> founding_seeds_;
  std::map<std::string, std::pair<Machine, bool>> announced_;
  Micros last_new_ = 0, next_hello_ = 0;
  std::uint64_t founding_ticket_ = 0;

  struct Learner {
    Hello told;
    Micros heard = 0;
    std::uint64_t least = 0;  // version that it must hold to be up to date
    bool ready = false;
  };
  std::uint64_t disk_ = 0;      // this machine's number of its disk, in lists
  bool disk_safe_ = false;      // the number is on it
  std::uint64_t adopting_ = 0;  // the epoch that is on its way to the disk
  Micros adopt_again_ = 0;
  List wanted_list_;  // that could not be written yet
  std::map<std::string, Learner> learners_;
  std::map<std::string, Micros> leaving_members_;  // last heard to be about to end
  std::set<std::string> to_replace_;               // a person asks for it
  std::uint64_t list_ticket_ = 0;                  // the operation that decides the next list
  std::map<std::uint64_t, std::string> carrying_;  // by ticket: the register that is carried
  std::set<std::string> carried_;                  // to the joint list in force
  std::set<std::string> refusals_;                 // that were noted
  Micros next_list_look_ = 0, next_which_ = 0, next_leaving_ = 0;

  Recover asked_, least_;  // least_: what the next round has to go beyond
  std::map<std::string, Recovered> recovered_;
  std::set<std::string> refused_;
  Micros recover_again_ = 0;
  unsigned recover_tries_ = 0;
  std::map<std::string, std::uint64_t> recover_rounds_;  // the last one promised to each that asked

  Grant grant_;
  Hold hold_;
  Micros next_renewal_ = 0, candidate_at_ = 0, next_beat_ = 0, next_read_ = 0, last_claim_ = 0;
  std::unique_ptr<chain::Chain> chain_;
  chain::Sign told_sign_;                         // the last one
  std::uint64_t proposal_ = 0;                    // the operation that decides a view
  std::map<std::uint64_t, std::uint64_t> looks_;  // by the ticket of the read: the chain's
  std::set<std::uint64_t> unwritten_;             // writes that the disk has under way ...
  Micros unwritten_since_ = 0, next_probe_ = 0;   // ... without an end since
  bool disk_good_ = true;

  std::uint64_t duty_read_ = 0, duty_read_term_ = 0;  // of the configuration, before the duty is acted on
  Micros duty_read_until_ = 0;
  bool yielded_to_me_ = false;
  std::uint64_t claim_ticket_ = 0, claim_term_ = 0, own_read_ = 0;
  bool heal_ = false;  // a member could not grant: it was promised to another that came to nothing
};

/// A request by which something is voted on counts only among those that go by the same list: who is behind
/// is told the newer one, who is ahead is asked for it.
template <class Asked>
bool Member::of_this_epoch(const std::string& from, const Asked& message) {
  if constexpr (requires { message.name; })
    if (message.name == kMembers) return message.epoch == 0;
  if (message.epoch == list_.epoch || planted(Planted::removed_votes)) return true;
  if (planted(Planted::learner_votes) && standing_ == Standing::learner) return true;
  if (from == options_.self.ip) return false;
  refuse("a message of epoch " + std::to_string(message.epoch) + " from " + from +
         " is refused: this is epoch " + std::to_string(list_.epoch));
  if (message.epoch < list_.epoch) tell_list(from);
  else post(from, WhichList{list_.group, list_.epoch});
  return false;
}

}  // namespace woadridge::quorum
