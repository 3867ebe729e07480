// The loop that mends the chain: which links are wanted by what the core machines tell of themselves and of
// one another, and the steps from the view in force to the next one. Any core machine may take them; the
// register of the view lets one through. No I/O, no clock.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "chain/replica.h"

namespace woadridge::chain {

class ViewManager {
 public:
  // `enough`: such links bear the losses that must be borne.
  ViewManager(const Environment& environment, Replica& replica, std::string self,
              std::function<bool(const std::vector<Link>&)> enough, std::mt19937_64& chance);

  void members(std::vector<std::string> ips, std::uint64_t epoch);  // of the list, in its order
  bool missed_by_most(const std::string& ip) const;  // a majority hasn't heard of that member lately
  void heard_of(const std::string& ip);
  void receive(const std::string& from, const Sign& sign);
  void fit(bool fit) { fit_ = fit; }          // this machine itself
  void whole(bool whole) { whole_ = whole; }  // likewise: it has read what is in force
  Sign sign(const Mark& newest) const;
  void viewed(const View& before);  // the replica has learnt a newer view than that one

  void receive(const std::string& from, Sealed& message);
  void receive(const std::string& from, const Staged& message);
  void proposed(bool good);
  void tick();
  Micros due() const;

 private:
  enum class Phase { idle, sealing, staging, deciding };
  struct Seen {
    Micros heard = 0, told = 0;  // any message; a sign
    Sign sign;
  };

  std::size_t majority() const { return ips_.size() / 2 + 1; }
  std::size_t rank(const std::string& ip) const;
  bool hears_many(const Sign& sign) const;
  const Sign* fresh(const std::string& ip) const;  // null: it was silent for too long
  bool others_hear(const std::string& ip) const;
  bool keeps(const Link& link, bool& sure) const;
  std::vector<Link> wanted(bool& sure) const;
  void begin();
  void seal();
  void sealed_enough();
  void stage();
  void decide();
  void rest();

  const Environment& environment_;
  Replica& replica_;
  std::string self_;
  std::function<bool(const std::vector<Link>&)> enough_;
  std::mt19937_64& chance_;
  std::vector<std::string> ips_;
  std::uint64_t epoch_ = 0;  // of the list
  std::map<std::string, Seen> seen_;
  std::map<std::string, Micros> barred_;  // taken out of late: until when it isn't taken in
  bool fit_ = false, whole_ = false;

  std::vector<Link> wish_;  // since when it is wanted: not acted on at once
  Micros wished_ = 0, next_look_ = 0;
  bool sure_ = false;

  Phase phase_ = Phase::idle;
  std::uint64_t round_ = 0;
  View from_, next_;
  std::map<std::string, Sealed> told_;
  std::vector<std::string> ready_;  // that have staged it
  Mark base_;
  Bytes base_value_;
  VersionHistory base_history_;
  Micros until_ = 0, settle_ = 0, again_ = 0;
};

}  // namespace woadridge::chain
