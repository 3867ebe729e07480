// The duty "reader of the list": one member of a zone watches discovery and passes on what it hears; the
// others ask discovery themselves only when they have heard nothing for a stated time. No I/O, no clock.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "duty/node.h"
#include "roster/roster.h"

namespace woadridge::duty {

class ListShare {
 public:
  // `whole`: the list as this dispatcher holds it.
  ListShare(Node& node, std::string source, std::function<roster::Members()> whole, std::uint64_t seed);

  void start(Micros now) { heard_ = now; }
  // From discovery itself; `at`: when discovery was last heard at all, that news among it.
  void heard(const roster::Members& news, Micros now);
  void alive(Micros at) { discovery_heard_ = std::max(discovery_heard_, at); }
  void receive(const wire::Frame& frame, Micros now);
  void tick(Micros now);
  Micros wake() const { return wake_; }
  void moved(std::string source);  // discovery is elsewhere from now on

  bool watches() const { return watches_; }  // as of the last call
  std::vector<roster::Members> take_lists() { return std::exchange(lists_, {}); }
  std::int64_t version() const { return version_; }  // of the list that is held; -1: none
  const std::string& duty() const { return duty_; }
  Micros age(Micros now) const { return now - heard_ + told_age_; }

 private:
  void send(const roster::Members& news, bool whole, const std::string& to, Micros now);
  void take(const wire::ListNews& news, const std::string& from, Micros now);
  void ask(const wire::ListNews& news, const std::string& from);
  void look(Micros now);

  Node& node_;
  const std::string duty_;
  std::string source_;
  std::function<roster::Members()> whole_;
  std::minstd_rand chance_;
  Micros heard_ = 0;  // from the holder, or from discovery
  Micros told_age_ = 0;
  Micros spread_ = 0;  // of this silence
  Micros discovery_heard_ = 0;
  Micros beat_at_ = 0, wake_ = 0;
  Micros lower_since_ = 0;  // a newer holder counts versions lower than ours; 0: it does not
  bool holds_ = false, watches_ = false;
  std::int64_t version_ = -1;  // -1: no list yet
  std::vector<roster::Members> lists_;
};

wire::Worker to_wire(const roster::Member& member);
roster::Member from_wire(const wire::Worker& worker);

}  // namespace woadridge::duty
