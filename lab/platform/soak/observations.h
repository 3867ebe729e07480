// What clients, instances, provider and operator saw in a soak, on one clock: microseconds of net::Clock. The
// judge goes by this alone.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/platform/instances.h"

namespace woadridge::lab::platform::soak {

/// One request of a client: one try, with an id of its own.
struct Attempt {
  std::string id;
  int edge = 0;
  std::string route;  ///< its prefix, which is its key: all routes of a soak have one host
  std::string path;
  bool repeatable = false;
  Micros sent = 0, ended = 0;
  Micros last_byte = 0;     ///< when all of it was sent; 0: never
  int status = 0;           ///< 0: no whole answer came
  std::string ran_service;  ///< of an answer of an instance
  bool sealed = false;      ///< the answer bears a seal that fits instance, attempt and body
  bool given_up = false;    ///< the client's own time was over
};

/// A version of the configuration that the operator sent: for each route the service that it leads to.
struct SentVersion {
  std::uint64_t version = 0;
  Micros sent = 0, acknowledged = kNever;
  bool valid = true;
  int status = 0;  ///< of the clear answer; 0: none came
  std::map<std::string, std::string> service_of_route;
};

enum class Place { edge, core, instances, provider };

/// What was in trouble, from the first sign of it to the last.
struct TroubleSpan {
  Place place = Place::edge;
  int number = 0;  ///< of the machine
  Micros from = 0, to = 0;
  std::string what;
  bool restarts = false;  ///< processes of the machine end and start again
  bool planned = false;   ///< operators' work: told to end once, SIGHUP
};

struct Leaving {  ///< an instance that the provider wants gone
  std::string instance;
  Micros shown = 0;  ///< when the provider's list showed it
};

struct Observations {
  std::vector<Attempt> attempts;
  std::vector<Arrival> arrivals;  ///< at instances
  std::vector<SentVersion> versions;
  std::vector<TroubleSpan> troubles;
  std::vector<Leaving> leaving;
  std::uint64_t version_read_back = 0;  ///< at the end; 0: none came
  Micros closing_began = kNever;        ///< the fault after which all is started again
  Micros closing_over = kNever;         ///< when all processes were started again after the closing fault
  Micros over = 0;                      ///< no request was sent later
};

}  // namespace woadridge::lab::platform::soak
