// A proxy between a played client, played peers and played instances, on loopback: no time passes but for
// what is asked of the loop, and each run of it is bounded.
#pragma once

#include <CppUTest/TestHarness.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <deque>

#include "proxy/front.h"

namespace woadridge::proxy::played {

using boost::asio::ip::tcp;

inline constexpr auto kBound = std::chrono::seconds(5);

class Played {  // an instance, or a peer: answers each request on its list, or closes where that says so
 public:
  explicit Played(boost::asio::io_context& loop)
      : acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  std::vector<std::string> asked;
  std::deque<std::string> answers;             // {id} stands for the request's own; empty: it closes
  std::deque<std::string>* shared = &answers;  // of several: whoever is asked takes the next

 private:
  struct Line {
    explicit Line(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::string in;
  };
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code failed, tcp::socket socket) {
      if (failed) return;
      read(std::make_shared<Line>(std::move(socket)));
      accept();
    });
  }
  void read(std::shared_ptr<Line> line) {
    boost::asio::async_read_until(line->socket, boost::asio::dynamic_buffer(line->in), "\r\n\r\n",
                                  [this, line](boost::system::error_code failed, std::size_t) {
                                    if (failed) return;
                                    asked.push_back(line->in);
                                    line->in.clear();
                                    answer(line);
                                  });
  }
  void answer(std::shared_ptr<Line> line) {
    if (shared->empty() || shared->front().empty()) {
      if (!shared->empty()) shared->pop_front();
      line->socket.close();
      return;
    }
    std::string text = shared->front();
    shared->pop_front();
    const auto& request = asked.back();
    const auto at = request.find("Attempt-Id: ") + 12;
    const auto id = request.substr(at, request.find("\r\n", at) - at);
    for (auto p = text.find("{id}"); p != std::string::npos; p = text.find("{id}")) text.replace(p, 4, id);
    const auto held = std::make_shared<std::string>(std::move(text));
    boost::asio::async_write(line->socket, boost::asio::buffer(*held),
                             [this, line, held](boost::system::error_code failed, std::size_t) {
                               if (!failed) read(line);
                             });
  }
  tcp::acceptor acceptor_;
};

class Silent {  // an instance that takes requests and never answers
 public:
  explicit Silent(boost::asio::io_context& loop)
      : acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  int requests = 0;
  std::function<void()> on_request;
  int closed() const { return *closed_; }  // connections that their other end has closed

 private:
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code failed, tcp::socket socket) {
      if (failed) return;
      read(std::make_shared<Line>(std::move(socket)));
      accept();
    });
  }
  struct Line {
    explicit Line(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::string in;
  };
  void read(const std::shared_ptr<Line>& line) {
    boost::asio::async_read_until(
        line->socket, boost::asio::dynamic_buffer(line->in), "\r\n\r\n",
        [this, line, closed = closed_](boost::system::error_code failed, std::size_t) {
          if (failed) {
            ++*closed;
            return;
          }
          ++requests;
          line->in.clear();
          if (on_request) on_request();
          read(line);
        });
  }
  std::shared_ptr<int> closed_ = std::make_shared<int>(0);  // lines may outlive this
  tcp::acceptor acceptor_;
};

inline const std::string kGood =
    "HTTP/1.1 200 OK\r\nX-Woadridge-Attempt-Id: {id}\r\nX-Woadridge-Instance-Seal: s.1\r\nContent-Length: "
    "2\r\n\r\nok";
inline const std::string kShed =
    "HTTP/1.1 503 Service Unavailable\r\nX-Woadridge-Attempt-Id: {id}\r\nX-Woadridge-Not-Executed: "
    "1\r\nContent-Length: 0\r\n\r\n";

inline common::Settings settings() {
  common::Settings s;
  s.node_name = "me";
  s.zone = "a";
  s.max_fds = 1024;
  return s;
}

