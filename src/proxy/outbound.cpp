#include "proxy/outbound.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <charconv>
#include <tuple>

#include "common/frames.h"

namespace woadridge::proxy {
namespace {

using net::Fault;

constexpr Micros kConnect =
    400'000;  // on links of tens of milliseconds: a lost opening packet is tried elsewhere
constexpr Micros kStoodStill = 50'000;     // a timer so late: this process was held up, not the other
constexpr std::uint32_t kSilence = 1500;   // milliseconds in which a peer without power is noticed
constexpr Micros kIdleUntold = 4'000'000;  // a kept connection whose other end said no time
constexpr double kIdlePart = 0.7;          // of the time that was said: a request must not cross the close
constexpr Micros kSweep = 1'000'000;
constexpr net::HttpLimits kAnswerLimits{16 * 1024, 8 << 20};

double number(std::string_view text) {
  double value = 0;
  const auto [stop, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
  return bad == std::errc() && stop == text.data() + text.size() && value >= 0 ? value : 0;
}

Micros told_idle(std::string_view keep_alive) {  // "timeout=5, max=100"
  const auto at = keep_alive.find("timeout=");
  if (at == std::string_view::npos) return kIdleUntold;
  const auto digits = keep_alive.substr(at + 8);
  const double seconds = number(digits.substr(0, digits.find_first_not_of("0123456789")));
  return static_cast<Micros>(kIdlePart * seconds * 1e6);
}

}  // namespace

OutboundRequest outbound_request_for(const Call& call, const common::Endpoint& to, Micros left,
                                     const OutboundHeaders& headers) {
  constexpr Micros kLeast = 1000;  // a whole millisecond is the least that the header can say
  OutboundRequest request;
  request.to = to;
  request.id = call.id;
  request.body = call.body;
  request.held = call.held;
  request.asks_head = call.method == "HEAD";
  auto& head = request.head;
  head.reserve(384 + call.head.size());
  head.append(call.method).append(" ").append(call.target).append(" HTTP/1.1\r\n").append(call.head);
  net::write_header(head, kDeadline, std::to_string(std::max(kLeast, left) / 1000));
  for (const auto& [name, value] : headers) net::write_header(head, name, value);
  if (!call.body.empty() || call.method == "POST" || call.method == "PUT" || call.method == "PATCH")
    net::write_header(head, "Content-Length", std::to_string(call.body.size()));
  head += "\r\n";
  return request;
}

class Outbound::Line : public std::enable_shared_from_this<Line> {
 public:
  Line(Outbound& all, common::Endpoint place)
      : all_(all),
        place_(std::move(place)),
        socket_(all.strand_),
        limit_(all.strand_),
        exchange_(kAnswerLimits, &all.space_) {}

  void connect(Micros limit) {
    Fault fault;
    socket_.open(net::Tcp::v4(), fault);
    if (!fault) common::watch_for_silence(socket_, kSilence);
    auto self = shared_from_this();
    limit_connect(limit, true);
    socket_.async_connect(common::endpoint_of(place_), [self](Fault failed) {
      if (self->closed_) return;
      if (failed == boost::asio::error::connection_refused) return self->fail(OutboundResult::How::refused);
      if (failed) return self->fail(OutboundResult::How::no_connection);
      self->connected_ = true;
      self->limit_.cancel();
      Fault ignored;
      self->socket_.non_blocking(true, ignored);
      self->wait_read();
      if (self->on_reach_) {
        auto told = std::exchange(self->on_reach_, nullptr);
        if (self->number_ == 0) self->all_.idle(self);
        told(true);
      }
      if (self->number_ != 0) self->write();
    });
  }

  void carry(std::uint64_t number, OutboundRequest request, OnEnd on_end) {
    number_ = number;
    request_ = std::move(request);
    on_end_ = std::move(on_end);
    const std::size_t head = request_.head.size();
    exchange_.begin(request_.id, {head, head + request_.body.size()}, request_.asks_head);
    if (connected_) write();
  }

