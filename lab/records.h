// What the workers, the list and the clients wrote down themselves. The judge and the reports read nothing
// else: no word of a dispatcher is taken for it.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "decide.h"

namespace woadridge::lab {

using DispatcherId = std::uint32_t;
using WorkerIndex = std::uint32_t;
constexpr Micros kNever = -1;

inline std::string request_name(RequestId request) {  // 16 hexadecimal digits
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(request));
  return text;
}

struct Ask {  // one request of a client: a first try or a retry
  RequestId request = 0;
  std::uint64_t chain = 0;  // the same for a first try and its retries
  DispatcherId dispatcher = 0;
  int class_index = 0;
  int tenant_index = 0;
  int number = 0;  // 0: the first try
  double work = 0;
  Micros due = 0;    // when the chain's first try was to be sent
  Micros asked = 0;  // when this one was
  Micros deadline = 0;
  bool taken = false;        // a running dispatcher accepted it
  bool killed = false;       // and was killed before it answered
  bool left = false;         // the client left before its deadline
  int answers = 0;           // final answers that came, also after it had left
  Micros answered = kNever;  // the first one
  char kind = 0;             // of the first: 's'erved, 'r'efused, 'f'ailed
  bool genuine = true;       // what was served is what a worker made of this request
  Micros hold_off = 0;
  bool last = true;  // no retry follows
};

struct Sent {  // one attempt, as the worker's side saw it
  RequestId request = 0;
  int attempt = 0;
  DispatcherId dispatcher = 0;
  WorkerIndex worker = 0;
  int class_index = 0;
  Micros first_byte = 0;
  Micros received = kNever;    // its last byte
  Micros given_back = kNever;  // the proof that it never ran was on its way
  double work = 0;
};

struct Run {  // a job that was begun
  RequestId request = 0;
  std::uint64_t key = 0;  // 0: none
  WorkerIndex worker = 0;
  int class_index = 0;
  Micros began = 0;
  Micros ended = kNever;  // kNever: cut short
};

struct Told {  // the list wrote a worker's state to a dispatcher
  DispatcherId dispatcher = 0;
  WorkerIndex worker = 0;
  Phase phase = Phase::serving;
  Micros at = 0;
};

struct WorkerFacts {
  std::string name;
  std::string zone;
  std::int64_t group = 0;
  std::string kind;
  double capacity = 0;  // standard cores when warm
};

struct ColdStart {
  WorkerIndex worker = 0;
  Micros at = 0;
};

struct Records {
  std::vector<Ask> asks;
  std::vector<Sent> sends;
  std::vector<Run> runs;
  std::vector<Told> told;
  std::vector<ColdStart> starts;
  std::vector<WorkerFacts> workers;
  Micros begin = 0;        // the clock at the run's start
  Micros end = INT64_MAX;  // what was due after it is not judged: the run was cut short there
};

}  // namespace woadridge::lab
