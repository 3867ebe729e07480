#include "lab/platform/soak/clients.h"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace woadridge::lab::platform::soak {
namespace {

constexpr net::HttpLimits kLimits{16 * 1024, 1024 * 1024};
constexpr Micros kPatience = 300'000;  // beyond the deadline that the request names
constexpr int kMostTries = 3;
constexpr std::size_t kPieces = 4;  // of a request that is sent so
constexpr Micros kBetweenPieces = 15'000;
constexpr Micros kBreaksOffAfter = 40'000;
constexpr std::uint64_t kOneIn = 100;  // requests of each other manner than prompt
constexpr double kMicrosPerSecond = 1e6;

double seconds_in(std::string_view text) {
  double value = 0;
  const auto [stop, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
  return bad == std::errc() && stop == text.data() + text.size() && value > 0 ? value : 0;
}

}  // namespace

// One connection, one request at a time.
class Clients::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Clients& owner, int edge)
      : owner_(owner), edge_(edge), socket_(owner.strand_), limit_(owner.strand_) {}

  void send(Open open, const std::string& bytes, Micros patience) {
    open_ = std::move(open);
    busy_ = true;
    bytes_ = bytes;
    limit_.expires_after(std::chrono::microseconds(patience));
    limit_.async_wait([self = shared_from_this(), turn = ++turn_](net::Fault stopped) {
      if (stopped || turn != self->turn_ || !self->busy_) return;
      self->open_.attempt.given_up = true;
      self->close();
    });
    if (up_) return write();
    socket_.async_connect(owner_.fronts_[static_cast<std::size_t>(edge_)],
                          [self = shared_from_this()](net::Fault fault) {
                            if (self->closed_) return;
                            if (fault) return self->close();
                            self->up_ = true;
                            net::Fault ignored;
                            self->socket_.set_option(net::Tcp::no_delay(true), ignored);
                            self->write();
                            self->read();
                          });
  }

  bool usable() const { return up_ && !closed_ && !busy_; }
  int edge() const { return edge_; }
  double retry_after_s() const { return retry_after_s_; }

  void close() {
    if (std::exchange(closed_, true)) return;
    limit_.cancel();
    net::Fault ignored;
    socket_.close(ignored);
    if (std::exchange(busy_, false)) owner_.ended(shared_from_this(), std::move(open_));
  }

 private:
  void write() {
    if (open_.manner == Manner::in_pieces) return write_piece(0);
    write_rest(0);
    if (open_.manner == Manner::breaks_off) break_off_later();
  }

  void write_piece(std::size_t from) {
    const auto size = std::min(bytes_.size() - from, bytes_.size() / kPieces + 1);
    if (from + size >= bytes_.size()) return write_rest(from);
    boost::asio::async_write(
        socket_, boost::asio::buffer(bytes_.data() + from, size),
        [self = shared_from_this(), turn = turn_, next = from + size](net::Fault fault, std::size_t) {
          if (fault || !self->carries(turn)) return;
          self->after(kBetweenPieces, [self, next] { self->write_piece(next); });
        });
  }

  void write_rest(std::size_t from) {
    boost::asio::async_write(socket_, boost::asio::buffer(bytes_.data() + from, bytes_.size() - from),
                             [self = shared_from_this(), turn = turn_](net::Fault fault, std::size_t) {
                               if (fault || !self->carries(turn)) return;
                               self->open_.attempt.last_byte = self->owner_.clock_.now();
                             });
  }

  // The other end sees a reset.
  void break_off_later() {
    after(kBreaksOffAfter, [this] {
      const linger hard{1, 0};
      ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      open_.attempt.given_up = true;
      close();
    });
  }

  bool carries(std::uint64_t turn) const { return busy_ && !closed_ && turn_ == turn; }

  // Unless the request has ended by then.
  void after(Micros span, std::function<void()> act) {
    auto timer = std::make_shared<net::Timer>(owner_.strand_, std::chrono::microseconds(span));
    timer->async_wait([self = shared_from_this(), timer, turn = turn_, act = std::move(act)](net::Fault) {
      if (self->carries(turn)) act();
    });
  }

  void read() {
    const auto room = reader_.room();
    if (room.empty()) return close();
    socket_.async_read_some(boost::asio::buffer(room.data(), room.size()),
                            [self = shared_from_this()](net::Fault fault, std::size_t bytes) {
                              if (self->closed_) return;
                              if (fault) self->reader_.ended();
                              else self->reader_.arrived(bytes);
                              if (self->busy_ && self->reader_.state() == net::HttpReader::State::complete)
                                return self->take(!fault);
                              if (fault || self->reader_.state() == net::HttpReader::State::failed)
                                return self->close();
                              self->read();
                            });
  }

  void take(bool connected) {
    Attempt& attempt = open_.attempt;
    attempt.status = reader_.status();
    const auto seal = std::string(reader_.header(kSeal));
    retry_after_s_ = seconds_in(reader_.header("Retry-After"));
    if (!seal.empty()) {
      const auto body = std::string(reader_.body());
      const auto said = nlohmann::json::parse(body, nullptr, false);
      if (said.is_object()) {
        attempt.ran_service = said.value("function", "");
        attempt.sealed = seal == seal_of(said.value("instance", ""), attempt.id, body);
      }
    }
    const bool keeps = connected && reader_.keep_alive();
    reader_.next();
    limit_.cancel();
    busy_ = false;
    const auto self = shared_from_this();
    owner_.ended(self, std::move(open_));
    if (!keeps) return close();
    read();
  }

  Clients& owner_;
  int edge_;
  net::Socket socket_;
  net::Timer limit_;
  net::HttpReader reader_{net::HttpReader::Side::answers, kLimits};
  Open open_;
  std::string bytes_;
  double retry_after_s_ = 0;
  std::uint64_t turn_ = 0;
  bool up_ = false, busy_ = false, closed_ = false;
};

