// The model of the clients beside one dispatcher: open loop, so that a slow answer never slows the asking. No
// sockets and no clock, as with the fleet.
#pragma once

#include <deque>
#include <optional>
#include <queue>

#include "lab/records.h"
#include "lab/scenario.h"

namespace woadridge::lab {

struct Wish {  // a request that a client sends now
  RequestId request = 0;
  std::uint64_t key = 0;  // 0: none; the same for all tries
  int class_index = 0;
  int tenant_index = 0;
  double work = 0;
  std::optional<Micros> hint;
  Micros time_left = 0;
  bool repeated = false;  // marked as a retry
};

class ClientsOut {
 public:
  virtual ~ClientsOut() = default;
  virtual void ask(const Wish& wish) = 0;
  virtual void leave(RequestId request) = 0;  // its time is up: the connection is closed
};

double rate_of(const Scenario& scenario);  // usual requests a second over all dispatchers, without retries

class Clients {
 public:
  Clients(const Scenario& scenario, DispatcherId dispatcher, Micros begin, ClientsOut& out);

  Micros next() const;
  void advance(Micros now);
  void taken(RequestId request);                    // the dispatcher accepted its last byte
  void unreachable(Micros now, RequestId request);  // nobody took it
  void answered(Micros now, RequestId request, char kind, Micros hold_off, bool genuine);
  void broken(Micros now, RequestId request, bool killed);  // the connection ended with no whole answer
  bool idle() const;                                        // nothing more will come by itself

  static RequestId request_id(DispatcherId dispatcher, std::size_t index) {
    return (static_cast<RequestId>(dispatcher) + 1) << 40 | index;
  }
  static DispatcherId dispatcher_of(RequestId request) {
    return static_cast<DispatcherId>((request >> 40) - 1);
  }
  const Wish* wish_of(RequestId request) const;  // null: no client sent it
  std::vector<Ask>& asks() { return asks_; }

 private:
  struct Source {  // arrivals of one kind: the usual traffic, or what one flood adds
    Stream random;
    double peak = 0;  // a second; thinned to the rate of the moment
    int tenant = -1;  // -1: drawn by share
    Micros from = 0, until = 0;
    Micros next = INT64_MAX;
  };
  struct Timer {
    Micros at = 0;
    std::uint64_t order = 0;
    RequestId ends = 0;     // a deadline, or
    std::size_t again = 0;  // a retry of this ask, one more
    bool operator>(const Timer& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  double factor_at(Micros now) const;
  double peak_factor() const;  // of the whole run
  void plan(Source& source, Micros after);
  void arrive(Micros now, Source& source);
  void arrive(Micros now, const TraceRow& row);
  void first_try(Micros due, Wish wish);
  void send(Micros now, Ask ask, Wish wish);
  void ended(Micros now, std::size_t index, bool harmless);
  void next_waiting(Micros now);
  std::size_t index_of(RequestId request) const { return request & ((std::uint64_t{1} << 40) - 1); }
  bool known(RequestId request) const;
  bool may_retry(Micros now, const Ask& ask, bool harmless) const;
  std::optional<Micros> draw_hint(Stream& random, double work, int class_index);

  const Scenario& scenario_;
  DispatcherId dispatcher_;
  Micros begin_;
  ClientsOut& out_;
  double peak_factor_;
  std::vector<Source> sources_;
  std::size_t trace_next_;
  Stream retry_random_;
  Stream keys_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t orders_ = 0;
  std::vector<Ask> asks_;
  std::vector<Wish> wishes_;
  std::vector<bool> open_;
  std::vector<Micros> first_asked_;  // of the chain, by ask
  std::size_t open_count_ = 0;
  std::deque<std::pair<Ask, Wish>> waiting_;      // for a connection
  std::vector<double> class_ends_, tenant_ends_;  // cumulative shares
};

}  // namespace woadridge::lab
