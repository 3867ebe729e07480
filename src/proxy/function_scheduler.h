// One function at this proxy: hands its events to the decision module, carries out what that says, keeps the
// books of its requests and attempts. Decides nothing.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/messages.h"
#include "proxy/alarms.h"
#include "proxy/call.h"
#include "proxy/outbound.h"

namespace woadridge::proxy {

class Dispatch;

class FunctionScheduler {
 public:
  FunctionScheduler(Dispatch& dispatch, std::string service, std::uint64_t seed);

  void take(CallRef call);
  // The function's instances as the board has them, after any of them changed.
  void instances(std::vector<common::Instance> all);
  // Another proxy is the home now: what has not been sent goes there.
  std::vector<CallRef> give_away();
  // Its client has left: what waits or may be repeated ends now, what may run once only when it is through.
  void withdraw(RequestId id);
  void leave(Micros at);                     // the process ends then
  bool fill_report(common::Demand& demand);  // false: nothing to say
  bool cold() const { return usable_ == 0 && held_ > 0; }
  std::size_t open() const { return open_.size(); }
  std::size_t busy() const { return busy_; }
  std::size_t out_at(const WorkerId& instance) const;  // attempts that are not over
  const std::string& service() const { return service_; }

 private:
  struct Try {
    WorkerId instance;
    std::uint64_t outbound = 0;  // its number; 0: over
    Micros sent = 0;
  };
  struct Open {
    CallRef call;  // none once it has its answer
    std::string estimate_key;
    std::vector<Try> tries;
    std::size_t out = 0;
  };
  struct Known {
    common::Instance told;
    common::Endpoint place;
    bool reached = false;  // it has taken a connection, whatever the board says
    bool polling = false;
    Micros up_at = 0;  // when a starting one is expected
    Micros usable_from = 0;
    int tried = 0;
    bool up() const { return told.condition == common::Condition::ready || reached; }
  };

  void give(Event event);
  void carry_out(const Send& action);
  void carry_out(const Refuse& action);
  void carry_out(const Fail& action);
  void carry_out(const Cancel& action);
  void carry_out(const SetTimer& action);
  void carry_out(const auto&) {}  // nothing else is allowed by the settings
  void ended(RequestId id, int attempt, OutboundResult end);
  void time_out(RequestId id, int attempt);
  void over(RequestId id, int attempt, Result result, bool finished);
  void call_off(RequestId id);
  void answered(Open& open, Reply reply);
  void log_unfinished(const Open& open, int status) const;
  void log_not_answered(const Open& open, const Try& attempt, const OutboundResult& end) const;
  void forget_if_over(RequestId id);
  void tell_list();
  void poll(const WorkerId& id);
  void reached(const WorkerId& id, bool up);
  std::string class_for(const Call& call);
  std::string estimate_key(const Call& call) const;
  bool may_try_again();

  Dispatch& dispatch_;
  std::string service_;
  Dispatcher module_;
  Settings settings_;
  std::deque<Event> events_;
  bool giving_ = false;
  std::map<RequestId, Open> open_;
  RequestId last_ = 0;
  std::map<WorkerId, Known> known_;
  std::map<WorkerId, std::size_t> out_at_;
  std::map<std::string, double> estimates_;       // microseconds that answers took, by route and size of body
  std::size_t usable_ = 0, busy_ = 0, held_ = 0;  // held: of those with no attempt out
  common::Demand demand_;                         // since the last report
  std::deque<Micros> firsts_, repeats_;           // attempts inside the window of the shared budget
};

}  // namespace woadridge::proxy
