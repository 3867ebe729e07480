#include "lab/chaos/stand_ins.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <deque>
#include <nlohmann/json.hpp>

#include "net/listener.h"

namespace woadridge::lab {
namespace {

constexpr auto kBeat = std::chrono::seconds(2);

std::string chunk(const std::string& text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

std::string header(const std::string& head, const std::string& name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const auto from = at + name.size() + 4;
  return head.substr(from, head.find("\r\n", from) - from);
}

}  // namespace

class StandInDoor {
 public:
  StandInDoor(net::Strand strand, std::function<void(net::Socket)> take)
      : listener_(
            strand, [] { return true; }, std::move(take)) {
    listener_.open({"127.0.0.1", 0});
  }
  std::uint16_t port() const { return listener_.port(); }
  void close() { listener_.close(); }

 private:
  net::Listener listener_;
};

// One connection, of a watcher or of a prober.
class StandIns::Call : public std::enable_shared_from_this<Call> {
 public:
  Call(StandIns& all, int worker, net::Socket socket)
      : all_(all), worker_(worker), socket_(std::move(socket)), timer_(all.strand_) {}

  void read() {
    socket_.async_read_some(boost::asio::buffer(bytes_),
                            [self = shared_from_this()](net::Fault f, std::size_t n) {
                              if (self->closed_) return;
                              if (f) return self->end();
                              self->head_.append(self->bytes_.data(), n);
                              for (auto at = self->head_.find("\r\n\r\n"); at != std::string::npos;
                                   at = self->head_.find("\r\n\r\n")) {
                                self->answer(self->head_.substr(0, at + 2));
                                self->head_.erase(0, at + 4);
                              }
                              self->read();
                            });
  }
  void say(std::string text) {
    out_.push_back(std::move(text));
    if (out_.size() == 1) write();
  }
  bool watches() const { return watches_; }
  void close() {
    closed_ = true;
    net::Fault ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  void answer(const std::string& head) {
    if (worker_ >= 0) return say(all_.answer_probe(worker_, head));
    ++all_.calls_;
    const Micros now = all_.clock_.now();
    all_.call_times_.emplace_back(now, 1);
    all_.busy_until_ = std::max(now, all_.busy_until_) + all_.call_takes_;
    timer_.expires_after(std::chrono::microseconds(all_.busy_until_ - now));
    timer_.async_wait([self = shared_from_this()](net::Fault f) {
      if (f || self->closed_) return;
      self->watches_ = true;
      self->say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                chunk(self->all_.list(true, -1) + "\n"));
    });
  }
  void write() {
    boost::asio::async_write(socket_, boost::asio::buffer(out_.front()),
                             [self = shared_from_this()](net::Fault f, std::size_t) {
                               if (self->closed_) return;
                               if (f) return self->end();
                               self->out_.pop_front();
                               if (!self->out_.empty()) self->write();
                             });
  }
  void end() {
    close();
    all_.open_.erase(shared_from_this());
  }

  StandIns& all_;
  const int worker_;  // -1: discovery
  net::Socket socket_;
  net::Timer timer_;
  std::array<char, 4096> bytes_{};
  std::string head_;
  std::deque<std::string> out_;
  bool watches_ = false, closed_ = false;
};

StandIns::StandIns(net::Strand strand, int workers, int zones, Micros call_takes)
    : strand_(strand),
      workers_(workers),
      zones_(zones),
      call_takes_(call_takes),
      fences_(static_cast<std::size_t>(workers)),
      beat_(strand) {
  for (int d = -1; d < workers; ++d)
    doors_.push_back(std::make_unique<StandInDoor>(strand, [this, d](net::Socket socket) {
      const auto call = std::make_shared<Call>(*this, d, std::move(socket));
      open_.insert(call);
      call->read();
    }));
}

StandIns::~StandIns() {
  stop();
}

net::Address StandIns::discovery() const {
  return {"127.0.0.1", doors_.front()->port()};
}

void StandIns::run() {
  beat_.expires_after(kBeat);
  beat_.async_wait([this](net::Fault f) {
    if (f || stopped_) return;
    for (const auto& call : std::set<std::shared_ptr<Call>>(open_))
      if (call->watches()) call->say(chunk("\n"));
    run();
  });
}

void StandIns::stop() {
  if (std::exchange(stopped_, true)) return;
  beat_.cancel();
  for (const auto& door : doors_) door->close();
  for (const auto& call : open_) call->close();
  open_.clear();
}

std::string StandIns::entry(int w) const {
  const nlohmann::json e{
      {"name", "w" + std::to_string(w)},
      {"address", "127.0.0.1:" + std::to_string(doors_[static_cast<std::size_t>(w) + 1]->port())},
      {"zone", "z" + std::to_string(w % zones_)},
      {"type", "box"},
      {"group", w},
      {"status", draining_.contains(w) ? "draining" : "ready"},
      {"weight", 1.0},
      {"since_ms", 0}};
  return e.dump();
}

std::string StandIns::list(bool whole, int only) const {
  std::string entries;
  for (int w = 0; w < workers_; ++w)
    if (whole || w == only) entries += (entries.empty() ? "" : ",") + entry(w);
  return "{\"index\":" + std::to_string(version_) + ",\"snapshot\":" + (whole ? "true" : "false") +
         ",\"endpoints\":[" + entries + "]}";
}

void StandIns::change() {
  const int w = static_cast<int>(version_ % workers_);
  if (!draining_.insert(w).second) draining_.erase(w);
  ++version_;
  const std::string line = chunk(list(false, w) + "\n");
  for (const auto& call : std::set<std::shared_ptr<Call>>(open_))
    if (call->watches()) call->say(line);
}

// A receiver: it keeps the highest number that it has met and refuses what is lower.
std::string StandIns::answer_probe(int worker, const std::string& head) {
  ChaosAct act{"worker " + std::to_string(worker), header(head, "Duty"), header(head, "Duty-Holder"), 0,
               true};
  const std::string number = header(head, "Duty-Number");
  if (!number.empty()) {
    act.number = std::stoull(number);
    auto& highest = fences_[static_cast<std::size_t>(worker)][act.duty];
    act.taken = act.number >= highest;
    highest = std::max(highest, act.number);
    acts_.push_back(act);
  }
  return std::string(act.taken ? "HTTP/1.1 200 OK" : "HTTP/1.1 503 Service Unavailable") +
         "\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace woadridge::lab
