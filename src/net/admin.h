// The operators' address: HTTP/1.1, one call to a connection, each answered and closed. Translates only.
#pragma once

#include <boost/asio/coroutine.hpp>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "net/asio.h"
#include "net/http.h"
#include "net/listener.h"

namespace woadridge::net {

struct Reply {
  bool yes = true;
  std::string text;      // for people: what was done, or why not
  bool unknown = false;  // a no, as there is no such worker
};

class Operations {  // what staff may ask of a dispatcher
 public:
  virtual ~Operations() = default;
  virtual Reply status() = 0;
  virtual std::string figures() = 0;
  virtual Reply standby() = 0;
  virtual Reply active() = 0;
  virtual Reply maintain(const std::string& worker, bool out) = 0;
  virtual Reply group() { return {false, "no such call\n", true}; }
};

class Admin;

// One caller, from its first byte to its answer. What comes behind the call is dropped.
class AdminConnection : public std::enable_shared_from_this<AdminConnection>, private boost::asio::coroutine {
 public:
  AdminConnection(Admin& admin, Socket socket, Micros now);
  void start();
  void close();
  void drop_if_slow(Micros now);
  bool answered() const { return answered_; }
  Micros since() const { return since_; }

 private:
  friend class Admin;
  void run(Fault fault);
  void read(Fault& fault);
  void take_call();
  void take_maintenance(std::string_view path, bool out);
  void tell(const Reply& reply);
  void refuse_call();
  void answer(int status, std::string_view more, std::string_view body);
  void written();
  template <typename Step>
  void guarded(Step step);

  Admin& admin_;
  Socket socket_;
  HttpReader reader_;
  std::string out_;
  bool answered_ = false;
  bool closed_ = false;
  Micros since_;  // when it connected, or was answered
  std::list<std::shared_ptr<AdminConnection>>::iterator place_;
};

class Admin {
 public:
  static constexpr std::size_t kMostCallers = 16;        // staff, a scraper and probes; more make room
  static constexpr int kDescriptors = kMostCallers + 2;  // and the listener, and one that is being taken in

  Admin(Strand strand, const Clock& clock, Operations& operations);
  std::string listen(const Address& address);  // an empty text, or why that is not possible
  std::uint16_t port() const { return listener_.port(); }
  void stop();

 private:
  friend class AdminConnection;
  void accepted(Socket socket);
  void make_room();
  void sweep();

  const Clock& clock_;
  Operations& operations_;
  Listener listener_;
  Timer sweeper_;
  bool stopped_ = false;
  std::list<std::shared_ptr<AdminConnection>> callers_;
};

}  // namespace woadridge::net
