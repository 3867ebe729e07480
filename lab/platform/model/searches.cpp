#include "lab/platform/model/searches.h"

#include <functional>
#include <stdexcept>

namespace woadridge::lab::model {
namespace {

constexpr Micros kMilli = 1000;
constexpr Micros kNobodyAsks = 60'000 * kMilli;
constexpr Micros kShortly = 5 * kMilli;
constexpr Micros kListChange = 3'000 * kMilli;  // a machine that is gone is replaced by then, or soon after
constexpr std::uint64_t kJointEpoch = 2;        // of the first change of the list
constexpr Micros kSettled = 600 * kMilli;       // a group that got its power back has a holder by then

Situation settled(const std::string& name, const Disks& disks) {
  Situation situation;
  situation.name = name;
  situation.disks = disks;
  return situation;
}

// When that first holds before a step, if nobody asks for anything: the members' timers decide, so no search
// names a time of its own.
Micros first_time(Situation situation, const std::string& what,
                  const std::function<bool(const System&)>& holds) {
  situation.puts_at = kNobodyAsks;
  System system(situation);
  while (!system.over()) {
    if (holds(system)) return system.now();
    system.step();
  }
  throw std::logic_error(situation.name + ": " + what);
}

// When the first message of that type is delivered.
Micros first(const Situation& situation, const std::string& message, Micros from) {
  return first_time(situation, "no " + message + " comes", [&](const System& system) {
    return system.now() >= from && system.text().find(" " + message + " from ") != std::string::npos;
  });
}

void begins_at(Situation& situation, Micros at, Micros window) {
  situation.from = situation.puts_at = at;
  situation.window = window;
}

// A change while the chain goes over to its next view, because of what is given. It begins shortly before the
// first message of that type.
Named view_change(const std::string& name, const Disks& disks, const Given& given, const std::string& message,
                  Micros window) {
  Situation situation = settled(name, disks);
  situation.given = {given};
  begins_at(situation, first(situation, message, given.at) - kShortly, window);
  return {situation, {}};
}

// When a member first goes by a list of that epoch.
Micros first_of_epoch(const Situation& situation, std::uint64_t epoch) {
  return first_time(situation, "the list never changes",
                    [epoch](const System& system) { return system.epoch() >= epoch; });
}

// A change while the list of members goes from one to the next, because of what is given: from shortly before
// the joint list until after the new one.
Named list_change(const std::string& name, const Disks& disks, const std::vector<Given>& given) {
  Situation situation = settled(name, disks);
  situation.given = given;
  situation.from = kListChange;  // the usual order goes on for long enough
  const Micros joint = first_of_epoch(situation, kJointEpoch);
  begins_at(situation, joint - kMilli, first_of_epoch(situation, kJointEpoch + 1) - joint + kShortly);
  return {situation, {}};
}

}  // namespace

Disks founded() {
  Situation first;
  first.puts_at = first.after = 60'000 * kMilli;
  System system(first);
  while (!system.over()) {
    system.step();
    if (const auto disks = system.disks()) return *disks;
  }
  return {};
}

std::vector<Named> searches() {
  const Disks disks = founded();
  const Bounds every_kind_twice{2, 1, 1, 2, {}};
  const Bounds every_kind_once{1, 1, 1, 1, {}};
  const Bounds orders_twice{
      2, 2, 1, 2, {Kind::after_others, Kind::hold, Kind::lose, Kind::put_same, Kind::put_other}};
  std::vector<Named> all;

  // The first operator's change, and a renewal of the duty beside it.
  Situation change = settled("change", disks);
  begins_at(change, first(change, "Renew", kSettled) - kMilli, 20 * kMilli);
  all.push_back({change, every_kind_twice});
  change.name = "change, disks first";
  change.disks_first = true;
  all.push_back({change, every_kind_twice});
  change.name = "change by the tail, disks first";
  change.first_at = 2;
  all.push_back({change, every_kind_twice});

  Situation seconds = settled("seconds", disks);
  seconds.window = 2'500 * kMilli;
  all.push_back({seconds, every_kind_once});

  Situation claim = settled("claim", disks);
  claim.from = 0;
  claim.window = 1'000 * kMilli;
  all.push_back({claim, {2, 0, 0, 2, {Kind::freeze, Kind::cut}}});

  Situation founding;
  founding.name = "founding";
  founding.from = 0;
  founding.window = 1'700 * kMilli;
  founding.puts_at = 1'600 * kMilli;
  founding.after = 6'000 * kMilli;
  all.push_back({founding, every_kind_once});

  const auto given = [](Kind kind, std::uint8_t machine) { return Given{500 * kMilli, {kind, machine}}; };
  for (const Named& view :
       {list_change("replacement", disks, {given(Kind::replace, 2)}),
        list_change("planned replacement", disks,
                    {given(Kind::join, kMembers), {1'500 * kMilli, {Kind::end, 2}}}),
        view_change("disk lost", disks, given(Kind::lose_disk, 1), "Recovered", 70 * kMilli),
        view_change("tail ends", disks, given(Kind::end, 2), "Seal", 20 * kMilli),
        view_change("tail cut", disks, given(Kind::cut, 2), "Seal", 20 * kMilli)}) {
    all.push_back(view);
    all.back().bounds = every_kind_once;
    all.push_back(view);
    all.back().situation.name += ", order";
    all.back().bounds = orders_twice;
  }
  return all;
}

}  // namespace woadridge::lab::model
