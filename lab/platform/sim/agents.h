// Agents and their proxies beside the simulated core machines: the agents' own code for whom to ask and what
// to keep, the holder's own code for what it may answer, on lines that are cut and with processes that end.
// Judged from outside: nothing goes back at an agent or a proxy, nobody tells or calls under a term that is
// over, and in calm times each agent has what is in force within the bound.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/held_state.h"
#include "agent/link.h"
#include "controller/board.h"
#include "controller/news_composer.h"
#include "lab/platform/sim/world.h"

namespace woadridge::lab::sim {

class Agents {
 public:
  Agents(World& world, std::size_t count, std::uint64_t seed);
  Agents(const Agents&) = delete;
  Agents& operator=(const Agents&) = delete;

  void trouble() { calm_ = false; }  // from now on lines are cut and processes end
  void calm();                       // from now on nothing is, and all lines are whole
  std::string lacking() const;  // for each agent to have what is in force from the holder; empty: nothing
  // Agent i hears nothing of the core machines named as bits, or they nothing of it.
  void cut(std::size_t i, std::uint32_t nodes, bool to_core, bool from_core, Micros span);
  void restart(std::size_t i, bool agent, bool proxy);
  std::size_t restarts() const { return restarts_; }
  std::size_t cuts() const { return cuts_; }

 private:
  struct Agent {
    std::unique_ptr<agent::Link> link;
    agent::HeldState held;
    common::Board proxy;
    bool proxy_up = true, proxy_known = false;  // known: it has told the agent what it holds
    std::uint64_t life = 0, wire = 0, wake = 0;
    std::uint64_t highest_term = 0;  // that either has held since both were new
    common::Version highest_plan = 0;
    Micros heard = 0;                      // of its connection, last
    std::vector<Micros> to_cut, from_cut;  // by core machine: until then
    Dice dice{0};
  };
  struct Question {
    common::Ask ask;
    std::uint64_t wire = 0;
    Micros at = 0;
  };
  struct Holder {  // what a core machine's process has of the duty
    std::uint64_t life = 0, term = 0, confirmed_term = 0;
    bool confirming = false;
    controller::Board board;
    controller::PlanHistory plans;
    std::map<std::size_t, Question> questions;  // by agent
  };

  agent::Millis millis() const { return world_.now / 1000; }
  std::vector<common::Endpoint> seeds() const;
  void start(std::size_t i);
  void run(std::size_t i);
  // Its connection ends after so long, if no sign of life comes.
  void ask(std::size_t i, agent::Millis silent);
  void ends_in_silence(std::size_t i, std::uint64_t wire, agent::Millis after);
  void say(std::size_t i, std::size_t n, std::uint64_t wire, const common::CoreSays& says);
  void heard(std::size_t i, const common::CoreSays& says);
  void feed(std::size_t i, const common::News& news);
  void proxy_comes(std::size_t i, Micros after);
  void judge(std::size_t i);
  void worry();

  Holder& holder(std::size_t n);
  controller::Holding holding(std::size_t n);
  void on_ask(std::size_t n, std::size_t i, Question question);
  void answer(std::size_t n, std::size_t i);
  void confirm(std::size_t n);
  void pulse(std::size_t n);
  bool over(std::uint64_t term) const { return term < world_.terms(); }

  World& world_;
  std::vector<Agent> agents_;
  std::vector<Holder> holders_;
  Dice dice_;
  bool calm_ = true;
  std::size_t restarts_ = 0, cuts_ = 0;
};

}  // namespace woadridge::lab::sim
