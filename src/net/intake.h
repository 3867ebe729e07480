// Where clients come in: the listener, and which connections are kept when there are too many.
#pragma once

#include <array>
#include <list>
#include <memory>
#include <string>

#include "net/budget.h"
#include "net/client.h"
#include "net/listener.h"

namespace woadridge::net {

class Intake {
 public:
  Intake(Strand strand, Engine& engine, const Budget& budget, BufferSpace& space);

  // An empty text, or why the address can't be listened on.
  std::string listen(const Address& address, std::optional<int> inherited);
  void set_budget(const Budget& budget);  // what is idle beyond it is closed
  std::uint16_t port() const { return listener_.port(); }
  void begin_ending() { ending_ = true; }  // health turns 503
  // The same, and answers close their connections, for as long as it lasts.
  void stand_by(bool yes) {
    standby_ = yes;
    refusing_ = false;
  }
  void refuse_new() { refusing_ = true; }      // what is read from now on is told to come elsewhere
  void close_all_after() { closing_ = true; }  // answers close their connections
  void stop_listening();
  void leave_listener();             // to another process that holds it too: what waits there is for that one
  void close_idle(Micros at_least);  // those that have been idle for so long and have sent nothing
  bool listens() const { return listener_.is_open(); }
  bool idle() const { return connections_.empty(); }
  void stop();

 private:
  friend class ClientConnection;

  void accepted(Socket socket);
  bool make_room();
  bool crowded() const { return refusing_ || engine_.unanswered() >= most_ - turnstile_; }
  std::shared_ptr<ClientConnection> least_needed() const;
  void closed(ClientConnection& connection);
  void sweep();
  // Also while jobs wait for discovery's first answer, a few tenths of a second after a start: turned away
  // from here their clients would find nobody, where the others of the zone are being restarted too.
  bool healthy() const { return listener_.is_open() && !ending_ && !standby_ && engine_.knows_workers(); }

  Engine& engine_;
  BufferSpace& space_;
  std::array<char, 16 * 1024> aside_;  // where all connections read what nobody will look at
  Listener listener_;
  Timer sweeper_;
  std::size_t most_;
  std::size_t turnstile_;  // of these, for newcomers that are refused
  bool ending_ = false;
  bool closing_ = false;
  bool standby_ = false;
  bool refusing_ = false;
  bool stopped_ = false;
  std::list<std::shared_ptr<ClientConnection>> connections_;
};

}  // namespace woadridge::net
