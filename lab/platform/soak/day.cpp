#include "lab/platform/soak/day.h"

#include <algorithm>
#include <numeric>

namespace woadridge::lab::platform::soak {
namespace {

constexpr Millis kChangesEvery{1200};
constexpr Millis kAfterRecovery{4'000};
constexpr Millis kAfterReturn{800};  // a machine of the provider drains so soon after a core machine is back
constexpr Millis kQuietEnd{8'000};   // before the closing fault
constexpr Action kLosses[] = {Action::kill, Action::kill, Action::terminate, Action::freeze, Action::wipe};
constexpr Millis kEdgeTroubleEvery{5'000};
constexpr Millis kInstanceTroubleEvery{3'000};
constexpr Millis kPlannedEvery{2'500};
constexpr Millis kNoClosing = std::chrono::hours(24);

class Draw {
 public:
  explicit Draw(const DayOptions& options)
      : options_(options), random_(options.seed), undrained_(some(options.workers, options.workers)) {}

  Day day() {
    Day day;
    day.closing = options_.length;
    day.closing_down = Millis(between(300, 900));
    day.length = day.closing + day.closing_down + options_.recovery + kAfterRecovery;
    if (options_.only_planned) return planned(std::move(day));
    core_troubles(day);
    if (options_.edges_suffer)
      for (Millis at(2'000); at < options_.length - kQuietEnd; at += kEdgeTroubleEvery)
        day.troubles.push_back(edge_trouble(at));
    if (options_.instances_suffer)
      for (Millis at(3'000); at < options_.length - kQuietEnd; at += kInstanceTroubleEvery)
        day.troubles.push_back(instance_trouble(at));
    if (options_.instances_suffer) day.troubles.push_back(provider_trouble());
    changes(day);
    day.bursts.push_back({Millis(between(9'000, 14'000)), Millis(between(15'000, 18'000)),
                          static_cast<double>(between(15, 30)) / 10});
    std::stable_sort(day.troubles.begin(), day.troubles.end(), [](auto& a, auto& b) { return a.at < b.at; });
    return day;
  }

 private:
  // No closing fault either: all that is cut off then counts.
  Day planned(Day day) {
    day.closing = kNoClosing;
    day.length = options_.length;
    constexpr Target kTargets[] = {Target::edge, Target::agent, Target::proxy};
    for (Millis at(1'000); at < options_.length - kQuietEnd; at += kPlannedEvery) {
      Trouble trouble = edge_trouble(at);
      trouble.target = kTargets[between(0, 2)];
      trouble.action = between(0, 2) == 0 ? Action::reload : Action::terminate;
      trouble.numbers = some(options_.edges, 1);
      day.troubles.push_back(trouble);
      if (between(0, 3) == 0) drain(day, at);
    }
    changes(day);
    std::stable_sort(day.troubles.begin(), day.troubles.end(), [](auto& a, auto& b) { return a.at < b.at; });
    return day;
  }

  Trouble provider_trouble() {
    constexpr Action kActions[] = {Action::hold_back, Action::refuse, Action::vanish};
    Trouble trouble;
    trouble.at = Millis(between(5'000, static_cast<int>((options_.length - kQuietEnd).count())));
    trouble.target = Target::provider;
    trouble.action = kActions[between(0, 2)];
    trouble.lasts = Millis(between(500, 4'000));
    return trouble;
  }

  int between(int low, int high) {  // both may come
    return low + static_cast<int>(random_() % static_cast<std::uint64_t>(high - low + 1));
  }

  std::vector<int> some(int of, int count) {
    std::vector<int> all(static_cast<std::size_t>(of));
    std::iota(all.begin(), all.end(), 0);
    for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[random_() % i]);
    all.resize(static_cast<std::size_t>(std::min(of, count)));
    return all;
  }

  // In a series: the whole core is lost, or its holder, or one machine; machines of the provider leave just
  // before that, and just after those that were lost are back.
  void core_troubles(Day& day) {
    const Millis last = options_.length - kQuietEnd;
    Millis at(between(6'000, 9'000));
    for (bool whole = true; at < last; whole = between(0, 2) == 0) {
      Trouble lost{at, Action::kill, Target::holder, {}, Millis(between(300, 3'500))};
      if (whole) {
        lost.target = Target::core;
        lost.numbers = some(options_.cores, options_.cores);
        lost.lasts = Millis(between(100, 2'000));
      } else if (between(0, 3) == 0) {
        lost.target = Target::core;
        lost.numbers = some(options_.cores, 1);
      }
      if (!whole) lost.action = kLosses[between(0, 4)];
      day.troubles.push_back(lost);
      drain(day, at - Millis(between(0, 2'500)));
      drain(day, at + lost.lasts + kAfterReturn);
      at += lost.lasts + Millis(between(4'000, 12'000));
    }
  }

  // Not so many that none are left for those that start.
  void drain(Day& day, Millis at) {
    if (undrained_.size() * 2 <= static_cast<std::size_t>(options_.workers)) return;
    day.troubles.push_back({at, Action::drain, Target::worker, {undrained_.back()}, {}});
    undrained_.pop_back();
  }

  Trouble edge_trouble(Millis from) {
    constexpr Target kTargets[] = {Target::edge, Target::agent, Target::proxy};
    constexpr Action kActions[] = {Action::kill, Action::terminate, Action::interrupt, Action::freeze,
                                   Action::reload};
    Trouble trouble;
    trouble.at = from + Millis(between(0, 4'000));
    trouble.target = kTargets[between(0, 2)];
    trouble.action = kActions[between(0, 4)];
    if (options_.edge_action) trouble.action = *options_.edge_action;
    trouble.numbers = some(options_.edges, std::max(1, options_.edges * between(5, 40) / 100));
    trouble.lasts = Millis(between(200, 4'000));
    return trouble;
  }

  Trouble instance_trouble(Millis from) {
    constexpr Action kActions[] = {Action::reset, Action::hold_back, Action::crash};
    Trouble trouble;
    trouble.at = from + Millis(between(0, 2'000));
    trouble.target = Target::instance;
    trouble.action = kActions[between(0, 2)];
    trouble.numbers = {between(0, 1'000'000)};  // the lot by which they are drawn
    trouble.lasts = Millis(between(100, 2'500));
    trouble.share = static_cast<double>(between(5, 30)) / 100;
    return trouble;
  }

  void changes(Day& day) {
    constexpr ChangeKind kKinds[] = {ChangeKind::add_route,  ChangeKind::add_route,  ChangeKind::drop_route,
                                     ChangeKind::move_route, ChangeKind::move_route, ChangeKind::invalid};
    for (Millis at(1'000); at < day.closing; at += kChangesEvery)
      day.changes.push_back(
          {at + Millis(between(0, 900)), kKinds[between(0, 5)], between(0, options_.cores - 1)});
  }

  const DayOptions& options_;
  std::mt19937_64 random_;
  std::vector<int> undrained_;  // machines of the provider
};

}  // namespace

Day draw_day(const DayOptions& options) {
  return Draw(options).day();
}

std::string describe(const Trouble& trouble) {
  constexpr const char* kActions[] = {"kill",  "wipe",  "terminate", "interrupt", "freeze", "reload",
                                      "drain", "reset", "hold back", "crash",     "refuse", "vanish"};
  constexpr const char* kTargets[] = {"core",  "holder", "edge",      "agent",
                                      "proxy", "worker", "instances", "provider"};
  std::string text = std::string(kActions[static_cast<int>(trouble.action)]) + " " +
                     kTargets[static_cast<int>(trouble.target)];
  for (const int number : trouble.numbers) text += " " + std::to_string(number + 1);
  if (trouble.lasts.count() > 0) text += " for " + std::to_string(trouble.lasts.count()) + " ms";
  return text;
}

}  // namespace woadridge::lab::platform::soak
