#include "lab/chaos/relay.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <map>

#include "net/listener.h"

namespace woadridge::lab {
namespace {

constexpr std::size_t kMostWaiting = 4 << 20;  // bytes of one way that wait; then it reads no further
constexpr std::size_t kThin = 8 * 1024;        // bytes a second

}  // namespace

class Relay::Door {
 public:
  Door(Relay& relay, int to)
      : listener_(
            relay.strand_, [] { return true; },
            [&relay, to](net::Socket socket) { relay.accepted(to, std::move(socket)); }) {}
  std::string open(const net::Address& address) { return listener_.open(address); }
  void close() { listener_.close(); }

 private:
  net::Listener listener_;
};

// One connection from a member to another: frames come in, and go out when their time has come.
class Relay::Way : public std::enable_shared_from_this<Way> {
 public:
  Way(Relay& relay, int from, int to, net::Socket socket)
      : relay_(relay),
        from_(from),
        to_(to),
        in_(std::move(socket)),
        out_(relay.strand_),
        timer_(relay.strand_) {}

  void start() {
    connect();
    read();
  }
  void close() {
    if (std::exchange(closed_, true)) return;
    net::Fault ignored;
    in_.close(ignored);
    out_.close(ignored);
    timer_.cancel();
  }
  bool closed() const { return closed_; }
  void look() {
    if (closed_) return;
    if (!reading_) read();
    if (connected_) write();
    else if (!connecting_) connect();
  }

