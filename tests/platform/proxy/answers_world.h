// Proxies, instances and the bytes between them, in one seeded order of steps: the proxy's own deciding code
// (exchange.h, verdict.h, tries.h, peer_calls.h) against ends that break off, delay, double, swap and spoil
// at every byte. The ledger stands outside: who ran what, and who was told what.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "proxy/exchange.h"
#include "proxy/peer_calls.h"
#include "proxy/verdict.h"

namespace woadridge::proxy::played {

struct Record {  // of one call
  bool repeatable = false;
  std::uint32_t most = 1;
  std::set<std::string> ran_on;
  int runs = 0;
  int told = 0;  // status; 0: nothing yet
  std::string body;
};

class World;

class End {  // what a connection leads to
 public:
  virtual ~End() = default;
  virtual void serve(const std::shared_ptr<struct Line>& line) = 0;
  virtual void cut_off(const std::shared_ptr<struct Line>&) {}
};

struct Line : std::enable_shared_from_this<Line> {
  using Told = std::function<void(OutboundResult)>;
  Line(World& w, End& to) : world(w), end(to) {}
  World& world;
  End& end;
  Exchange exchange{{16 * 1024, 64 * 1024}};
  net::HttpReader server{net::HttpReader::Side::requests};
  std::string request, up, down, late;  // late: what the end sends ahead of its next answer
  bool open = true, down_ends = false, busy = false, served = false;
  bool orphan = false;  // its sender has lost it; what was sent still comes
  std::size_t delivered = 0, produced = 0;
  std::vector<std::size_t> extras;  // where in the stream down an answer that belongs to nobody ends
  Told told;

  void begin(const std::string& id, std::size_t head, std::string text, Told on_end);
  void say(const std::string& bytes, bool extra = false);
  bool step();             // false: nothing to do
  void deliver_answers();  // what the end has said until now
  void cut();
  void close() { open = false; }

 private:
  bool send_some();
  bool deliver_up();
  bool deliver_down();
  void follow(Exchange::State state);
  void fail(OutboundResult::How how);
};
using LineRef = std::shared_ptr<Line>;

class Sender {  // keeps connections
 public:
  explicit Sender(World& world) : world_(world) {}
  LineRef line(End& to, const std::string& id);
  void drop_all();

 private:
  World& world_;
  std::vector<LineRef>& lines_to(End& to);
  // In the order of their first use: a run must not depend on addresses.
  std::vector<std::pair<End*, std::vector<LineRef>>> lines_;
};

class Instance : public End {
 public:
  Instance(World& world, std::string name) : world_(world), name_(std::move(name)) {}
  void serve(const LineRef& line) override;
  void cut_off(const LineRef& line) override;

 private:
  std::string answer(const std::string& id, bool named) const;
  World& world_;
  std::string name_;
};

class Proxy : public End {
 public:
  using Done = std::function<void(Reply, Tries)>;
  struct Job {
    std::string id, body;
    Tries tries;
    int sendings = 0, passings = 0;
    Done done;
  };
  Proxy(World& world, std::uint64_t boot) : world_(world), lines_(world), boot_(boot) {}
  void serve(const LineRef& line) override;  // a peer passes a call
  void take(const std::string& id, const std::string& body, Tries tries, Done done);
  void pass(std::shared_ptr<Job> job, Proxy& home);
  void attempt(std::shared_ptr<Job> job);
  void die(std::uint64_t boot);
  void end(std::uint64_t boot);  // told to: what is at work is answered first

 private:
  struct Passing {
    std::shared_ptr<Job> job;
    Proxy* home;
    std::uint64_t count, boot;
    PassSoFar so_far;
  };
  void send(const std::shared_ptr<Passing>& passing);
  void ended(const std::shared_ptr<Passing>& passing, OutboundResult end);
  World& world_;
  Sender lines_;
  std::uint64_t boot_, passes_ = 0;
  std::unique_ptr<PeerCalls> calls_ = std::make_unique<PeerCalls>();
  std::map<Proxy*, std::uint64_t> known_;
  std::vector<std::shared_ptr<Asker>> askers_;
  std::vector<std::shared_ptr<Job>> at_work_;  // at an instance
};

class World {
 public:
  explicit World(unsigned seed) : random(seed) {}
  void run(int calls);
  bool chance(double part) { return std::uniform_real_distribution<double>(0, 1)(random) < part; }
  std::size_t draw(std::size_t below) {
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
  }
  void broken(const std::string& rule) { breaks.insert(rule); }

  std::mt19937 random;
  std::map<std::string, Record> ledger;
  std::vector<LineRef> lines;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Proxy>> proxies;
  std::set<std::string> breaks;
  int served = 0;

 private:
  void call(int number);
  void judge();
};

}  // namespace woadridge::proxy::played
