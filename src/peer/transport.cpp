#include "peer/transport.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

// Last: it defines the words of the coroutines as macros.
// clang-format off
#include <boost/asio/yield.hpp>
// clang-format on

namespace woadridge::peer {
namespace {

constexpr Micros kConnectIn = 1'000'000;
constexpr Micros kStandsStill =
    3'000'000;                       // a peer that takes nothing for so long: its connection is given up
constexpr Micros kIdle = 3'000'000;  // the detection asks another member each time: few are needed again soon
constexpr Micros kAgain = 100'000;   // after a connection that failed
constexpr std::size_t kRead = 64 * 1024;

std::string framed(const wire::Frame& frame) {
  std::string bytes(4, '\0');
  frame.AppendToString(&bytes);
  const auto size = static_cast<std::uint32_t>(bytes.size() - 4);
  for (int i = 0; i < 4; ++i)
    bytes[static_cast<std::size_t>(i)] = static_cast<char>(size >> (24 - 8 * i) & 0xff);
  return bytes;
}

std::size_t length_in(const std::string& bytes) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < 4; ++i) size = size << 8 | static_cast<unsigned char>(bytes[i]);
  return size;
}

}  // namespace

// To one member.
class Transport::Line : public std::enable_shared_from_this<Line>, private boost::asio::coroutine {
 public:
  Line(Transport& transport, net::Tcp::endpoint peer)
      : transport_(transport), socket_(transport.strand_), peer_(std::move(peer)) {}

  void send(std::string bytes) {
    used_ = transport_.clock_.now();
    if (failed_ != 0 && used_ - failed_ < kAgain) {
      ++transport_.traffic_.dropped;
      return;
    }
    waiting_ += bytes.size();
    queue_.push_back(std::move(bytes));
    while (waiting_ > kLongestQueue && queue_.size() > 2) {  // the first is on its way
      waiting_ -= queue_[1].size();
      queue_.erase(queue_.begin() + 1);
      ++transport_.traffic_.dropped;
    }
    if (!running_) {
      running_ = true;
      static_cast<boost::asio::coroutine&>(*this) = {};
      run({}, 0);
    }
  }

  void run(net::Fault fault, std::size_t) {
    const std::uint64_t life = life_;
    const auto resume = [self = shared_from_this(), life](net::Fault f, std::size_t n = 0) {
      if (!self->closed_ && self->life_ == life) self->run(f, n);
    };
    reenter(this) {
      moved_ = transport_.clock_.now();
      if (!open_) {
        socket_ = net::Socket(transport_.strand_);
        socket_.open(peer_.protocol(), fault);
        // From the member's own address: whoever takes the connection sees from where it is.
        if (!fault && transport_.own_)
          socket_.bind({boost::asio::ip::make_address(transport_.own_->host), 0}, fault);
        if (fault) return fail();
        yield socket_.async_connect(peer_, resume);
        if (fault) return fail();
        socket_.set_option(net::Tcp::no_delay(true), fault);
        open_ = true;
      }
      while (!queue_.empty()) {
        moved_ = transport_.clock_.now();
        yield boost::asio::async_write(socket_, boost::asio::buffer(queue_.front()), resume);
        if (fault) return fail();
        ++transport_.traffic_.frames_out;
        transport_.traffic_.bytes_out += queue_.front().size();
        waiting_ -= queue_.front().size();
        queue_.pop_front();
      }
      running_ = false;
      watch();
    }
  }

  // The peer says nothing here: what comes is its close, which is better seen before the next frame.
  void watch() {
    if (std::exchange(watched_, true)) return;
    socket_.async_wait(net::Socket::wait_read, [self = shared_from_this(), life = life_](net::Fault) {
      if (!self->closed_ && self->life_ == life) self->fail();
    });
  }

  void fail() {
    ++life_;
    transport_.traffic_.dropped += queue_.size();
    queue_.clear();
    waiting_ = 0;
    running_ = open_ = watched_ = false;
    failed_ = transport_.clock_.now();
    net::Fault ignored;
    socket_.close(ignored);
  }
  void check(Micros now) {
    if (running_ && now - moved_ > (open_ ? kStandsStill : kConnectIn)) fail();
  }
  void close() {
    closed_ = true;
    net::Fault ignored;
    socket_.close(ignored);
  }
  Micros used() const { return used_; }

 private:
  Transport& transport_;
  net::Socket socket_;
  net::Tcp::endpoint peer_;
  std::deque<std::string> queue_;
  std::size_t waiting_ = 0;
  Micros used_ = 0, moved_ = 0, failed_ = 0;
  std::uint64_t life_ = 0;
  bool running_ = false, open_ = false, watched_ = false, closed_ = false;
};

