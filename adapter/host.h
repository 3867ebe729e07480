// Hosts the instances of one process: hands each event to its instance, and writes one reply a batch.
#pragma once

#include <iosfwd>
#include <map>
#include <string>

#include "codec.h"

namespace woadridge::wire {

class Host {
 public:
  // Runs until the input ends. Returns the exit code; faults go to `errors` as one plain message.
  int run(std::istream& in, std::ostream& out, std::ostream& errors);

 private:
  struct Instance {
    Dispatcher dispatcher;
    ReportFields fields;
  };

  void take(const std::string& text, std::ostream& out);
  void begin_batch(const Line& line);
  void end_batch(std::ostream& out);
  void open_list(const Line& line);
  void add_worker(const Line& line);
  void provision(const Line& line);
  void give(const Line& line, const Event& event);
  Instance& instance(const Line& line);
  const std::vector<WorkerInfo>& list(const Line& line) const;

  std::map<std::int64_t, Instance> instances_;
  std::map<std::int64_t, std::vector<WorkerInfo>> lists_;
  std::int64_t open_list_ = 0;
  std::int64_t workers_due_ = 0;
  bool in_batch_ = false;
  Micros now_ = 0;
  std::string sequence_;
  std::string reply_;
  std::vector<Action> actions_;
};

}  // namespace woadridge::wire
