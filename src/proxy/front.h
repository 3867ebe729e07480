// Where requests come in: clients, other proxies, and those who ask whether this one is ready.
#pragma once

#include <list>
#include <memory>

#include "proxy/dispatch.h"
#include "proxy/peer_calls.h"

namespace woadridge::proxy {

enum class Door { clients, peers, readiness };

struct FrontTimes {
  Micros slow_taker = 10'000'000;  // in which a client takes nothing of its answer
};

class Front {
 public:
  Front(net::Strand strand, Dispatch& dispatch, FrontTimes times = {});
  ~Front();
  common::Result<void> open(Door door, const common::Endpoint& place);
  void close_door(Door door);
  void leave();  // answers from now on close their connections, and those that stand idle are closed
  void stop();
  std::size_t busy() const {
    return busy_;
  }  // connections whose request has no whole answer yet, or one that is being written

 private:
  class Connection;
  friend class Connection;
  struct Listener {
    Door door;
    net::Acceptor acceptor;
    net::Timer again;
  };
  void accept(Listener& listener);
  void sweep();
  void make_room();
  void abandon_if_alone(const std::shared_ptr<PeerCall>& pass);

  net::Strand strand_;
  Dispatch& dispatch_;
  std::list<Listener> listeners_;
  std::list<std::shared_ptr<Connection>> connections_;  // those that came or asked last are last
  PeerCalls peer_calls_;
  FrontTimes times_;
  std::size_t busy_ = 0;
  bool leaving_ = false, stopped_ = false;
};

}  // namespace woadridge::proxy
