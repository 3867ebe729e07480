// One connection of a client, from its first byte to its last answer.
#pragma once

#include <boost/asio/coroutine.hpp>
#include <list>
#include <memory>
#include <string>

#include "net/engine.h"

namespace woadridge::net {

class Intake;

// Who goes first when there are more connections than the clients' share of the descriptors.
enum class Need { none, newcomer, asked, served, kept };  // kept: a request waits or is being answered

// One client connection: reads one request at a time and goes on reading while its job is out, so that a
// client that leaves is noticed, and one that speaks out of turn.
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
  Micros stood_unread();
  bool has_unread();  // asks the system: a request that is there is taken, not cut off
  Need need() const;
  Micros since() const { return since_; }

 private:
  friend class Intake;
  enum class Stage { reading, waiting, writing, lingering, closed };

  void run(Fault fault);
  void read(Fault& fault);
  void read_request(Fault& fault);
  void read_aside(Fault& fault);
  void take_message();
  void take_request();
  void take_job();
  void answer(int status, std::string_view more, std::string_view body);
  void go_on_if_asked();
  void refuse_message();
  void turn_away(int status, std::string_view more = {}, std::string_view class_name = {});
  void out_of_turn();
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
  bool asked_ = false;       // has sent a whole request,
  bool served_ = false;      // and one for a job
  bool paused_ = false;      // reads nothing: its answer is being written, or enough was dropped
  std::size_t dropped_ = 0;  // bytes, after its last answer
  Micros first_byte_ = 0;    // of the request that is coming
  Micros since_ = 0;         // when it came to its stage, or connected
  std::list<std::shared_ptr<ClientConnection>>::iterator place_;
};

}  // namespace woadridge::net