Clients::Clients(ClientOptions options, std::vector<Endpoint> fronts)
    : options_(std::move(options)), fronts_(std::move(fronts)), random_(options_.seed) {}

Clients::~Clients() {
  if (thread_.joinable()) stop();
}

void Clients::start() {
  begun_ = clock_.now();
  boost::asio::post(strand_, [this] {
    arrive();
    probe_next();
  });
  thread_ = std::thread([this] {
    const auto work = boost::asio::make_work_guard(io_);
    io_.run();
  });
}

std::vector<Attempt> Clients::stop() {
  boost::asio::post(strand_, [this] {
    stopping_ = true;
    arrivals_.cancel();
    probes_.cancel();
    if (open_ == 0) io_.stop();
  });
  thread_.join();
  return std::move(seen_);
}

void Clients::probe(std::vector<std::string> prefixes) {
  boost::asio::post(
      strand_, [this, prefixes = std::move(prefixes)]() mutable { probe_prefixes_ = std::move(prefixes); });
}

double Clients::rate_now() const {
  const Millis at((clock_.now() - begun_) / 1000);
  double rate = options_.per_s;
  for (const auto& burst : options_.bursts)
    if (at >= burst.from && at < burst.to) rate *= burst.times;
  return rate;
}

// The first route gets most, the others ever less.
std::size_t Clients::draw_route() {
  const double place = static_cast<double>(draw(1 << 20)) / (1 << 20);
  const auto count = static_cast<double>(options_.routes.size());
  return std::min(options_.routes.size() - 1, static_cast<std::size_t>(count * std::pow(place, 3)));
}

Clients::Manner Clients::draw_manner() {
  const auto lot = draw(kOneIn);
  if (lot == 0) return Manner::in_pieces;
  if (lot == 1) return Manner::breaks_off;
  return Manner::prompt;
}

