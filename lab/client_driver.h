// The client model on real connections to one dispatcher: kept ones are used again, more are opened when all
// are busy, one request at a time on each.
#pragma once

#include <boost/asio/coroutine.hpp>
#include <set>

#include "lab/clients.h"
#include "net/asio.h"
#include "net/http.h"

namespace woadridge::lab {

std::optional<RequestId> request_of(std::string_view name);

class ClientDriver : private ClientsOut {
 public:
  ClientDriver(net::Strand strand, const net::Clock& clock, const Scenario& scenario, DispatcherId dispatcher,
               Micros begin, net::Address address);
  ~ClientDriver();
  void run();
  void stop();
  void dispatcher_killed() { killed_ = true; }  // by the lab: what it had is the clients' to retry
  void dispatcher_started() { killed_ = false; }
  bool idle() const { return clients_.idle(); }
  Clients& clients() { return clients_; }
  std::uint64_t connections() const { return connections_; }

 private:
  class Connection;
  friend class Connection;
  void ask(const Wish& wish) override;
  void leave(RequestId request) override;
  Micros now() { return last_ = std::max(last_, clock_.now()); }
  void arm();

  net::Strand strand_;
  const net::Clock& clock_;
  const Scenario& scenario_;
  net::Tcp::endpoint address_;
  Clients clients_;
  net::Timer timer_;
  std::vector<std::shared_ptr<Connection>> idle_;
  std::map<RequestId, std::shared_ptr<Connection>> busy_;
  std::set<std::shared_ptr<Connection>> all_;
  std::uint64_t connections_ = 0;
  Micros last_ = 0;
  bool killed_ = false;
  bool stopped_ = false;
};

}  // namespace woadridge::lab
