// A machine's place in the chain: what it holds on its disk, which view it acts in, what it passes on. No
// I/O, no clock.
//
// Why nothing acknowledged is lost. A value is acknowledged in view v once it is on the disks of all links of
// v. View v+1 is decided only after a link x of v was sealed, on disk, and the newest value S that x (or
// another sealed link) told is on the disks of all links of v+1.
//  - Acknowledged in v before x was sealed: all links held it, x too, and x told it or a newer one.
//  - Acknowledged in v after: x would have had to accept it after its seal, which it doesn't. So who was
//  removed
//    by a view can't acknowledge anything new, though it may not know of the view yet.
//  - A link is a machine with a certain disk. One that lost it has another one and is no link: it is neither
//    sealed nor passed anything. v has one link more than disks that may be lost, so a link to seal is left.
//  - Two that mend v at once may have been told different S. Each is staged under its own mark; the view that
//    is decided names its S, and each of its links begins with just that one.
// Why an old tail answers nothing old: it asks a majority for the view in force after the question came, and
// answers only if that is the one it acts in.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chain/messages.h"
#include "chain/planted.h"
#include "chain/version_history.h"

namespace woadridge::chain {

struct Environment {  // of whoever runs the chain
  std::function<void(const std::string& to, Message message)> post;
  std::function<void(Rows rows, std::function<void(bool good)> then)> write;
  std::function<void(const View& from, const View& next)> propose;  // the next view; proposed() tells the end
  std::function<void(std::uint64_t ticket)> look;  // which view is in force, by a majority: looked()
  std::function<void(const std::string& from, const std::string& why)> refuse;  // what that one sent
  std::function<Micros()> now;
};

Mark mark_of(std::uint64_t version, const std::string& value);

class Replica {
 public:
  using OnForce = std::function<void(const Mark& mark, const Bytes& value)>;

  // `disk`: drawn for an empty one. `on_force`: the value is on all disks of the chain.
  Replica(const Environment& environment, std::string self, const Rows& kept, std::uint64_t disk,
          OnForce on_force);

  std::uint64_t disk() const { return disk_; }
  const View& view() const { return latest_; }  // the newest that was decided, as far as this machine knows
  bool links() const { return place() != nullptr; }
  bool is_head() const { return acts() && latest_.chain.front().ip == self_; }
  bool is_tail() const { return acts() && latest_.chain.back().ip == self_; }
  bool sealed() const { return now_.sealed && now_.view == latest_.number; }
  bool stuck() const;  // the next link keeps silent
  std::uint64_t acting_in() const { return safe_.view; }
  const Mark& newest() const { return now_.mark; }  // not on disk yet, maybe
  const Mark& on_disk() const { return safe_.mark; }
  const Bytes& value_on_disk() const { return safe_value_; }
  const Mark* lacking() const { return lacks_ ? &latest_.base : nullptr; }  // of its view's beginning
  Bytes find(const Mark& mark) const;
  // Of an order at the head, once that mark, not below the order's, is in force.
  Outcome judge(const Mark& order, const Mark& in_force) const { return now_history_.judge(order, in_force); }

  void learn(const View& view);
  void supply(const Mark& mark, const Bytes& value);  // that was lacking
  bool accept(const Mark& mark, Bytes value);         // as the head; false: it isn't, or not now
  void receive(const std::string& from, Pass& message);
  void receive(const std::string& from, const Kept& message);
  void receive(const std::string& from, const Seal& message);
  void receive(const std::string& from, Stage& message);
  void tick();
  Micros due() const;

 private:
  struct Held {
    std::uint64_t view = 0;
    Mark mark;
    bool sealed = false;
    template <class A>
    void serialize(A& a) {
      a(view, mark, sealed);
    }
  };
  struct StagedValue {  // staged for the view of that number
    std::uint64_t number = 0;
    Mark mark;
    std::string value;
    VersionHistory history;  // in a row of its own
    template <class A>
    void serialize(A& a) {
      a(number, mark, value);
    }
  };
  // On disk beside the value that it belongs to. Earlier releases wrote none and leave one of theirs
  // untouched.
  struct StoredHistory {
    std::uint64_t view = 0;  // of the value held, or that it is staged for
    Mark mark;
    VersionHistory history;
    template <class A>
    void serialize(A& a) {
      a(view, mark, history);
    }
  };
  struct Asked {  // a seal or a stage that waits for the disk
    std::string from;
    std::uint64_t round = 0, number = 0;
    Mark mark;  // a seal's: what the asker has
  };

  const Link* place() const;
  std::size_t index() const;  // of a link
  bool acts() const;          // a link of the newest view, which it has begun
  void read_histories(const std::string& held, const std::string& staged);
  std::string staged_histories() const;
  const StagedValue* staged_for(const View& view) const;
  void begin(const Mark& base, const Bytes& value, const VersionHistory& history);
  void keep();  // all that isn't on disk for sure
  void advance();
  void pass();

  const Environment& environment_;
  std::string self_;
  std::uint64_t disk_ = 0;
  OnForce on_force_;
  View latest_, acted_;  // acted_: that now_ is of
  Held now_, safe_;
  Bytes now_value_, safe_value_;
  VersionHistory now_history_, safe_history_;
  std::vector<StagedValue> staged_;
  std::size_t staged_safe_ = 0;  // the first so many are on disk
  std::vector<Asked> seals_, stages_;
  bool lacks_ = false;
  Mark passed_, kept_by_next_, told_kept_, confirmed_;
  bool any_passed_ = false, resumed_ = false;
  std::uint64_t safe_write_ = 0;  // the latest one that the disk is known to have
  std::uint64_t writes_ = 0,
                value_write_ = 0;  // value_write_: the last one that carried a value and isn't safe
  Micros pass_again_ = 0, pass_since_ = 0, keep_again_ = 0;
};

}  // namespace woadridge::chain