void Clients::arrive() {
  if (stopping_) return;
  const double chance = static_cast<double>(1 + draw(1 << 20)) / ((1 << 20) + 1);
  const double gap = -std::log(chance) / rate_now() * kMicrosPerSecond;
  arrivals_.expires_after(std::chrono::microseconds(static_cast<Micros>(gap)));
  arrivals_.async_wait([this](net::Fault stopped) {
    if (stopped || stopping_) return;
    const auto& route = options_.routes[draw_route()];
    Open open;
    open.attempt.edge = static_cast<int>(draw(fronts_.size()));
    open.attempt.route = route.prefix;
    open.attempt.repeatable = route.repeatable;
    open.deadline = route.deadline;
    open.manner = draw_manner();
    open.first_sent = clock_.now();
    send(std::move(open), false);
    arrive();
  });
}

void Clients::probe_next() {
  if (stopping_) return;
  const auto gap = options_.probe_every / static_cast<Micros>(fronts_.size());
  probes_.expires_after(std::chrono::microseconds(gap));
  probes_.async_wait([this](net::Fault stopped) {
    if (stopped || stopping_) return;
    const int edge = static_cast<int>(probe_at_++ % fronts_.size());
    for (const auto& prefix : probe_prefixes_) {
      Open open;
      open.attempt.edge = edge;
      open.attempt.route = prefix;
      open.attempt.repeatable = true;
      open.first_sent = clock_.now();
      open.probes = true;
      send(std::move(open), false);
    }
    probe_next();
  });
}

void Clients::send(Open open, bool fresh_connection) {
  Attempt& attempt = open.attempt;
  attempt.id = "s" + std::to_string(options_.seed) + "-" + std::to_string(++numbers_);
  attempt.path = attempt.route + "x" + std::to_string(numbers_);
  attempt.sent = clock_.now();
  const Micros left = open.deadline - (attempt.sent - open.first_sent);
  std::string bytes = (attempt.repeatable ? "GET " : "POST ") + attempt.path + " HTTP/1.1\r\n";
  net::write_header(bytes, "Host", options_.host);
  net::write_header(bytes, kAttemptId, attempt.id);
  net::write_header(bytes, kDeadlineMs, std::to_string(left / 1000));
  if (!attempt.repeatable) net::write_header(bytes, "Content-Length", "5");
  bytes += attempt.repeatable ? "\r\n" : "\r\norder";
  ConnectionRef connection;
  auto& idle = idle_[attempt.edge];
  while (!fresh_connection && !connection && !idle.empty()) {
    if (idle.back()->usable()) connection = idle.back();
    idle.pop_back();
  }
  if (!connection) connection = std::make_shared<Connection>(*this, attempt.edge);
  ++open_;
  connection->send(std::move(open), bytes, left + kPatience);
}

void Clients::ended(const ConnectionRef& connection, Open open) {
  --open_;
  open.attempt.ended = clock_.now();
  if (connection->usable()) idle_[connection->edge()].push_back(connection);
  maybe_again(open, connection->retry_after_s());
  seen_.push_back(std::move(open.attempt));
  if (stopping_ && open_ == 0) io_.stop();
}

void Clients::maybe_again(const Open& open, double retry_after_s) {
  const Attempt& attempt = open.attempt;
  const bool promised = attempt.status == 503 || attempt.status == 429;
  const bool failed = attempt.status == 0 || attempt.status >= 500;
  const bool may = promised || (failed && attempt.repeatable);
  if (!may || open.probes || attempt.given_up || stopping_ || open.tries >= kMostTries) return;
  const Micros left = open.first_sent + open.deadline - clock_.now();
  const auto pause = std::min(static_cast<Micros>(retry_after_s * kMicrosPerSecond), left / 3);
  if (left <= 0) return;
  Open again;
  again.attempt.edge = static_cast<int>(draw(fronts_.size()));
  again.attempt.route = attempt.route;
  again.attempt.repeatable = attempt.repeatable;
  again.first_sent = open.first_sent;
  again.deadline = open.deadline;
  again.tries = open.tries + 1;
  const auto timer = std::make_shared<net::Timer>(strand_);
  timer->expires_after(std::chrono::microseconds(std::max<Micros>(pause, 1000)));
  timer->async_wait([this, timer, again = std::move(again)](net::Fault stopped) mutable {
    if (!stopped && !stopping_) send(std::move(again), true);
  });
}

}  // namespace woadridge::lab::platform::soak
