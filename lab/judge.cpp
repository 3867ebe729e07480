#include "lab/judge.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <unordered_map>

namespace woadridge::lab {
namespace {

constexpr std::uint64_t kMostTold = 100;  // breaches of one rule that are written out

class Court {
 public:
  Court(const Rules& rules, const Records& records) : rules_(rules), records_(records) {}

  Verdict hear() {
    answers();
    effects();
    keys();
    drains();
    cold();
    return std::move(verdict_);
  }

 private:
  std::string at(Micros time) const {
    char text[32];
    std::snprintf(text, sizeof text, "%.6f s", static_cast<double>(time - records_.begin) / 1e6);
    return text;
  }

  static std::string name(RequestId request) { return "request " + request_name(request); }

  const std::string& worker(WorkerIndex index) const { return records_.workers[index].name; }

  void breach(int rule, std::string what) {
    if (verdict_.counts[rule]++ < kMostTold) verdict_.breaches.push_back({rule, std::move(what)});
  }

  // Rule 1: one final answer before the client gives up, nothing after it.
  void answers() {
    for (const Ask& a : records_.asks) {
      if (!a.taken || a.killed) continue;
      const Micros limit = a.deadline + rules_.slack;
      if (a.answers == 0) lose(a);
      if (a.answers > 1) {
        ++verdict_.doubled_answers;
        breach(1, name(a.request) + ": " + std::to_string(a.answers) + " final answers, the first at " +
                      at(a.answered));
      }
      if (a.answers > 0 && a.answered > limit) {
        ++verdict_.late_answers;
        breach(1, name(a.request) + ": answered at " + at(a.answered) + ", its client gave up at " +
                      at(a.deadline));
      }
      if (a.answers > 0 && !a.genuine)
        breach(1, name(a.request) + ": served at " + at(a.answered) + " with what no worker made for it");
    }
  }

  void lose(const Ask& a) {
    if (a.left) return;  // before its time: it is owed nothing
    if (a.deadline >= records_.end) return;
    ++verdict_.lost;
    breach(1, name(a.request) + ": asked at " + at(a.asked) + ", no final answer by " + at(a.deadline));
  }

  // Rule 2: where an earlier attempt may have run, a further one or a refusal only as the class allows.
  void effects() {
    std::unordered_map<RequestId, std::vector<const Sent*>> tries;
    for (const Sent& s : records_.sends) tries[s.request].push_back(&s);
    for (const Ask& a : records_.asks) {  // in the order of the asks: the verdict is the same each time
      const auto found = tries.find(a.request);
      if (found == tries.end()) continue;
      auto& sends = found->second;
      std::sort(sends.begin(), sends.end(), [](auto* x, auto* y) { return x->attempt < y->attempt; });
      further_attempts(sends);
      refusal(a, sends);
    }
  }

  static bool may_have_run(const Sent& s, Micros when) {  // as far as could be known then
    const bool proven = s.given_back != kNever && s.given_back <= when;
    return s.received != kNever && !proven;
  }

  void further_attempts(const std::vector<const Sent*>& sends) {
    const ClassSettings& rules = rules_.classes[static_cast<std::size_t>(sends.front()->class_index)];
    if (rules.effect == Effect::safe) return;
    for (std::size_t i = 1; i < sends.size(); ++i) {
      const Sent& next = *sends[i];
      const auto first = std::find_if(sends.begin(), sends.begin() + static_cast<std::ptrdiff_t>(i),
                                      [&](auto* s) { return may_have_run(*s, next.first_byte); });
      if (first == sends.begin() + static_cast<std::ptrdiff_t>(i) || next.received == kNever) continue;
      further_attempt(rules, **first, next);
    }
  }

  void further_attempt(const ClassSettings& rules, const Sent& first, const Sent& next) {
    const std::string where = name(next.request) + ": attempt " + std::to_string(next.attempt) + " sent to " +
                              worker(next.worker) + " at " + at(next.first_byte) + " though attempt " +
                              std::to_string(first.attempt) + " at " + worker(first.worker) + " (" +
                              at(first.first_byte) + ") may have run";
    if (rules.effect == Effect::unsafe) return breach(2, where + "; the class is unsafe");
    const WorkerFacts& from = records_.workers[first.worker];
    const WorkerFacts& to = records_.workers[next.worker];
    if (rules.scope == Scope::group && (from.group != to.group || from.zone != to.zone))
      return breach(2, where + "; another group doesn't drop it");
    if (rules.scope == Scope::zone && from.zone != to.zone)
      return breach(2, where + "; another zone doesn't drop it");
    if (next.first_byte - first.first_byte > rules.memory + rules_.slack)
      breach(2, where + "; its key is forgotten by then");
  }