 private:
  const LinkFault& fault() const {
    return relay_
        .links_[static_cast<std::size_t>(from_) * relay_.inner_.size() + static_cast<std::size_t>(to_)];
  }
  void connect() {
    if (fault().cut > 0 || fault().silent > 0 || connecting_) return;
    connecting_ = true;
    const net::Address address{relay_.inner_[static_cast<std::size_t>(to_)], relay_.port_};
    out_.async_connect(net::endpoint_of(address), [self = shared_from_this()](net::Fault f) {
      self->connecting_ = false;
      if (self->closed_) return;
      if (f) return self->close();
      self->connected_ = true;
      net::Fault ignored;
      self->out_.set_option(net::Tcp::no_delay(true), ignored);
      self->watch();
      self->write();
    });
  }
  // The other end says nothing; its close ends the way.
  void watch() {
    out_.async_wait(net::Socket::wait_read, [self = shared_from_this()](net::Fault f) {
      if (!f || f != boost::asio::error::operation_aborted) self->close();
    });
  }
  void read() {
    if (closed_ || reading_ || fault().cut > 0 || waiting_bytes_ > kMostWaiting) return;
    reading_ = true;
    in_.async_read_some(boost::asio::buffer(bytes_),
                        [self = shared_from_this()](net::Fault f, std::size_t n) {
                          self->reading_ = false;
                          if (self->closed_) return;
                          if (f) return self->ended();
                          self->arrived(n);
                          self->read();
                        });
  }
  void ended() {  // what has come goes on to the other end first
    in_over_ = true;
    reading_ = true;
    write();
  }
  void arrived(std::size_t n) {
    if (fault().silent > 0) return;
    partial_.append(bytes_.data(), n);
    while (partial_.size() >= 4) {
      std::size_t size = 0;
      for (std::size_t i = 0; i < 4; ++i) size = size << 8 | static_cast<unsigned char>(partial_[i]);
      if (partial_.size() < 4 + size) break;
      put(partial_.substr(0, 4 + size));
      partial_.erase(0, 4 + size);
    }
    write();
  }
  void put(std::string frame) {
    ++relay_.frames_;
    Stream& chance = relay_.chance_;
    const LinkFault& f = fault();
    if (f.lossy > 0 && chance.uniform() < 0.33) return;
    auto when = std::chrono::steady_clock::now();
    if (f.slow > 0) when += std::chrono::milliseconds(static_cast<int>(chance.uniform(50, 800)));
    if (f.thin > 0)
      when = std::max(when, last_) + std::chrono::microseconds(frame.size() * 1'000'000 / kThin);
    if (f.reorder > 0) when += std::chrono::milliseconds(static_cast<int>(chance.uniform(0, 60)));
    else when = std::max(when, last_);  // one connection keeps its order
    last_ = std::max(last_, when);
    const int copies = f.repeat > 0 && chance.uniform() < 0.5 ? 2 : 1;
    waiting_bytes_ += frame.size() * static_cast<std::size_t>(copies);
    for (int c = 1; c < copies; ++c) frames_.emplace(when, frame);
    frames_.emplace(when, std::move(frame));
  }
  void write() {
    if (closed_ || writing_ || !connected_ || fault().cut > 0) return;
    if (frames_.empty()) {
      if (in_over_) close();
      return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (frames_.begin()->first > now) {
      timer_.expires_at(frames_.begin()->first);
      timer_.async_wait([self = shared_from_this()](net::Fault f) {
        if (!f && !self->closed_) self->write();
      });
      return;
    }
    now_out_ = std::move(frames_.begin()->second);
    frames_.erase(frames_.begin());
    waiting_bytes_ -= now_out_.size();
    const bool breaks = fault().break_frame > 0 && relay_.chance_.uniform() < 0.2;
    if (breaks) now_out_.resize(now_out_.size() / 2 + 1);
    writing_ = true;
    boost::asio::async_write(out_, boost::asio::buffer(now_out_),
                             [self = shared_from_this(), breaks](net::Fault f, std::size_t) {
                               self->writing_ = false;
                               if (f || breaks) return self->close();
                               self->write();
                             });
  }

  Relay& relay_;
  const int from_, to_;
  net::Socket in_, out_;
  net::Timer timer_;
  std::array<char, 64 * 1024> bytes_{};
  std::string partial_, now_out_;
  std::multimap<std::chrono::steady_clock::time_point, std::string> frames_;
  std::chrono::steady_clock::time_point last_{};
  std::size_t waiting_bytes_ = 0;
  bool connecting_ = false, connected_ = false, reading_ = false, writing_ = false, in_over_ = false,
       closed_ = false;
};

Relay::Relay(net::Strand strand, std::vector<std::string> inner, std::vector<std::string> outer,
             std::uint16_t port, std::uint64_t seed)
    : strand_(strand),
      inner_(std::move(inner)),
      outer_(std::move(outer)),
      port_(port),
      chance_(seed, "chaos relay"),
      links_(inner_.size() * inner_.size()) {}

Relay::~Relay() {
  stop();
}

void Relay::accepted(int to, net::Socket socket) {
  net::Fault fault;
  const auto peer = socket.remote_endpoint(fault);
  const int from = fault ? -1 : member_at(peer.address().to_string());
  if (from < 0) return;
  auto way = std::make_shared<Way>(*this, from, to, std::move(socket));
  ways_.push_back(way);
  way->start();
}

std::string Relay::open() {
  for (std::size_t i = 0; i < outer_.size(); ++i) {
    doors_.push_back(std::make_unique<Door>(*this, static_cast<int>(i)));
    if (std::string fault = doors_.back()->open({outer_[i], port_}); !fault.empty()) return fault;
  }
  return {};
}

void Relay::stop() {
  if (std::exchange(stopped_, true)) return;
  for (const auto& door : doors_) door->close();
  for (const auto& way : ways_) way->close();
  ways_.clear();
}

LinkFault& Relay::link(int from, int to) {
  return links_[static_cast<std::size_t>(from) * inner_.size() + static_cast<std::size_t>(to)];
}

void Relay::changed() {
  ways_.remove_if([](const auto& way) { return way->closed(); });
  for (const auto& way : std::list<std::shared_ptr<Way>>(ways_)) way->look();
}

int Relay::member_at(const std::string& address) const {
  const auto found = std::find(inner_.begin(), inner_.end(), address);
  return found == inner_.end() ? -1 : static_cast<int>(found - inner_.begin());
}

}  // namespace woadridge::lab
