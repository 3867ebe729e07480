// A listening socket on the strand. Connections are taken in one at a time, and only while there is room.
#pragma once

#include <functional>
#include <string>

#include "net/asio.h"

namespace woadridge::net {

class Listener {
 public:
  // Room is asked for only once someone is there.
  Listener(Strand strand, std::function<bool()> room, std::function<void(Socket)> take);

  std::string open(const Address& address);  // an empty text, or why it can't be listened on
  std::string inherit(int descriptor);       // one that listens already, and others may hold too
  bool is_open() const { return acceptor_.is_open(); }
  std::uint16_t port() const;
  void go_on();      // there may be room again
  void take_rest();  // what the system has accepted already, as far as there is room
  void close();      // of one that was inherited only this process's hold: its backlog stays

 private:
  void accept();
  void take_in();

  Strand strand_;
  std::function<bool()> room_;
  std::function<void(Socket)> take_;
  Acceptor acceptor_;
  Timer again_;
  bool paused_ = false;
};

}  // namespace woadridge::net