  void refusal(const Ask& a, const std::vector<const Sent*>& sends) {
    const ClassSettings& rules = rules_.classes[static_cast<std::size_t>(a.class_index)];
    if (a.kind != 'r' || rules.effect == Effect::safe) return;
    if (rules.effect == Effect::keyed && rules.scope == Scope::all) return;
    for (const Sent* s : sends)
      if (may_have_run(*s, a.answered))
        return breach(2, name(a.request) + ": refused at " + at(a.answered) + " though attempt " +
                             std::to_string(s->attempt) + " at " + worker(s->worker) + " (" +
                             at(s->first_byte) + ") may have run");
  }

  void keys() {
    std::unordered_map<std::uint64_t, int> runs;
    for (const Run& r : records_.runs)
      if (r.key != 0 && r.ended != kNever && ++runs[r.key] == 2) ++verdict_.keys_run_twice;
  }

  // Rule 3: no first byte to a worker later than the grace after the list told of its drain or its end.
  void drains() {
    std::map<std::pair<DispatcherId, WorkerIndex>, std::vector<const Told*>> news;
    for (const Told& t : records_.told) news[{t.dispatcher, t.worker}].push_back(&t);
    for (const Sent& s : records_.sends) {
      const auto found = news.find({s.dispatcher, s.worker});
      if (found == news.end()) continue;
      const Told* closed = nullptr;  // the earliest word, not taken back, that it wants nothing new
      for (const Told* t : found->second) {
        if (t->at > s.first_byte) break;
        if (t->phase == Phase::serving) closed = nullptr;
        else if (closed == nullptr) closed = t;
      }
      if (closed == nullptr || s.first_byte <= closed->at + rules_.drain_grace + rules_.slack) continue;
      breach(3, name(s.request) + ": sent to " + worker(s.worker) + " at " + at(s.first_byte) + ", told at " +
                    at(closed->at) + " that it " + (closed->phase == Phase::draining ? "drains" : "is gone"));
    }
  }

  // Rule 4: what a cold worker was sent within the span, against what it can do at that moment.
  void cold() {
    if (rules_.overload_factor <= 0 || rules_.warm_after <= 0) return;
    std::vector<std::vector<const Sent*>> by_worker(records_.workers.size());
    for (const Sent& s : records_.sends)
      if (s.received != kNever) by_worker[s.worker].push_back(&s);
    for (auto& sends : by_worker)
      std::stable_sort(sends.begin(), sends.end(),
                       [](auto* x, auto* y) { return x->received < y->received; });
    for (const ColdStart& c : records_.starts) cold_start(c, by_worker[c.worker]);
  }

  void cold_start(const ColdStart& start, const std::vector<const Sent*>& sends) {
    std::deque<const Sent*> recent;
    double work = 0;
    for (const Sent* s : sends) {
      if (s->received < start.at) continue;
      if (s->received >= start.at + rules_.warm_after) break;
      recent.push_back(s);
      work += s->work;
      while (recent.front()->received <= s->received - rules_.overload_span) {
        work -= recent.front()->work;
        recent.pop_front();
      }
      const double limit =
          rules_.overload_factor * can_do(start, s->received) * static_cast<double>(rules_.overload_span);
      if (work <= limit) continue;
      char text[96];
      std::snprintf(text, sizeof text, ": sent %.3f s of work within %.3f s, %.3f s at most", work / 1e6,
                    static_cast<double>(rules_.overload_span) / 1e6, limit / 1e6);
      return breach(4, worker(start.worker) + ", started at " + at(start.at) + text + ", the last " +
                           name(s->request) + " at " + at(s->received));
    }
  }

  double can_do(const ColdStart& start, Micros when) const {  // in standard cores
    const double warm = static_cast<double>(when - start.at) / static_cast<double>(rules_.warm_after);
    return records_.workers[start.worker].capacity *
           (rules_.cold_from + (1 - rules_.cold_from) * std::clamp(warm, 0.0, 1.0));
  }

  const Rules& rules_;
  const Records& records_;
  Verdict verdict_;
};

}  // namespace

Verdict judge(const Rules& rules, const Records& records) {
  return Court(rules, records).hear();
}

}  // namespace woadridge::lab
