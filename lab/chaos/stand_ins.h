// Stand-ins for what dispatchers have round them in a chaos run: discovery, whose list changes all the time,
// and workers that answer probes and, as receivers, refuse those of an older holder.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/chaos/report.h"
#include "net/asio.h"

namespace woadridge::lab {

class StandIns {
 public:
  // Discovery takes `work` for each call, one after the other, as an overbooked one does; 0: none.
  StandIns(net::Strand strand, int workers, int zones, Micros call_takes = 0);
  ~StandIns();

  void run();
  void stop();
  net::Address discovery() const;
  void change();  // one worker drains or is back: a new version of the list
  const std::vector<ChaosAct>& acts() const { return acts_; }  // of the workers, in their order
  int calls() const { return calls_; }
  const std::vector<std::pair<Micros, int>>& calls_by_time() const { return call_times_; }
  std::int64_t version() const { return version_; }

 private:
  class Call;
  friend class Call;

  std::string entry(int worker) const;
  std::string list(bool whole, int only) const;
  std::string answer_probe(int worker, const std::string& head);

  net::Strand strand_;
  int workers_, zones_;
  Micros call_takes_;
  net::Clock clock_;
  Micros busy_until_ = 0;
  std::vector<std::unique_ptr<class StandInDoor>> doors_;  // the first is discovery's
  std::set<std::shared_ptr<Call>> open_;
  std::set<int> draining_;
  std::int64_t version_ = 1;
  std::vector<std::map<std::string, std::uint64_t>> fences_;
  std::vector<ChaosAct> acts_;
  std::vector<std::pair<Micros, int>> call_times_;
  int calls_ = 0;
  net::Timer beat_;
  bool stopped_ = false;
};

}  // namespace woadridge::lab
