// Hands events to one Dispatcher and keeps what it did. No model of workers: each test says what happens.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "decide.h"

namespace woadridge::test {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1'000'000;

inline Settings plain_settings() {
  Settings s;
  s.seed = 7;
  s.zone = "a";
  s.tick = 2 * kMs;
  s.max_attempts = 5;
  s.tells_start = true;
  s.progress_every = kSecond;
  s.connect_timeout = 250 * kMs;
  s.drain_grace = kSecond;
  s.cold_from = 0.5;
  s.warm_after = 10 * kSecond;
  s.overload_factor = 3;
  s.overload_span = kSecond;
  const auto add = [&s](const char* name, Effect effect, Scope scope) {
    ClassSettings c;
    c.name = name, c.effect = effect, c.scope = scope;
    c.memory = 3 * kSecond, c.aim = 200 * kMs, c.stretch = 2, c.deadline = 5 * kSecond, c.late_worth = 0.5;
    s.classes.push_back(c);
  };
  add("safe", Effect::safe, Scope::all);
  add("keyed-all", Effect::keyed, Scope::all);
  add("keyed-zone", Effect::keyed, Scope::zone);
  add("keyed-group", Effect::keyed, Scope::group);
  add("unsafe", Effect::unsafe, Scope::all);
  return s;
}

inline WorkerInfo worker(const std::string& id, const std::string& zone = "a", std::int64_t group = 0) {
  WorkerInfo w;
  w.id = id, w.kind = "box", w.zone = zone, w.group = group;
  return w;
}

class Rig {
 public:
  explicit Rig(const Settings& settings, Micros at = 1000 * kSecond) : now(at) { give(Start{settings}); }

  void give(const Event& event) { dispatcher.handle(now, event, log), take_timers(); }

  void workers(const std::vector<WorkerInfo>& list, ListKind kind = ListKind::full) {
    give(WorkerList{kind, list});
  }

  RequestId ask(const std::string& class_name = "safe", Micros hint = 100 * kMs, Micros ttl = 5 * kSecond) {
    Arrival a;
    a.id = ++last_id, a.class_name = class_name, a.time_left = ttl, a.hint = hint;
    give(a);
    return a.id;
  }

  void end(RequestId id, Result result, int attempt = 0, bool finished = false, Report report = {}) {
    Outcome o;
    o.id = id, o.attempt = attempt, o.result = result, o.finished = finished || result == Result::ok;
    o.worker = sends(id).at(static_cast<std::size_t>(attempt)).worker;
    o.report = report;
    give(o);
  }

  // A job that starts at once and ends after `run`.
  void serve(RequestId id, Micros run = 100 * kMs) {
    now += kMs;
    give(Started{id, 0});
    now += run;
    end(id, Result::ok);
  }

  // Lets the time pass, with every timer that comes due on the way.
  void pass(Micros span) {
    const Micros until = now + span;
    while (true) {
      auto due = std::min_element(timers.begin(), timers.end(), [](auto& a, auto& b) { return a.at < b.at; });
      if (due == timers.end() || due->at > until) break;
      const SetTimer timer = *due;
      timers.erase(due);
      now = std::max(now + 1, timer.at);
      give(TimerFired{timer.token});
    }
    now = std::max(now, until);
  }

  std::vector<Send> sends(RequestId id) const {
    std::vector<Send> found;
    for (const auto& a : log)
      if (const auto* s = std::get_if<Send>(&a); s != nullptr && s->id == id) found.push_back(*s);
    return found;
  }
  std::vector<WorkerId> sent_to(RequestId id) const {
    std::vector<WorkerId> ids;
    for (const auto& s : sends(id)) ids.push_back(s.worker);
    return ids;
  }
  template <typename Kind>
  int count(RequestId id) const {
    return static_cast<int>(std::count_if(log.begin(), log.end(), [id](auto& a) {
      const auto* k = std::get_if<Kind>(&a);
      return k != nullptr && k->id == id;
    }));
  }
  template <typename Kind>
  int count() const {
    return static_cast<int>(
        std::count_if(log.begin(), log.end(), [](auto& a) { return std::holds_alternative<Kind>(a); }));
  }

  Dispatcher dispatcher;
  Micros now;
  RequestId last_id = 0;
  std::vector<Action> log;
  std::vector<SetTimer> timers;

 private:
  void take_timers() {
    for (; seen < log.size(); ++seen)
      if (const auto* t = std::get_if<SetTimer>(&log[seen])) timers.push_back(*t);
  }
  std::size_t seen = 0;
};

}  // namespace woadridge::test