  // A connection that its other end has closed shows that only when asked.
  bool may_carry(const std::string& id) {
    if (!connected_ || closed_ || !exchange_.may_carry(id)) return false;
    char byte;
    Fault fault;
    socket_.receive(boost::asio::buffer(&byte, 1), net::Socket::message_peek, fault);
    return fault == boost::asio::error::would_block;
  }

  void close() {
    if (std::exchange(closed_, true)) return;
    limit_.cancel();
    Fault ignored;
    socket_.close(ignored);
    on_end_ = nullptr;
    all_.gone(shared_from_this());
  }

  void on_reach(OnReach told) { on_reach_ = std::move(told); }
  Micros idle_until = 0;
  const common::Endpoint& place() const { return place_; }

 private:
  void limit_connect(Micros limit, bool may_wait_on) {
    const Micros due = all_.clock_.now() + limit;
    limit_.expires_after(std::chrono::microseconds(limit));
    limit_.async_wait([self = shared_from_this(), due, may_wait_on](Fault stopped) {
      if (stopped || self->connected_ || self->closed_) return;
      const bool stood_still = self->all_.clock_.now() - due > kStoodStill;
      if (stood_still && may_wait_on) return self->limit_connect(kStoodStill, false);
      self->fail(OutboundResult::How::no_connection);
    });
  }

  void write() {
    while (!exchange_.all_sent()) {
      Fault fault;
      const auto bytes = socket_.write_some(rest(), fault);
      if (fault == boost::asio::error::would_block) {
        auto self = shared_from_this();
        socket_.async_wait(net::Socket::wait_write, [self, n = number_](Fault failed) {
          if (self->closed_ || self->number_ != n) return;
          if (failed) return self->fail(self->exchange_.unanswered());
          self->write();
        });
        return;
      }
      if (fault) {  // not from inside start()
        auto self = shared_from_this();
        boost::asio::post(socket_.get_executor(), [self] { self->fail(self->exchange_.unanswered()); });
        return;
      }
      exchange_.sent(bytes);
    }
  }

  std::array<boost::asio::const_buffer, 2> rest() const {
    const auto& [head, body] = std::tie(request_.head, request_.body);
    const std::size_t sent = exchange_.sent();
    const std::size_t of_head = std::min(sent, head.size());
    const std::size_t of_body = sent - of_head;
    return {boost::asio::buffer(head.data() + of_head, head.size() - of_head),
            boost::asio::buffer(body.data() + of_body, body.size() - of_body)};
  }

  void wait_read() {
    auto self = shared_from_this();
    socket_.async_wait(net::Socket::wait_read, [self](Fault failed) {
      if (self->closed_) return;
      if (failed) return self->fail(self->exchange_.unanswered());
      self->read();
    });
  }

  void read() {
    // Nobody asked: bytes that belong to no request, or the other end's close.
    if (number_ == 0) return close();
    const auto room = exchange_.room();
    if (room.empty()) return fail(exchange_.unanswered());
    Fault fault;
    const auto bytes = socket_.read_some(boost::asio::buffer(room.data(), room.size()), fault);
    if (fault == boost::asio::error::would_block) return wait_read();
    if (fault && fault != boost::asio::error::eof) return fail(exchange_.unanswered());
    follow(fault ? exchange_.ended() : exchange_.arrived(bytes));
  }

  void follow(Exchange::State state) {
    if (state == Exchange::State::failed) return fail(exchange_.unanswered());
    if (state != Exchange::State::answered) return wait_read();
    OutboundResult end = exchange_.take();
    const Micros idle_for = told_idle(exchange_.keep_alive_header());
    auto told = std::move(on_end_);
    all_.out_.erase(number_);
    number_ = 0;
    request_ = {};
    if (exchange_.reusable() && idle_for > 0) {
      idle_until = all_.clock_.now() + idle_for;
      all_.idle(shared_from_this());
      wait_read();
    } else {
      close();
    }
    told(std::move(end));
  }

