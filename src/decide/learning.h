// What is learnt of workers and waits: pace, use by others, the usual wait, how long a run takes.
#pragma once

#include "records.h"

namespace woadridge {

constexpr double kJobMemory = 10, kKindMemory = 100;  // mean jobs over which a worker's pace fades; a kind's
constexpr double kUnknownSpeed = 0.5;  // of a kind never seen to finish a job: half a core, on the safe side
constexpr double kZoneGap = 0.1;     // the own zone comes first until its late share is so far above others'
constexpr double kOthersJobs = 1.5;  // mean jobs over which what is known of others' use fades
constexpr double kWaitMargin = 1.5;  // times the usual wait at workers that a last start leaves room for

struct Learning : Memory {
  bool cold(const Worker& w) const { return w.info.started > 0 && now - w.info.started < set.warm_after; }

  double speed(const Worker& w) const {  // own jobs there, leaning on its kind until there are some
    const double lean = std::max(1.0, mean_run);
    return (w.pace.work + lean * w.of->pace.speed(kUnknownSpeed)) / (w.pace.time + lean);
  }

  // Of what was done since the last news: sums, as hints are noisy. Repeats may go on from saved work.
  void learn_pace(Worker& w, const Request& r, Attempt& a, double done) {
    if (r.hinted && a.seen_start && r.attempts.size() == 1 && done > a.done) {
      const double work = r.work * (done - a.done);
      const auto time = static_cast<double>(now - a.heard);
      w.pace.add(work, time, kJobMemory * mean_run);
      w.of->pace.add(work, time, kKindMemory * mean_run);
    }
    a.hear(now, done);
  }

  // Slots in use by others: as seen last, fading as their jobs end to what is usual in the zone.
  double others(const Worker& w) const {
    return w.info.slots > 0 ? 0 : usual_others(w) + w.others.left(now, kOthersJobs * mean_run);
  }

  double usual_others(const Worker& w) const {  // cold ones are no busier than they are let
    return cold(w) ? 0 : w.of->slots * w.zone_late->left(now, kOthersJobs * mean_run);
  }

  void see_others(Worker& w, double slots) { w.others.see(now, slots - usual_others(w)); }

  void see_start(const Worker& w, bool is_late) { w.zone_late->blend(now, is_late ? 1 : 0, kJobMemory); }

  // Guards against a zone with more traffic than its workers can carry: first only while starts are prompt.
  bool own_zone_first() const {
    const auto own = late.find(set.zone);
    const auto prompter = [&](auto& l) { return own->second.value > l.second.value + kZoneGap; };
    return own == late.end() || std::none_of(late.begin(), late.end(), prompter);
  }

  double usual_wait() const { return wait.left(now, kJobMemory * mean_run); }

  void see_wait(const Attempt& a) { wait.blend(now, static_cast<double>(now - a.sent), kJobMemory); }

  Micros run_time(const Request& r) const {  // on a worker of the best kind and after the usual wait there
    const double best = best_pace(0);
    return best > 0 ? static_cast<Micros>(r.work / best + kWaitMargin * usual_wait()) : 0;
  }
};

}  // namespace woadridge