class Caller {  // a client whose connection the test holds, to close it when it likes
 public:
  // `window`: bytes that it takes unread; 0: as many as the system likes.
  Caller(boost::asio::io_context& loop, std::uint16_t port, int window = 0) : socket_(loop) {
    socket_.open(tcp::v4());
    if (window > 0) socket_.set_option(boost::asio::socket_base::receive_buffer_size(window));
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  }
  void send(const std::string& text) { boost::asio::write(socket_, boost::asio::buffer(text)); }
  void shut_sending_side() { socket_.shutdown(tcp::socket::shutdown_send); }
  void close() { socket_.close(); }
  void reset() {
    socket_.set_option(boost::asio::socket_base::linger(true, 0));
    socket_.close();
  }
  bool is_closed() {
    char byte;
    boost::system::error_code fault;
    socket_.non_blocking(true);
    socket_.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, fault);
    return fault && fault != boost::asio::error::would_block;
  }
  std::string arrived() {  // what has come, without waiting
    std::string bytes(socket_.available(), '\0');
    boost::asio::read(socket_, boost::asio::buffer(bytes));
    return bytes;
  }

 private:
  tcp::socket socket_;
};

class FrontWorld : public Utest {
 protected:
  boost::asio::io_context loop;
  net::Strand strand{boost::asio::make_strand(loop)};
  std::unique_ptr<proxy::Dispatch> dispatch;
  std::unique_ptr<proxy::Front> front;
  std::uint16_t port = 0, peers_port = 0;

  virtual proxy::FrontTimes front_times() const { return {}; }
  void setup() override {
    dispatch = std::make_unique<proxy::Dispatch>(strand, settings());
    front = std::make_unique<proxy::Front>(strand, *dispatch, front_times());
    port = opened(proxy::Door::clients);
    peers_port = opened(proxy::Door::peers);
  }
  std::uint16_t opened(proxy::Door door) {
    tcp::acceptor probe(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const auto free = probe.local_endpoint().port();
    probe.close();
    CHECK(front->open(door, {"127.0.0.1", free}).has_value());
    return free;
  }
  void teardown() override {
    front->stop();
    dispatch->stop();
    while (loop.poll() > 0) continue;
    front.reset();
    dispatch.reset();
  }
  void plan_and(std::vector<common::Instance> instances,
                std::vector<common::Peer> peers = {{"me", "a", ""}}) {
    common::News news;
    news.term = news.board = 1;
    news.whole = news.peers_told = news.plan_told = true;
    news.plan.version = 1;
    news.plan.routes = {{"read", "h.example", "/r/", "fn", true, 4000, 400, 1, 2},
                        {"write", "h.example", "/w/", "fn", false, 4000, 400, 1, 2}};
    news.plan.services = {{"fn", "", 100, 128, 900, 1}};
    for (auto& instance : instances)
      if (instance.home.empty()) instance.home = peers.front().name;
    news.peers = std::move(peers);
    news.changed = std::move(instances);
    dispatch->told(news);
  }
  template <class Instance>
  common::Instance at(const Instance& played, const char* id) {
    return {id, "fn", played.address(), "a", "m1", 1, common::Condition::ready, 0, ""};
  }
  std::string ask(const std::string& what, const std::string& id = "77") { return said(port, what, id, ""); }
  std::string ask_as_peer(const std::string& what, int hops) {
    return said(peers_port, what, "77",
                "X-Woadridge-Via: fn;read;r;2;400;4000;" + std::to_string(hops) + "\r\n");
  }
  std::string ask_as_passing(const std::string& what, const std::string& counts, const std::string& more) {
    return said(peers_port, what, "77", "X-Woadridge-Via: fn;write;" + counts + "\r\n" + more);
  }
  std::string boot() const { return std::to_string(dispatch->boot()); }
  static std::string request(const std::string& what, const std::string& id = "77",
                             const std::string& more = "") {
    return what + " HTTP/1.1\r\nHost: h.example\r\nX-Woadridge-Attempt-Id: " + id +
           "\r\nX-Woadridge-Deadline-Ms: 2000\r\nX-Own: kept\r\n" + more + "\r\n";
  }
  std::string said(std::uint16_t to, const std::string& what, const std::string& id,
                   const std::string& more) {
    const std::string text = request(what, id, more);
    tcp::socket client(loop);
    client.connect({boost::asio::ip::make_address("127.0.0.1"), to});
    boost::asio::write(client, boost::asio::buffer(text));
    std::string answer;
    bool done = false;
    boost::asio::async_read_until(client, boost::asio::dynamic_buffer(answer), "\r\n\r\n",
                                  [&](boost::system::error_code, std::size_t) { done = true; });
    const auto until = std::chrono::steady_clock::now() + kBound;
    while (!done && std::chrono::steady_clock::now() < until) loop.run_one_for(kBound);
    CHECK(done);
    return answer;
  }
};

}  // namespace woadridge::proxy::played