// From one member.
class Transport::Ear : public std::enable_shared_from_this<Ear>, private boost::asio::coroutine {
 public:
  Ear(Transport& transport, net::Socket socket)
      : transport_(transport), socket_(std::move(socket)), used_(transport.clock_.now()) {}

  void run(net::Fault fault, std::size_t bytes) {
    const auto resume = [self = shared_from_this()](net::Fault f, std::size_t n = 0) {
      if (!self->closed_) self->run(f, n);
    };
    reenter(this) {
      while (!closed_) {
        yield {
          held_ = in_.size();
          in_.resize(held_ + kRead);
          socket_.async_read_some(boost::asio::buffer(in_.data() + held_, kRead), resume);
        }
        in_.resize(held_ + (fault ? 0 : bytes));
        if (fault) return end();
        used_ = transport_.clock_.now();
        transport_.traffic_.bytes_in += bytes;
        if (!digest()) return end();
      }
    }
  }

  void close() {
    if (std::exchange(closed_, true)) return;
    net::Fault ignored;
    socket_.close(ignored);
  }
  Micros used() const { return used_; }
  std::list<std::shared_ptr<Ear>>::iterator place;

 private:
  // What is no frame ends the connection; what it had sent before counts.
  bool digest() {
    std::size_t from = 0;
    while (!closed_ && in_.size() - from >= 4) {
      const std::size_t size = length_in(in_.substr(from, 4));
      if (size > kLongestFrame) return malformed();
      if (in_.size() - from - 4 < size) break;
      wire::Frame frame;
      if (!frame.ParseFromArray(in_.data() + from + 4, static_cast<int>(size))) return malformed();
      from += 4 + size;
      ++transport_.traffic_.frames_in;
      transport_.taken_(std::move(frame));
    }
    in_.erase(0, from);
    return true;
  }
  bool malformed() {
    ++transport_.traffic_.malformed;
    return false;
  }
  void end() {
    if (closed_) return;
    close();
    transport_.heard_.erase(place);
  }

  Transport& transport_;
  net::Socket socket_;
  std::string in_;
  std::size_t held_ = 0;
  Micros used_;
  bool closed_ = false;
};

Transport::Transport(net::Strand strand, const net::Clock& clock, std::size_t most_connections, Taken taken)
    : strand_(strand),
      clock_(clock),
      most_(most_connections),
      taken_(std::move(taken)),
      listener_(
          strand, [] { return true; }, [this](net::Socket socket) { accepted(std::move(socket)); }) {}

Transport::~Transport() {
  stop();
}

std::string Transport::listen(const net::Address& address) {
  own_ = address;
  return listener_.open(address);
}

// Beyond the bound the one that was used longest ago makes room.
void Transport::accepted(net::Socket socket) {
  if (heard_.size() >= most_) {
    const auto oldest = std::min_element(heard_.begin(), heard_.end(),
                                         [](const auto& a, const auto& b) { return a->used() < b->used(); });
    (*oldest)->close();
    heard_.erase(oldest);
  }
  const auto ear = std::make_shared<Ear>(*this, std::move(socket));
  ear->place = heard_.insert(heard_.end(), ear);
  ear->run({}, 0);
}

void Transport::send(const std::string& address, const wire::Frame& frame) {
  if (stopped_) return;
  auto found = lines_.find(address);
  if (found == lines_.end()) {
    const auto parsed = net::parse_address(address);
    if (!parsed) return;
    if (lines_.size() >= most_) {
      const auto oldest = std::min_element(lines_.begin(), lines_.end(), [](const auto& a, const auto& b) {
        return a.second->used() < b.second->used();
      });
      oldest->second->close();
      lines_.erase(oldest);
    }
    found = lines_.emplace(address, std::make_shared<Line>(*this, net::endpoint_of(*parsed))).first;
  }
  found->second->send(framed(frame));
}

void Transport::sweep() {
  const Micros now = clock_.now();
  for (const auto& [address, line] : lines_) line->check(now);
  std::erase_if(lines_, [now](const auto& l) {
    if (now - l.second->used() < kIdle) return false;
    l.second->close();
    return true;
  });
  std::erase_if(heard_, [now](const auto& ear) {
    if (now - ear->used() < 2 * kIdle) return false;
    ear->close();
    return true;
  });
}

void Transport::stop() {
  if (std::exchange(stopped_, true)) return;
  listener_.close();
  for (const auto& [address, line] : lines_) line->close();
  for (const auto& ear : heard_) ear->close();
  lines_.clear();
  heard_.clear();
}

}  // namespace woadridge::peer

#include <boost/asio/unyield.hpp>
