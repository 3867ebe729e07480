// A small HTTP server of the stand-ins: a listener at one address, one request at a time on each connection.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "net/asio.h"
#include "net/http.h"

namespace woadridge::lab::platform {

using Endpoint = net::Tcp::endpoint;

std::string text_of(const Endpoint& endpoint);
Endpoint endpoint_at(const std::string& address);  // "127.0.1.1:80"; throws std::runtime_error

class Door {
 public:
  class Visit;  // a connection
  using VisitRef = std::shared_ptr<Visit>;
  using OnRequest = std::function<void(const VisitRef&)>;

  struct Policy {
    std::size_t most_visits = 1024;  // any beyond are reset
    int idle_s = 30;                 // a connection without a request is closed then
  };

  Door(net::Strand strand, Endpoint endpoint, Policy options, OnRequest on_request);
  ~Door();
  Door(const Door&) = delete;
  Door& operator=(const Door&) = delete;

  void open();   // throws std::runtime_error, which names the address
  void leave();  // takes no more connections; those that are idle close, the others after their answer
  void drop();   // closes everything
  void reset();  // connections that are open break off; new ones are taken
  /// What comes on connections is read only then; it may come from callers that are gone by that time.
  void hold_back(std::chrono::microseconds span);
  bool leaving() const { return leaving_; }

 private:
  friend class Visit;
  void accept();

  net::Strand strand_;
  Endpoint endpoint_;
  Policy options_;
  OnRequest on_request_;
  net::Acceptor acceptor_;
  std::set<VisitRef> visits_;
  bool leaving_ = false;
  std::chrono::steady_clock::time_point held_until_{};
};

class Door::Visit : public std::enable_shared_from_this<Visit> {
 public:
  Visit(Door& door, net::Socket socket);

  std::string method() const { return std::string(reader_.method()); }
  std::string target() const { return std::string(reader_.target()); }
  std::string header(std::string_view name) const { return std::string(reader_.header(name)); }
  std::string body() const { return std::string(reader_.body()); }
  // Once for each request. `more` holds whole header lines.
  void answer(int status, const std::string& more, const std::string& body, bool keep = true);
  void on_gone(std::function<void()> told) { gone_ = std::move(told); }  // the caller has closed, unanswered

 private:
  friend class Door;
  void start();
  void read();
  void take();
  bool held_back();  // reads on once its door's time is over
  void reset();
  void watch();  // while a request is at work: whether the caller is still there
  void idle();
  void close();

  Door* door_;  // none: it is gone
  net::Socket socket_;
  net::Timer limit_;
  net::HttpReader reader_;
  std::string out_;
  std::function<void()> gone_;
  bool busy_ = false, closed_ = false;
  int turn_ = 0;  // of the request on this connection
};

}  // namespace woadridge::lab::platform
