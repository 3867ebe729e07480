// Where clients come in: the listener, their connections, and the answers.
#pragma once

#include <boost/asio/coroutine.hpp>
#include <list>
#include <memory>
#include <string>
#include <variant>

#include "net/engine.h"

namespace woadridge::net {

class Intake;

// One client connection: reads one request at a time and goes on reading while its job is out, so that a
// client that leaves is noticed.
class ClientConnection : public Client,
                         public std::enable_shared_from_this<ClientConnection>,
                         private boost::asio::coroutine {
 public:
  ClientConnection(Intake& intake, Socket socket);
  void start();
  void answered(Answer answer) override;
  void close();
  void drop_if_slow(Micros now);
  bool idle() const { return stage_ == Stage::reading && reader_.untouched(); }
  bool has_unread();  // asks the system: a request that is there is taken, not cut off
  Micros since() const { return since_; }

 private:
  friend class Intake;
  enum class Stage { reading, waiting, writing, lingering, closed };

  void run(Fault fault, std::size_t bytes);
  std::size_t read_some(Fault& fault);
  void take_message();
  void take_request();
  void take_job();
  void answer(int status, std::string_view more, std::string_view body);
  void go_on_if_asked();
  void refuse_message();
  void written();
  void linger();
  void enter(Stage stage);
  template <typename Step>
  void guarded(Step step);

  Intake& intake_;
  Socket socket_;
  HttpReader reader_;
  std::string out_;
  Stage stage_ = Stage::reading;
  RequestId job_ = 0;
  bool close_after_ = false;
  bool told_to_go_on_ = false;
  bool paused_ = false;    // its buffer is full of what came behind the request that waits
  Micros first_byte_ = 0;  // of the request that is coming
  Micros since_ = 0;       // when it came to its stage
  std::list<std::shared_ptr<ClientConnection>>::iterator place_;
};

class Intake {
 public:
  Intake(Strand strand, Engine& engine, int most_connections);

  // An empty text, or why the address can't be listened on.
  std::string listen(const Address& address);
  std::uint16_t port() const;
  void begin_ending() { ending_ = true; }      // health turns 503
  void close_all_after() { closing_ = true; }  // answers close their connections
  void stop_listening();
  void close_idle(Micros at_least);  // those that have been idle for so long and have sent nothing
  bool idle() const { return connections_.empty(); }
  void stop();

 private:
  friend class ClientConnection;

  void accept();
  void take_in();
  void accepted(Socket socket);
  bool make_room();
  void closed(ClientConnection& connection);
  void sweep();
  bool healthy() const { return acceptor_.is_open() && !ending_ && engine_.holds_list(); }

  Strand strand_;
  Engine& engine_;
  Acceptor acceptor_;
  Timer again_;
  Timer sweeper_;
  std::size_t most_;
  bool paused_ = false;
  bool ending_ = false;
  bool closing_ = false;
  bool stopped_ = false;
  std::list<std::shared_ptr<ClientConnection>> connections_;
};

// A request's job, or the status that answers a request which is none.
std::variant<Job, int> job_of(const HttpReader& message, const Engine& engine, Micros on_the_way);

}  // namespace woadridge::net
