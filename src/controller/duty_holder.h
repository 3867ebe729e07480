// The holder's work: knows the proxies by their agents' questions, the instances by the provider's list and
// by its own calls, has `autoscaler` decide what starts and stops, and tells every agent. Runs on each core
// machine; one that doesn't hold the duty sends agents elsewhere.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "autoscaler/autoscaler.h"
#include "autoscaler/placement.h"
#include "common/frames.h"
#include "common/messages.h"
#include "common/settings.h"
#include "controller/board.h"
#include "controller/news_composer.h"
#include "controller/news_encoder.h"
#include "controller/news_pace.h"
#include "controller/provider.h"
#include "controller/version_trail.h"
#include "net/asio.h"

namespace woadridge::controller {

struct DutyHolderOptions {  // times in milliseconds
  autoscaler::Policy policy;
  std::uint32_t gather_ms = 600;  // of a term, before its board is told: the list gains what was started last
  std::uint32_t answer_ms = 1000;   // a question without news is answered after so long
  std::uint32_t pause_ms = 20;      // at least, between two pieces of news to one agent: NewsPace
  std::uint32_t pulse_ms = 100;     // how often waits and levels are looked at
  std::uint32_t list_ms = 300;      // between two readings of the instances: drain-ms starts when it shows
  std::uint32_t machines_ms = 500;  // between two readings of the machines: a crashed one shows there first
  double share_of_rate = 0.35;      // of the provider's calls a second that the lists may take
  std::size_t most_unsent = 256 << 10;  // bytes: an agent that doesn't read gets nothing new
  // Bytes under way to all agents, beyond which no whole configuration or board is begun: who waits for one
  // is told nothing new meanwhile, instead of leaving a link that is full and asking for it once more.
  std::size_t most_under_way = 8 << 20;
  std::uint32_t unread_ms = 4000;  // and is hung up on after so long
};

struct DutySource {  // what the holder's word rests on, asked for at each answer and each call
  std::function<Holding()> holding;
  std::function<void()> confirm;  // which configuration is in force is to be read at a majority
};

class DutyHolder {
 public:
  DutyHolder(net::Strand strand, const common::Settings& settings, DutySource source,
             DutyHolderOptions options = {});
  ~DutyHolder();
  DutyHolder(const DutyHolder&) = delete;
  DutyHolder& operator=(const DutyHolder&) = delete;

  common::Result<void> open();  // the agents' gate
  void plan(std::shared_ptr<const common::Plan> plan);
  void begin(std::uint64_t term);               // the duty is held from now on ...
  void end();                                   // ... to here
  void elsewhere(common::Elsewhere elsewhere);  // told to agents while the duty isn't held here
  void stop();                                  // for good

  bool holds() const { return term_ > 0 && may_call_provider(holding()); }  // at this moment

 private:
  struct Agent {
    std::shared_ptr<common::FrameConnection> wire;
    common::Ask ask;
    bool asks = false;  // its question is open
    Micros asked_at = 0, told_at = 0, unread_since = 0;
    std::uint64_t core_told = 0;  // which list of the core's members
    Micros behind_logged_at = 0;
  };

  void take(std::shared_ptr<common::FrameConnection> wire);
  void heard(const std::shared_ptr<Agent>& agent, std::string_view bytes);
  void on_ask(const std::shared_ptr<Agent>& agent, common::Ask ask);
  void on_report(const std::shared_ptr<Agent>& agent, const common::Report& report);
  void dropped(const std::shared_ptr<Agent>& agent);
  void send_elsewhere(Agent& agent);
  Holding holding() const;  // in this term; of another, none

  void step();                // decides, calls the provider, brings the board up to date, tells
  void step_in(Micros span);  // the same for all that comes within that time
  void put_on_board(const autoscaler::Changes& changes, Micros now);
  void look_at_peers(Micros now);
  void tell(Micros now);
  void answer(Agent& agent, Micros now);
  bool must_wait(const Agent& agent) const;  // for whole news of others to be on their way
  void pulse();
  void log_agents_behind(Micros now);
  void log_proxies_gone(const std::vector<common::Peer>& peers) const;
  void read_lists(Micros now);
  void send(const autoscaler::Order& order);
  void answered(std::uint64_t term, std::uint64_t ticket, const ProviderResult<Begun>& result);
  bool board_is_ready(Micros now);

  net::Strand strand_;
  common::Settings settings_;
  DutyHolderOptions options_;
  common::FrameListener gate_;
  net::Timer pulse_timer_, step_timer_;
  Provider provider_;
  std::set<std::shared_ptr<Agent>> agents_;
  ProxyRoster proxy_roster_;
  Board board_;
  PlanHistory plans_;
  NewsEncoder news_{board_, plans_};
  NewsPace pace_;
  VersionTrail trail_;
  std::unique_ptr<autoscaler::Autoscaler> autoscaler_;
  autoscaler::Placement placement_;
  DutySource source_;
  common::Elsewhere elsewhere_;
  std::uint64_t core_list_ = 0;  // which one elsewhere_ has, counted
  std::uint64_t term_ = 0;       // 0: the duty isn't held
  Micros began_ = 0, list_at_ = 0, machines_at_ = 0, shown_at_ = 0;
  Micros step_at_ = 0;  // when the next step is due; 0: with the pulse
  std::size_t pages_ = 1;
  bool listing_ = false, counting_ = false, open_ = false;
  std::uint32_t slow_down_ = 1;  // by how much lists are read less often, after refusals over the rate
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);  // handlers that come after the end do nothing
};

}  // namespace woadridge::controller
