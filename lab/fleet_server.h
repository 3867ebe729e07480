// The fleet model behind real listeners on loopback: one for each worker, one or two of the list for each
// dispatcher, by the protocol that the dispatcher speaks. Translates only: what happens is the model's.
#pragma once

#include <boost/asio/coroutine.hpp>
#include <functional>
#include <list>
#include <unordered_map>

#include "lab/fleet.h"
#include "net/asio.h"
#include "net/http.h"

namespace woadridge::lab {

struct JobFacts {  // what the model must know of a request that a worker was handed
  RequestId request = 0;
  DispatcherId dispatcher = 0;
  std::uint64_t key = 0;
  int class_index = 0;
  double work = 0;
};
// By its Request-Id and Idempotency-Key. None: no client sent it.
using FactsOf = std::function<std::optional<JobFacts>(std::string_view id, std::string_view key)>;

class FleetServer : private FleetOut {
 public:
  static constexpr int kListDoors =
      2;  // addresses of the list for each dispatcher: a reload moves between them

  FleetServer(net::Strand strand, const net::Clock& clock, const Scenario& scenario, Micros begin,
              FactsOf facts, int dispatchers, std::uint16_t first_list_port = 0,
              std::uint16_t first_worker_port = 0);
  ~FleetServer();

  void run();   // the model's time goes on from now
  void stop();  // closes everything
  void dispatcher_restarted(DispatcherId d) { books_[d].forget(); }

  net::Address list_address(DispatcherId d, int door) const;
  net::Address worker_address(WorkerIndex w) const;
  std::string list_json(const ListNews& news) const;
  Fleet& fleet() { return fleet_; }
  const std::vector<Told>& told() const { return told_; }
  std::uint64_t strangers() const { return strangers_; }  // requests with an id that no client sent

 private:
  class Door;
  class WorkerSide;
  class ListSide;
  friend class WorkerSide;
  friend class ListSide;

  void note(const Note& note) override;
  void news(DispatcherId to, const ListNews& news, Micros after) override;
  void door(WorkerIndex worker, bool open, bool died) override;

  Micros now();
  void arm();
  void settle();  // after each event: writes what the model said, and arms the timer
  void write_news(DispatcherId to, const ListNews& news);
  void close_watch(DispatcherId d);

  net::Strand strand_;
  const net::Clock& clock_;
  const Scenario& scenario_;
  FactsOf facts_;
  Fleet fleet_;
  net::Timer timer_;
  std::vector<std::unique_ptr<Door>> worker_doors_, list_doors_;
  std::map<AttemptRef, std::shared_ptr<WorkerSide>> open_;  // who waits for word of an attempt
  std::map<WorkerIndex, std::set<std::shared_ptr<WorkerSide>>> sides_;
  std::vector<std::shared_ptr<WorkerSide>> dirty_;
  std::map<DispatcherId, std::shared_ptr<ListSide>> watches_, asks_;
  std::unordered_map<RequestId, int> attempts_;
  std::vector<ToldBook> books_;
  std::vector<Told> told_;
  std::uint64_t strangers_ = 0;
  Micros last_ = 0;
  bool running_ = false;
  bool stopped_ = false;
};

}  // namespace woadridge::lab
