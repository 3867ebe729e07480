#include "lab/platform/soak/judge.h"

#include <algorithm>
#include <set>
#include <unordered_map>

#include "lab/platform/soak/configuration_history.h"
#include "lab/platform/soak/contact.h"

namespace woadridge::lab::platform::soak {
namespace {

constexpr Micros kLimitWindow = 5'000'000;  // the span in which refusals of full instances are counted
constexpr double kServedAgain = 0.25;       // the least share of requests that is served after a loss
constexpr std::size_t kMostBeyondTries = 3;
constexpr std::size_t kMostLostInTouch = 3;
constexpr Micros kAfterGrace = 1'000'000;       // planned work counts until so long after the grace
constexpr Micros kSentWhileEnding = 3'000'000;  // after SIGTERM: who sends later knows that it may be cut

std::string edge_name(int number) {
  return "edge-" + std::to_string(number + 1);
}

bool is_refusal(int status) {  // such an answer promises that the request has not run and won't
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string in_ms(Micros span) {
  return std::to_string(span / 1000) + " ms";
}

class Judge {
 public:
  Judge(const Observations& seen, const Bounds& bounds)
      : seen_(seen),
        bounds_(bounds),
        contact_(seen.troubles, bounds.contact, bounds.edges),
        history_(seen.versions) {
    for (const auto& attempt : seen.attempts) by_id_.emplace(attempt.id, &attempt);
    for (const auto& arrival : seen.arrivals)
      if (arrival.kind == Arrival::Kind::ran) runs_[arrival.attempt].push_back(&arrival);
  }

  std::vector<Finding> all() {
    for (const auto& attempt : seen_.attempts) {
      answered_rightly(attempt);
      configured(attempt);
    }
    ran_as_asked();
    left_alone();
    not_overfilled();
    not_gone_back();
    kept_acknowledged();
    answered_whole();
    within_tries();
    within_retry_budget();
    recovered();
    std::stable_sort(findings_.begin(), findings_.end(), [](auto& a, auto& b) { return a.at < b.at; });
    return std::move(findings_);
  }

 private:
  using Runs = std::vector<const Arrival*>;

  void broken(std::string rule, Micros at, std::string where, std::string what) {
    findings_.push_back({std::move(rule), at, std::move(where), std::move(what)});
  }

  const Runs& runs_of(const Attempt& attempt) const {
    static const Runs none;
    const auto found = runs_.find(attempt.id);
    return found == runs_.end() ? none : found->second;
  }

  // MIXED, TWICE, REFUSED
  void answered_rightly(const Attempt& attempt) {
    const bool success = attempt.status >= 200 && attempt.status < 300;
    if (success && !attempt.sealed)
      broken("MIXED", attempt.ended, edge_name(attempt.edge), attempt.id + " got a success without its seal");
    const Runs& runs = runs_of(attempt);
    if (attempt.repeatable || runs.empty()) return;
    if (runs.size() > 1)
      broken("TWICE", attempt.sent, edge_name(attempt.edge),
             attempt.id + " ran " + std::to_string(runs.size()) + " times" + places_of(runs));
    if (is_refusal(attempt.status))
      broken("REFUSED", attempt.ended, edge_name(attempt.edge),
             attempt.id + " got " + std::to_string(attempt.status) + " and ran");
  }

  static std::string places_of(const Runs& runs) {
    std::string text;
    for (const auto* run : runs) text += ", at " + run->instance + " at " + in_ms(run->at);
    return text;
  }

  // CONFIG: in force in time
  void configured(const Attempt& attempt) {
    if (!ConfigurationHistory::tells_route(attempt)) return;
    if (!contact_.edge(attempt.edge, attempt.sent, attempt.ended)) return;
    const auto allowing = history_.highest_allowing(attempt);
    if (allowing && *allowing >= history_.in_force(attempt.sent, bounds_.apply)) return;
    broken("CONFIG", attempt.sent, edge_name(attempt.edge),
           attempt.id + " " + handling_of(attempt) + " as only an older version allows");
  }

  static std::string handling_of(const Attempt& attempt) {
    if (attempt.status == 404) return "on " + attempt.route + " is refused";
    return "on " + attempt.route + " ran at " + attempt.ran_service;
  }

  // CONFIG: a machine goes back, in one life of its processes
  void not_gone_back() {
    std::vector<const Attempt*> telling;
    for (const auto& attempt : seen_.attempts)
      if (ConfigurationHistory::tells_route(attempt)) telling.push_back(&attempt);
    std::sort(telling.begin(), telling.end(), [](auto* a, auto* b) { return a->sent < b->sent; });
    for (const auto* later : telling) {
      const auto highest = history_.highest_allowing(*later);
      const auto shown = newest_shown_before(*later);
      if (highest && shown > *highest)
        broken("CONFIG", later->sent, edge_name(later->edge),
               later->id + " " + handling_of(*later) + " though version " + std::to_string(shown) +
                   " was in force there before");
    }
  }

  struct Effect {  // of a version, seen at an instance
    Micros at = 0;
    std::uint64_t version = 0;
  };

  // The newest version whose effect instances had seen of that machine's life, long enough before.
  std::uint64_t newest_shown_before(const Attempt& later) {
    if (effects_.empty()) note_effects();
    const Micros life = life_began(later.edge, later.sent);
    std::uint64_t newest = 0;
    for (const auto& effect : effects_[later.edge])
      if (effect.at > life && effect.at + bounds_.revert_slack < later.sent)
        newest = std::max(newest, effect.version);
    return newest;
  }

  void note_effects() {
    effects_[-1] = {};  // no edge's: the effects are noted
    for (const auto& attempt : seen_.attempts) {
      const Runs& runs = runs_of(attempt);
      const auto lowest = history_.lowest_allowing(attempt);
      if (attempt.ran_service.empty() || runs.empty() || !lowest) continue;
      const Micros at = runs.front()->at;
      if (attempt.sent > life_began(attempt.edge, at)) effects_[attempt.edge].push_back({at, *lowest});
    }
  }

  // When the machine's processes that took requests at that time began; that very time where they were
  // ending.
  Micros life_began(int edge, Micros at) const {
    Micros began = 0;
    for (const auto& trouble : seen_.troubles) {
      if (trouble.place != Place::edge || trouble.number != edge || !trouble.restarts) continue;
      if (trouble.from <= at) began = std::max(began, std::min(trouble.to, at));
    }
    return began;
  }

  // UNASKED, ROUTE
  void ran_as_asked() {
    std::map<std::string, std::set<std::string>> ever;  // by route
    for (const auto& arrival : seen_.arrivals) {
      if (arrival.kind != Arrival::Kind::ran) continue;
      const auto asked = by_id_.find(arrival.attempt);
      if (asked == by_id_.end()) {
        broken("UNASKED", arrival.at, arrival.instance, arrival.attempt + " was sent by no client");
        continue;
      }
      const std::string& route = asked->second->route;
      const auto leads = ever.try_emplace(route, history_.services_ever(route)).first;
      if (arrival.path != asked->second->path)
        broken("UNASKED", arrival.at, arrival.instance, arrival.attempt + " ran with another path");
      else if (!leads->second.contains(arrival.service))
        broken("ROUTE", arrival.at, arrival.instance, arrival.attempt + " ran at " + arrival.service);
    }
  }

  // DRAIN
  void left_alone() {
    std::unordered_map<std::string, Micros> shown;
    for (const auto& leaving : seen_.leaving) shown.emplace(leaving.instance, leaving.shown);
    for (const auto& arrival : seen_.arrivals) {
      const auto at = shown.find(arrival.instance);
      if (at == shown.end()) continue;
      const Micros down = contact_.provider_down(at->second, arrival.at);
      if (arrival.at <= at->second + bounds_.drain + down) continue;
      if (arrival.kind == Arrival::Kind::misdirected || !contact_.all_edges(arrival.at, arrival.at)) continue;
      broken("DRAIN", arrival.at, arrival.instance,
             arrival.attempt + " reached it " + in_ms(arrival.at - at->second) +
                 " after its leaving was shown" + taken_by(arrival.attempt));
    }
  }

  std::string taken_by(const std::string& attempt) const {
    const auto at = by_id_.find(attempt);
    return at == by_id_.end() ? std::string() : ", taken by " + edge_name(at->second->edge);
  }

  // LIMIT
  void not_overfilled() {
    std::map<std::string, std::vector<Micros>> full;  // by function
    for (const auto& arrival : seen_.arrivals)
      if (arrival.kind == Arrival::Kind::full && contact_.all_edges(arrival.at, arrival.at) &&
          contact_.instances(arrival.at, arrival.at))
        full[arrival.service].push_back(arrival.at);
    for (auto& [service, times] : full) {
      std::sort(times.begin(), times.end());
      const auto most = static_cast<std::size_t>(bounds_.shed_slack);
      for (std::size_t i = most; i < times.size(); ++i) {
        if (times[i] - times[i - most] > kLimitWindow) continue;
        broken("LIMIT", times[i], service,
               "its instances turned away more than " + std::to_string(most) + " in 5 s");
        break;
      }
    }
  }

  // CONFIG: read back; something invalid was acknowledged
  void kept_acknowledged() {
    std::uint64_t newest = 0, highest_sent = 0;
    for (const auto& version : seen_.versions) {
      if (version.valid) highest_sent = std::max(highest_sent, version.version);
      if (version.acknowledged == kNever) continue;
      if (!version.valid)
        broken("CONFIG", version.acknowledged, "core", "something invalid was acknowledged");
      newest = std::max(newest, version.version);
    }
    if (seen_.version_read_back < newest || seen_.version_read_back > highest_sent)
      broken("CONFIG", seen_.over, "core",
             "version " + std::to_string(seen_.version_read_back) + " is read back, " +
                 std::to_string(newest) + " was acknowledged");
  }

  // LOST
  void answered_whole() {
    std::vector<const Attempt*> in_touch;
    for (const auto& attempt : seen_.attempts) {
      const bool cut = attempt.status == 0 && !attempt.given_up && attempt.last_byte > 0;
      if (!cut || !contact_.instances(attempt.sent, attempt.ended)) continue;
      const bool passed_on = !runs_of(attempt).empty();
      if (passed_on && contact_.edge(attempt.edge, attempt.sent, attempt.ended)) in_touch.push_back(&attempt);
      const bool read = passed_on || attempt.ended > attempt.last_byte + bounds_.loss_slack;
      if (!read || !contact_.only_planned(attempt.sent, attempt.ended) || !near_planned_work(attempt))
        continue;
      broken("LOST", attempt.ended, edge_name(attempt.edge),
             attempt.id + " was read and its connection ended after " + in_ms(attempt.ended - attempt.sent));
    }
    if (in_touch.size() > kMostLostInTouch)
      broken("LOST", in_touch.front()->ended, edge_name(in_touch.front()->edge),
             std::to_string(in_touch.size()) + " were passed on and cut off by machines in touch");
  }

  // From a SIGTERM of the machine that took it until a second after the grace, or sent just after its SIGHUP.
  bool near_planned_work(const Attempt& attempt) const {
    return std::any_of(seen_.troubles.begin(), seen_.troubles.end(), [&](const TroubleSpan& trouble) {
      if (!trouble.planned || trouble.place != Place::edge || trouble.number != attempt.edge) return false;
      if (!trouble.restarts)
        return attempt.sent <= trouble.from + bounds_.apply && attempt.ended >= trouble.from;
      const Micros since = attempt.ended - trouble.from;
      if (since < 0 || since > bounds_.grace + kAfterGrace) return false;
      const bool long_at_work = !runs_of(attempt).empty() && since >= bounds_.grace * 5 / 6 &&
                                attempt.sent <= trouble.from + kSentWhileEnding;
      return !long_at_work;
    });
  }

  // BUDGET: workers of one try
  void within_tries() {
    std::vector<const Attempt*> beyond;
    for (const auto& attempt : seen_.attempts) {
      std::set<std::string> instances;
      for (const auto* run : runs_of(attempt)) instances.insert(run->instance);
      const bool too_many = instances.size() > static_cast<std::size_t>(bounds_.max_tries);
      if (too_many && contact_.instances(attempt.sent, attempt.ended)) beyond.push_back(&attempt);
    }
    if (beyond.size() > kMostBeyondTries)
      broken("BUDGET", beyond.front()->sent, edge_name(beyond.front()->edge),
             std::to_string(beyond.size()) + " ran on more instances than max-tries allows, " +
                 beyond.front()->id + " first");
  }

  // BUDGET: arrivals at a service beyond each request's first
  void within_retry_budget() {
    std::map<std::string, std::vector<Micros>> asked, repeats;  // by service
    for (const auto& attempt : seen_.attempts)
      for (const auto& service : history_.services_at(attempt.route, attempt.ended, bounds_.apply))
        asked[service].push_back(attempt.sent);
    std::set<std::pair<std::string, std::string>> met;  // service and request
    std::vector<const Arrival*> arrivals;
    for (const auto& arrival : seen_.arrivals) arrivals.push_back(&arrival);
    std::stable_sort(arrivals.begin(), arrivals.end(), [](auto* a, auto* b) { return a->at < b->at; });
    for (const auto* arrival : arrivals)
      if (!met.emplace(arrival->service, arrival->attempt).second)
        repeats[arrival->service].push_back(arrival->at);
    for (auto& [service, times] : repeats) {
      auto& requests = asked[service];
      std::sort(requests.begin(), requests.end());
      check_budget(service, times, requests);
    }
  }

  void check_budget(const std::string& service, const std::vector<Micros>& repeats,
                    const std::vector<Micros>& requests) {
    const Micros window = bounds_.retry_window;
    const auto between = [](const std::vector<Micros>& times, Micros from, Micros to) {
      return std::upper_bound(times.begin(), times.end(), to) -
             std::upper_bound(times.begin(), times.end(), from);
    };
    for (const Micros at : repeats) {
      const auto most_asked =
          std::max({between(requests, at - window, at), between(requests, at - window * 2, at - window),
                    between(requests, at - window * 3 / 2, at - window / 2)});
      const auto count = between(repeats, at - window, at);
      const double most = bounds_.retry_ratio * static_cast<double>(most_asked) + bounds_.retry_slack;
      if (static_cast<double>(count) <= most) continue;
      return broken("BUDGET", at, service,
                    std::to_string(count) + " arrivals beyond the first of " + std::to_string(most_asked) +
                        " requests in one window");
    }
  }

  // RECOVER
  void recovered() {
    if (seen_.closing_over == kNever) return;
    const Share before = share_served(0, seen_.closing_began);
    const Share after = share_served(seen_.closing_over + bounds_.recovery, kNever);
    if (after.owed == 0 || after.share() >= kServedAgain || before.share() < kServedAgain) return;
    broken("RECOVER", seen_.over, "all",
           std::to_string(after.served) + " of " + std::to_string(after.owed) +
               " requests were served after the loss");
  }

  struct Share {
    std::size_t owed = 0, served = 0;
    double share() const { return owed == 0 ? 1 : static_cast<double>(served) / static_cast<double>(owed); }
  };

  Share share_served(Micros from, Micros to) const {
    Share share;
    for (const auto& attempt : seen_.attempts) {
      if (attempt.sent < from || attempt.sent >= to) continue;
      ++share.owed;
      share.served += attempt.status == 200 ? 1 : 0;
    }
    return share;
  }

  const Observations& seen_;
  const Bounds& bounds_;
  Contact contact_;
  ConfigurationHistory history_;
  std::unordered_map<std::string, const Attempt*> by_id_;
  std::unordered_map<std::string, Runs> runs_;
  std::map<int, std::vector<Effect>> effects_;  // by edge
  std::vector<Finding> findings_;
};

}  // namespace

std::vector<Lateness> lateness(const Observations& seen) {
  const auto calm_for = [&](Micros at, int edge) {  // edge -1: any
    Micros calm = kNever;
    for (const auto& trouble : seen.troubles)
      if (trouble.from <= at && (trouble.place != Place::edge || edge < 0 || trouble.number == edge))
        calm = std::min(calm, std::max<Micros>(0, at - trouble.to));
    return calm;
  };
  const ConfigurationHistory history(seen.versions);
  std::vector<Lateness> all;
  for (const auto& attempt : seen.attempts) {
    if (!ConfigurationHistory::tells_route(attempt)) continue;
    const Micros since = history.forbidden_since(attempt);
    if (since == kNever) continue;
    all.push_back({"CONFIG", edge_name(attempt.edge), attempt.id, attempt.sent, attempt.sent - since,
                   calm_for(attempt.sent, attempt.edge)});
  }
  std::unordered_map<std::string, Micros> shown;
  for (const auto& leaving : seen.leaving) shown.emplace(leaving.instance, leaving.shown);
  for (const auto& arrival : seen.arrivals) {
    const auto at = shown.find(arrival.instance);
    if (at == shown.end() || arrival.at <= at->second || arrival.kind == Arrival::Kind::misdirected) continue;
    all.push_back({"DRAIN", arrival.instance, arrival.attempt, arrival.at, arrival.at - at->second,
                   calm_for(arrival.at, -1)});
  }
  return all;
}

std::vector<Finding> judge(const Observations& seen, const Bounds& bounds) {
  return Judge(seen, bounds).all();
}

}  // namespace woadridge::lab::platform::soak
