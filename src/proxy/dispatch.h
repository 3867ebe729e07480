// What the proxy knows of the platform, and where each call goes: to its function's home, here or at a peer.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "common/settings.h"
#include "proxy/function_scheduler.h"
#include "proxy/home_view.h"
#include "proxy/peer_window.h"
#include "proxy/router.h"

namespace woadridge::proxy {

class Dispatch {
 public:
  using OnReport = std::function<void(const common::Report&)>;
  Dispatch(net::Strand strand, common::Settings settings);

  void take(CallRef call);
  // Its client has left: what waits or may be repeated is taken back, what may run once only and is at work
  // runs to its end.
  void abandon(const CallRef& call);
  void told(const common::News& news);
  void on_report(OnReport tell) { tell_ = std::move(tell); }
  void leave(Micros at);  // told to end: no home from now on, what is open is answered by then
  void stop();
  // Once it holds what a holder has told, and no configuration below one that its agent has heard of; from
  // then on it serves on with what it has.
  bool ready() const { return informed_ && !leaving(); }
  bool leaving() const { return view_.leaving(); }
  void change(common::Settings settings) { settings_ = std::move(settings); }

  const Router& router() const { return router_; }
  const common::Board& board() const { return view_.board(); }
  const common::Settings& settings() const { return settings_; }
  const net::Clock& clock() const { return clock_; }
  net::BufferSpace& space() { return space_; }
  Alarms& alarms() { return alarms_; }
  Outbound& outbound() { return outbound_; }
  Micros now() const { return clock_.now(); }
  std::int64_t boot() const { return boot_; }  // of this life of the process

  // For the schedulers.
  bool is_home(const std::string& service) { return view_.is_home(now(), service); }
  Micros usable_from(const common::Instance& instance) const { return view_.usable_from(instance.id); }
  void has_news(FunctionScheduler& scheduler);
  void reached(const std::string& instance);
  void refused_connection(const std::string& instance);
  void turned_away(const std::string& instance, std::size_t own_out);  // it had no room for what was sent
  void nothing_out(const std::string& instance);                       // the last attempt there has ended

 private:
  const common::Peer* home(const std::string& service);  // null: this proxy
  const common::Peer* pick_home(const std::vector<HomeGroup>& groups, const std::string& service);
  void owners_changed();
  void give_on(const std::string& service);
  void refuse(const CallRef& call, double retry_after_s);
  FunctionScheduler& scheduler(const std::string& service);
  PeerWindow& window(const std::string& peer, const std::string& service);
  void queue(CallRef call, const common::Peer& peer);
  void leave_queue(const std::weak_ptr<Call>& waiting, const std::string& peer);
  struct Pass {  // of one call to one peer
    CallRef call;
    std::string peer;
    common::Endpoint place;
    std::uint64_t count = 0;
    std::uint64_t boot = 0;  // the life of the peer that it was sent to; 0: not known
    std::uint32_t grant = 1;
    Micros sent = 0;
    int rejoined = 0;
    std::uint64_t outbound = 0;
    bool over = false;
  };
  using PassRef = std::shared_ptr<Pass>;
  void pass_on(CallRef call, const common::Peer& peer);
  void send(const PassRef& pass);
  bool break_off(Pass& pass, int status);  // false: it has ended before
  void ended(const PassRef& pass, OutboundResult end);
  void log_once_only(const char* what, const Pass& pass, const OutboundResult& end) const;
  void unreachable(const std::string& peer, OutboundResult::How how);
  void gone(const std::string& peer);    // its process has ended: the next in order is home meanwhile
  void silent(const std::string& peer);  // it may only be busy, and send to its instances
  bool is_silent(const std::string& peer) const;
  void pump(const std::string& peer, const std::string& service);
  void requeue(const std::string& service);
  void show(const std::string& service);
  void release();  // what another home waits for, and where nothing is out any more
  void report_in(Micros span);
  void report();
  void log_homes();
  struct TurnedAway {  // since the last line of the log about it
    std::size_t count = 0;
    Micros logged_at = 0;
  };

  common::Settings settings_;
  net::Clock clock_;
  net::BufferSpace space_;
  Alarms alarms_;
  Outbound outbound_;
  Router router_;
  HomeView view_;
  bool informed_ = false;
  std::map<std::string, std::unique_ptr<FunctionScheduler>> schedulers_;
  std::map<std::pair<std::string, std::string>, PeerWindow> windows_;  // by service and peer
  std::minstd_rand random_;
  std::map<std::string, int> refusals_;  // connections that an instance has refused
  std::set<std::string> touched_;        // schedulers with something to report
  common::Report next_;
  OnReport tell_;
  Micros report_at_ = 0;  // 0: none is due
  std::int64_t boot_;
  std::uint64_t passes_ = 0;
  std::map<std::string, std::uint64_t> boots_;  // by peer, as their answers say
  std::map<std::string, Micros> silent_until_;  // peers
  TurnedAway turned_away_;
  Micros homes_logged_at_ = 0;
  bool homes_log_due_ = false;
};

}  // namespace woadridge::proxy
