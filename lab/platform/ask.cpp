#include "lab/platform/ask.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>
#include <thread>

namespace woadridge::lab::platform {
namespace {

constexpr Millis kSilence{1000};  // of a core machine: another is asked then
constexpr Millis kFirstPause{50}, kLongestPause{400};
constexpr int kRedirects = 2;
constexpr net::HttpLimits kLimits{16 * 1024, 8 * 1024 * 1024};

double seconds(std::string_view text) {
  double value = 0;
  const auto [stop, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
  return bad == std::errc() && stop == text.data() + text.size() && value > 0 ? value : 0;
}

std::string bytes_of(const Endpoint& to, const Question& question) {
  std::string bytes = question.method + " " + question.target + " HTTP/1.1\r\n";
  net::write_header(bytes, "Host", question.host.empty() ? text_of(to) : question.host);
  net::write_header(bytes, "Connection", "close");
  for (const auto& [name, value] : question.headers) net::write_header(bytes, name, value);
  if (question.method != "GET")
    net::write_header(bytes, "Content-Length", std::to_string(question.body.size()));
  return bytes + "\r\n" + question.body;
}

// One exchange on a loop that is its own.
class Exchange {
 public:
  Exchange(const Endpoint& to, std::string bytes)
      : strand_(io_.get_executor()), socket_(strand_), to_(to), bytes_(std::move(bytes)) {}

  Reply run(Millis limit) {
    socket_.async_connect(to_, [this](net::Fault fault) {
      if (fault) return;
      read();
      boost::asio::async_write(socket_, boost::asio::buffer(bytes_), [](net::Fault, std::size_t) {});
    });
    io_.run_for(limit);
    return std::move(reply_);
  }

 private:
  void read() {
    const auto room = reader_.room();
    if (room.empty()) return;
    socket_.async_read_some(boost::asio::buffer(room.data(), room.size()),
                            [this](net::Fault fault, std::size_t bytes) {
                              if (fault) reader_.ended();
                              else reader_.arrived(bytes);
                              if (reader_.state() == net::HttpReader::State::complete) return take();
                              if (!fault && reader_.state() != net::HttpReader::State::failed) read();
                            });
  }

  void take() {
    if (reader_.status() < 200) {
      reader_.next();
      return reader_.state() == net::HttpReader::State::complete ? take() : read();
    }
    reply_.status = reader_.status();
    reply_.body = reader_.body();
    reply_.attempt = reader_.header("X-Woadridge-Attempt-Id");
    reply_.seal = reader_.header("X-Woadridge-Instance-Seal");
    reply_.location = reader_.header("Location");
    reply_.retry_after_s = seconds(reader_.header("Retry-After"));
    io_.stop();
  }

  boost::asio::io_context io_{1};
  net::Strand strand_;
  net::Socket socket_;
  Endpoint to_;
  std::string bytes_;
  net::HttpReader reader_{net::HttpReader::Side::answers, kLimits};
  Reply reply_;
};

// "http://10.0.0.4:8080/path"
std::optional<std::pair<Endpoint, std::string>> place_of(const std::string& location) {
  constexpr std::string_view kScheme = "http://";
  if (!location.starts_with(kScheme)) return std::nullopt;
  const auto slash = location.find('/', kScheme.size());
  try {
    return std::pair{endpoint_at(location.substr(kScheme.size(), slash - kScheme.size())),
                     slash == std::string::npos ? std::string("/") : location.substr(slash)};
  } catch (const std::runtime_error&) {
    return std::nullopt;
  }
}

Reply follow(Endpoint to, Question question, Millis limit) {
  Reply reply = ask(to, question, limit);
  for (int at = 0; at < kRedirects && reply.status == 307; ++at) {
    const auto next = place_of(reply.location);
    if (!next) break;
    question.target = next->second;
    reply = ask(next->first, question, limit);
  }
  return reply;
}

bool clear(int status) {
  return status != 0 && status < 500 && status != 307 && status != 408 && status != 429;
}

}  // namespace

Reply ask(const Endpoint& to, const Question& question, Millis limit) {
  return Exchange(to, bytes_of(to, question)).run(limit);
}

Sent Operator::put(const std::string& configuration, Millis limit) const {
  return until_clear({"PUT", "/api/configuration", {}, {{"Content-Type", "application/json"}}, configuration},
                     limit);
}

Sent Operator::get(Millis limit) const {
  return until_clear({"GET", "/api/configuration", {}, {}, {}}, limit);
}

Sent Operator::until_clear(const Question& question, Millis limit) const {
  const Moment began = std::chrono::steady_clock::now();
  Sent sent;
  for (Millis pause = kFirstPause;; pause = std::min(2 * pause, kLongestPause)) {
    const auto at = static_cast<std::size_t>(sent.tries++) % core_.size();
    auto reply = follow(core_[at], question, kSilence);
    sent.status = reply.status;
    sent.body = std::move(reply.body);
    const auto gone = std::chrono::steady_clock::now() - began;
    sent.took = std::chrono::duration_cast<Millis>(gone);
    if (clear(sent.status) || gone + pause >= limit || stop_) return sent;
    std::this_thread::sleep_for(pause);
  }
}

}  // namespace woadridge::lab::platform
