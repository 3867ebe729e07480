// What the dispatcher has done since its start: one place for every count, and their text for the operators.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace woadridge::net {

struct ClassCounts {  // of jobs that have their final answer
  std::uint64_t success = 0, overload = 0, error = 0;
};

struct Gauges {                        // how things stand at this moment
  std::uint64_t concurrent = 0;        // jobs taken and not ended
  std::uint64_t targets = 0;           // workers in the list
  std::uint64_t targets_disabled = 0;  // of these, those that get nothing now
};

class Metrics {
 public:
  std::uint64_t taken = 0, left = 0, dispatches = 0;
  std::uint64_t turned_away = 0;  // what is no request for a job
  std::uint64_t put_out = 0;      // client connections closed for others' sake, or for saying too little
  std::uint64_t reload_success = 0, reload_failure = 0;

  // The class's counts, from 0 at its first mention; they stay where they are, also when the class goes.
  ClassCounts& of_class(std::string_view name);
  ClassCounts total() const;
  std::string text(const Gauges& gauges) const;  // a line a figure: name:value|type, c counts, g is a gauge

 private:
  std::map<std::string, ClassCounts, std::less<>> classes_;
};

}  // namespace woadridge::net
