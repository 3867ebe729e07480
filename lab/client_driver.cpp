#include "lab/client_driver.h"

#include <boost/asio/write.hpp>
#include <charconv>

// Last: it defines the words of the coroutines as macros.
// clang-format off
#include <boost/asio/yield.hpp>
// clang-format on

namespace woadridge::lab {

std::optional<RequestId> request_of(std::string_view name) {
  RequestId request = 0;
  const char* end = name.data() + name.size();
  const auto [stop, bad] = std::from_chars(name.data(), end, request, 16);
  if (name.size() != 16 || bad != std::errc() || stop != end) return std::nullopt;
  return request;
}

class ClientDriver::Connection : public std::enable_shared_from_this<Connection>,
                                 private boost::asio::coroutine {
 public:
  explicit Connection(ClientDriver& driver)
      : driver_(driver), socket_(driver.strand_), reader_(net::HttpReader::Side::answers) {}

  void carry(const Wish& wish) {
    wish_ = wish;
    request_ = message(wish);
    if (up_) return write();
    run({});
  }
  void close() {
    if (std::exchange(closed_, true)) return;
    net::Fault ignored;
    socket_.close(ignored);
    driver_.all_.erase(shared_from_this());
    std::erase(driver_.idle_, shared_from_this());
  }

 private:
  std::string message(const Wish& wish) const {
    const Scenario& s = driver_.scenario_;
    std::string text = "POST /api HTTP/1.1\r\nHost: lab\r\n";
    net::write_header(text, "Request-Id", request_name(wish.request));
    net::write_header(text, "Request-Class",
                      s.classes[static_cast<std::size_t>(wish.class_index)].rules.name);
    net::write_header(text, "Tenant", s.tenants[static_cast<std::size_t>(wish.tenant_index)].name);
    net::write_header(text, "Request-Timeout-Ms", std::to_string(wish.time_left / 1000));
    if (wish.key != 0) net::write_header(text, "Idempotency-Key", request_name(wish.key));
    if (wish.hint) net::write_header(text, "Work-Hint", std::to_string(*wish.hint));
    if (wish.repeated) net::write_header(text, "Client-Retry", "1");
    return text + "Content-Length: 16\r\n\r\nsixteen bytes...";
  }

  void run(net::Fault fault) {
    const auto resume = [self = shared_from_this()](net::Fault f) {
      if (!self->closed_) self->run(f);
    };
    reenter(this) {
      yield socket_.async_connect(driver_.address_, resume);
      if (fault) return refused();
      up_ = true;
      socket_.set_option(net::Tcp::no_delay(true), fault);
      socket_.non_blocking(true, fault);
      ++driver_.connections_;
      write();
      while (!closed_) {
        yield socket_.async_wait(net::Socket::wait_read, resume);
        if (!fault) read(fault);
        if (fault && fault != boost::asio::error::would_block) return ended();
      }
    }
  }

  void write() {  // a request is far smaller than the system's buffer
    net::Fault fault;
    const std::size_t sent = socket_.write_some(boost::asio::buffer(request_), fault);
    if (fault || sent < request_.size()) return ended();
    driver_.clients_.taken(wish_.request);
  }

  void read(net::Fault& fault) {
    const auto room = reader_.room();
    if (room.empty()) return ended();
    const std::size_t bytes = socket_.read_some(boost::asio::buffer(room.data(), room.size()), fault);
    if (fault) return;
    reader_.arrived(bytes);
    if (reader_.state() == net::HttpReader::State::failed) return ended();
    if (reader_.state() == net::HttpReader::State::complete) answered();
  }

  void answered() {
    const int status = reader_.status();
    const char kind = status == 200 ? 's' : status == 429 || status == 503 ? 'r' : 'f';
    double seconds = 0;
    const std::string_view wait = reader_.header("Retry-After");
    std::from_chars(wait.data(), wait.data() + wait.size(), seconds);
    const bool genuine = kind != 's' || reader_.body().starts_with(request_name(wish_.request));
    const bool keep = reader_.keep_alive();
    const RequestId request = std::exchange(wish_.request, 0);
    reader_.next();
    if (keep) driver_.idle_.push_back(shared_from_this());
    else close();
    used_ = true;
    driver_.busy_.erase(request);
    driver_.clients_.answered(driver_.now(), request, kind, static_cast<Micros>(seconds * 1e6), genuine);
    driver_.arm();
  }

  void refused() {
    const RequestId request = std::exchange(wish_.request, 0);
    close();
    driver_.busy_.erase(request);
    driver_.clients_.unreachable(driver_.now(), request);
    driver_.arm();
  }

  // Closed with no answer. On a kept connection the close may have crossed the request: it is sent once more.
  void ended() {
    const RequestId request = std::exchange(wish_.request, 0);
    const bool crossed = used_ && reader_.untouched() && request != 0;
    const auto self = shared_from_this();
    close();
    if (request == 0) return;
    driver_.busy_.erase(request);
    if (crossed && !driver_.killed_) {
      Wish again = wish_;
      again.request = request;
      const auto other = std::make_shared<Connection>(driver_);
      driver_.all_.insert(other);
      driver_.busy_[request] = other;
      return other->carry(again);
    }
    driver_.clients_.broken(driver_.now(), request, driver_.killed_);
    driver_.arm();
  }

  ClientDriver& driver_;
  net::Socket socket_;
  net::HttpReader reader_;
  Wish wish_;
  std::string request_;
  bool up_ = false, used_ = false, closed_ = false;
};

ClientDriver::ClientDriver(net::Strand strand, const net::Clock& clock, const Scenario& scenario,
                           DispatcherId dispatcher, Micros begin, net::Address address)
    : strand_(strand),
      clock_(clock),
      scenario_(scenario),
      address_(net::endpoint_of(address)),
      clients_(scenario, dispatcher, begin, *this),
      timer_(strand) {}

ClientDriver::~ClientDriver() = default;

void ClientDriver::run() {
  arm();
}

void ClientDriver::stop() {
  stopped_ = true;
  timer_.cancel();
  const auto all = all_;
  for (const auto& c : all) c->close();
  busy_.clear();
}

void ClientDriver::ask(const Wish& wish) {
  std::shared_ptr<Connection> c;
  if (idle_.empty()) {
    c = std::make_shared<Connection>(*this);
    all_.insert(c);
  } else {
    c = idle_.back();
    idle_.pop_back();
  }
  busy_[wish.request] = c;
  c->carry(wish);
}

void ClientDriver::leave(RequestId request) {
  const auto found = busy_.find(request);
  if (found == busy_.end()) return;
  const auto c = found->second;
  busy_.erase(found);
  c->close();
}

void ClientDriver::arm() {
  if (stopped_ || clients_.next() == INT64_MAX) return;
  timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, clients_.next() - clock_.now())));
  timer_.async_wait([this](net::Fault fault) {
    if (fault || stopped_) return;
    clients_.advance(now());
    arm();
  });
}

}  // namespace woadridge::lab

#include <boost/asio/unyield.hpp>