  void fail(OutboundResult::How how) {
    if (closed_) return;
    auto told = std::move(on_end_);
    auto reached = std::move(on_reach_);
    const auto carried = std::exchange(number_, 0);
    auto self = shared_from_this();
    close();
    if (carried != 0) all_.out_.erase(carried);
    if (reached) reached(false);
    if (told) {
      OutboundResult end;
      end.how = how;
      told(std::move(end));
    }
  }

  Outbound& all_;
  common::Endpoint place_;
  net::Socket socket_;
  net::Timer limit_;
  Exchange exchange_;
  OutboundRequest request_;
  OnEnd on_end_;
  OnReach on_reach_;
  std::uint64_t number_ = 0;
  bool connected_ = false, closed_ = false;
};

Outbound::Outbound(net::Strand strand, const net::Clock& clock, Alarms& alarms, net::BufferSpace& space)
    : strand_(strand), clock_(clock), alarms_(alarms), space_(space) {}

Outbound::~Outbound() = default;

std::uint64_t Outbound::start(OutboundRequest request, OnEnd on_end) {
  LineRef line = idle_line(request.to, request.id);
  if (!line) line = line_to(request.to);
  const auto number = ++last_;
  out_[number] = line;
  line->carry(number, std::move(request), std::move(on_end));
  return number;
}

Outbound::LineRef Outbound::idle_line(const common::Endpoint& place, const std::string& id) {
  const auto found = idle_.find(place);
  if (found == idle_.end()) return nullptr;
  auto& lines = found->second;
  while (!lines.empty()) {
    LineRef line = lines.back();
    lines.pop_back();
    if (line->idle_until > clock_.now() && line->may_carry(id)) return line;
    line->close();
  }
  return nullptr;
}

Outbound::LineRef Outbound::line_to(const common::Endpoint& place) {
  auto line = std::make_shared<Line>(*this, place);
  lines_[line.get()] = line;
  line->connect(kConnect);
  return line;
}

void Outbound::reach(const common::Endpoint& place, Micros limit, OnReach on_reach) {
  auto line = std::make_shared<Line>(*this, place);
  lines_[line.get()] = line;
  line->on_reach(std::move(on_reach));
  line->idle_until = clock_.now() + kIdleUntold;
  line->connect(limit);
}

void Outbound::drop(std::uint64_t number) {
  const auto found = out_.find(number);
  if (found == out_.end()) return;
  const LineRef line = found->second;
  out_.erase(found);
  line->close();
}

void Outbound::forget(const common::Endpoint& place) {
  const auto found = idle_.find(place);
  if (found == idle_.end()) return;
  const auto lines = std::move(found->second);
  idle_.erase(found);
  for (const auto& line : lines) line->close();
}

void Outbound::idle(const LineRef& line) {
  idle_[line->place()].push_back(line);
  if (std::exchange(sweeping_, true)) return;
  alarms_.at(clock_.now() + kSweep, [this] { sweep(); });
}

void Outbound::gone(const LineRef& line) {
  const auto found = idle_.find(line->place());
  if (found != idle_.end()) std::erase(found->second, line);
  lines_.erase(line.get());
}

void Outbound::sweep() {
  sweeping_ = false;
  std::vector<LineRef> old;
  for (const auto& [place, lines] : idle_)
    for (const auto& line : lines)
      if (line->idle_until <= clock_.now()) old.push_back(line);
  for (const auto& line : old) line->close();
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
  if (idle_.empty() || std::exchange(sweeping_, true)) return;
  alarms_.at(clock_.now() + kSweep, [this] { sweep(); });
}

void Outbound::stop() {
  std::vector<LineRef> all;
  for (const auto& [at, line] : lines_) all.push_back(line);
  for (const auto& line : all) line->close();
  out_.clear();
}

}  // namespace woadridge::proxy
