#include "lab/fleet_server.h"

#include <sys/socket.h>

#include <boost/asio/write.hpp>

#include "lab/figures.h"

// Last: it defines the words of the coroutines as macros.
// clang-format off
#include <boost/asio/yield.hpp>
// clang-format on

namespace woadridge::lab {
namespace {

constexpr Micros kBeat = 2'000'000;  // the list's empty line while nothing changes
constexpr auto kTricklePause =
    std::chrono::microseconds(300);  // between two bytes of an answer that trickles
constexpr std::string_view kTakenHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view kReturned =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string chunk(std::string_view text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return std::string(size).append(text).append("\r\n");
}

void reset(net::Socket& socket) {  // the other end sees the connection break, not end
  const linger hard{1, 0};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  net::Fault ignored;
  socket.close(ignored);
}

}  // namespace

// A listener that can be shut and opened again at the same address.
class FleetServer::Door : private boost::asio::coroutine {
 public:
  using Taken = std::function<void(net::Socket)>;
  Door(net::Strand strand, std::uint16_t port, Taken taken) : acceptor_(strand), taken_(std::move(taken)) {
    endpoint_ = net::Tcp::endpoint(boost::asio::ip::address_v4::loopback(), port);
    open();
  }
  void open() {
    if (acceptor_.is_open()) return;
    acceptor_.open(endpoint_.protocol());
    acceptor_.set_option(net::Acceptor::reuse_address(true));
    acceptor_.bind(endpoint_);
    acceptor_.listen();
    endpoint_ = acceptor_.local_endpoint();
    accept();
  }
  void shut() {
    net::Fault ignored;
    acceptor_.close(ignored);
  }
  net::Address address() const { return {"127.0.0.1", endpoint_.port()}; }

 private:
  void accept() {
    acceptor_.async_accept([this](net::Fault fault, boost::asio::basic_stream_socket<net::Tcp> raw) {
      if (fault == boost::asio::error::operation_aborted || !acceptor_.is_open()) return;
      if (!fault) {
        net::Socket socket(acceptor_.get_executor());
        socket.assign(net::Tcp::v4(), raw.release());
        taken_(std::move(socket));
      }
      accept();
    });
  }
  net::Acceptor acceptor_;
  net::Tcp::endpoint endpoint_;
  Taken taken_;
};

// What both kinds of connection do: wait for bytes and hand them on, until one side closes. `Self` has
// read(fault) and gone().
template <typename Self>
class ReadLoop : public std::enable_shared_from_this<Self>, private boost::asio::coroutine {
 protected:
  explicit ReadLoop(net::Socket socket) : socket_(std::move(socket)) {}
  void run(net::Fault fault) {
    Self& self = static_cast<Self&>(*this);
    const auto resume = [kept = this->shared_from_this()](net::Fault f) {
      if (!kept->closed_) kept->run(f);
    };
    reenter(this) {
      while (!closed_) {
        yield socket_.async_wait(net::Socket::wait_read, resume);
        if (!fault) self.read(fault);
        if (fault && fault != boost::asio::error::would_block) return self.gone();
      }
    }
  }

  net::Socket socket_;
  net::HttpReader reader_{net::HttpReader::Side::requests};
  bool closed_ = false;
};

// A dispatcher's connection to a worker: one request at a time; what the model says is written in its order.
class FleetServer::WorkerSide : public ReadLoop<WorkerSide> {
 public:
  WorkerSide(FleetServer& server, WorkerIndex worker, net::Socket socket)
      : ReadLoop(std::move(socket)), server_(server), worker_(worker), pause_(server.strand_) {}

  void start() {
    net::Fault ignored;
    socket_.set_option(net::Tcp::no_delay(!server_.scenario_.fleet.small_writes), ignored);
    socket_.non_blocking(true, ignored);
    run({});
  }

  void say(const Note& note) {
    switch (note.said) {
      case Said::connected:
        return;
      case Said::taken:
        return put(std::string(kTakenHead));
      case Said::started:
        return put(chunk(line("started", "")));
      case Said::progress: {
        char share[40];
        std::snprintf(share, sizeof share, ",\"share\":%.4f", note.share);
        return put(chunk(line("running", share)));
      }
      case Said::done: {
        const std::string result =
            ",\"result\":\"" + id_ + " ran at " + server_.fleet_.facts()[worker_].name + "\"";
        return last(chunk(line("done", result)) + std::string(kLastChunk), note.trickled);
      }
      case Said::failed:
        return last(chunk(line("failed", "")) + std::string(kLastChunk), note.trickled);
      case Said::lost:
        return last(chunk(line("lost", "")) + std::string(kLastChunk), note.trickled);
      case Said::returned:
        return last(said_ ? chunk(line("returned", "")) + std::string(kLastChunk) : std::string(kReturned),
                    false);
      case Said::refused:
      case Said::broken:
        return die();
    }
  }

  // What was said since the last event goes out together, unless pieces are to be small.
  void flush() {
    if (closed_ || out_.empty() || trickling_) return;
    const std::string_view first =
        small() ? std::string_view(out_).substr(0, pieces_.front()) : std::string_view(out_);
    net::Fault fault;
    const std::size_t sent = socket_.write_some(boost::asio::buffer(first), fault);
    if (fault && fault != boost::asio::error::would_block) return gone();
    if (!fault) take(sent);
    if (out_.empty()) return written();
    socket_.async_wait(net::Socket::wait_write, [self = shared_from_this()](net::Fault f) {
      if (!f) self->flush();
    });
  }

  void die() {
    if (std::exchange(closed_, true)) return;
    reset(socket_);
    pause_.cancel();
    forget();
  }

 private:
  friend class ReadLoop<WorkerSide>;
  bool small() const { return server_.scenario_.fleet.small_writes && !pieces_.empty(); }
  void put(std::string text) {
    said_ = true;
    pieces_.push_back(text.size());
    out_ += text;
    server_.dirty_.push_back(shared_from_this());
  }
  void last(std::string text, bool trickled) {
    over_ = true;
    if (!trickled) return put(std::move(text));
    trickle_ = std::move(text);
    trickling_ = true;
    trickle_on();
  }
  std::string line(const char* state, const std::string& more) const {
    return "{\"id\":\"" + id_ + "\",\"from\":\"" + server_.fleet_.facts()[worker_].name + "\",\"state\":\"" +
           state + "\"" + more + "}\n";
  }

  void take(std::size_t bytes) {
    out_.erase(0, bytes);
    while (bytes > 0 && !pieces_.empty()) {
      const std::size_t part = std::min(bytes, pieces_.front());
      pieces_.front() -= part;
      bytes -= part;
      if (pieces_.front() == 0) pieces_.pop_front();
    }
  }

  void trickle_on() {
    if (closed_) return;
    if (trickle_.empty()) {
      trickling_ = false;
      return written();
    }
    net::Fault fault;
    socket_.write_some(boost::asio::buffer(trickle_, 1), fault);
    if (fault && fault != boost::asio::error::would_block) return gone();
    if (!fault) trickle_.erase(0, 1);
    pause_.expires_after(kTricklePause);
    pause_.async_wait([self = shared_from_this()](net::Fault f) {
      if (!f) self->trickle_on();
    });
  }

  // The answer is out: the connection is free for the next request.
  void written() {
    if (!over_) return;
    over_ = said_ = busy_ = false;
    pieces_.clear();
    fresh_ = false;
    server_.open_.erase(ref_);
    reader_.next();
    if (reader_.state() == net::HttpReader::State::complete) take_request();
  }

  void read(net::Fault& fault) {
    const auto room = reader_.room();
    if (room.empty()) return die();
    if (reader_.untouched()) first_byte_ = server_.now();
    const std::size_t bytes = socket_.read_some(boost::asio::buffer(room.data(), room.size()), fault);
    if (fault) return;
    reader_.arrived(bytes);
    if (reader_.state() == net::HttpReader::State::failed) return answer(400);
    if (!busy_ && reader_.state() == net::HttpReader::State::complete) take_request();
  }

  void take_request() {
    if (reader_.method() != "POST") return probe();
    id_ = reader_.header("Request-Id");
    const auto facts = server_.facts_(id_, reader_.header("Idempotency-Key"));
    if (!facts) {
      ++server_.strangers_;
      return answer(400);
    }
    busy_ = true;
    Offer offer;
    offer.ref = ref_ = {facts->dispatcher, facts->request, server_.attempts_[facts->request]++};
    offer.key = facts->key;
    offer.class_index = facts->class_index;
    offer.work = facts->work;
    offer.first_byte = first_byte_;
    offer.fresh = fresh_;
    server_.open_[ref_] = shared_from_this();
    server_.fleet_.offer(server_.now(), worker_, offer);
    server_.settle();
  }

  void probe() {
    const bool known = reader_.target() == "/ping";
    answer(!known ? 404 : server_.fleet_.probe(worker_) >= 0 ? 200 : 503);
  }

  void answer(int status) {
    std::string head;
    net::write_answer_head(head, status, {}, 0, true);
    over_ = true;
    put(std::move(head));
    flush();
  }

  // The dispatcher has closed: it gives up what is out.
  void gone() {
    if (std::exchange(closed_, true)) return;
    net::Fault ignored;
    socket_.close(ignored);
    pause_.cancel();
    if (busy_ && !over_) server_.fleet_.close(server_.now(), worker_, ref_);
    forget();
    server_.settle();
  }

  void forget() {
    if (busy_) server_.open_.erase(ref_);
    server_.sides_[worker_].erase(shared_from_this());
  }

  FleetServer& server_;
  WorkerIndex worker_;
  net::Timer pause_;
  AttemptRef ref_;
  std::string id_, out_, trickle_;
  std::deque<std::size_t> pieces_;
  Micros first_byte_ = 0;
  bool fresh_ = true, busy_ = false, said_ = false, over_ = false, trickling_ = false;
};

// A dispatcher's call of the list: the whole of it once, or a watch.
class FleetServer::ListSide : public ReadLoop<ListSide> {
 public:
  ListSide(FleetServer& server, DispatcherId dispatcher, net::Socket socket)
      : ReadLoop(std::move(socket)), server_(server), dispatcher_(dispatcher), beat_(server.strand_) {}

  void start() {
    net::Fault ignored;
    socket_.set_option(net::Tcp::no_delay(true), ignored);
    run({});
  }

  void write(const ListNews& news) {
    if (closed_) return;
    if (news.kind == ListKind::failed) return fail();
    const std::string list = server_.list_json(news);
    if (!watching_) {
      std::string head;
      net::write_answer_head(head, 200, "Content-Type: application/json\r\n", list.size(), true);
      server_.asks_.erase(dispatcher_);
      reader_.next();
      return send(head + list);
    }
    send((std::exchange(begun_, true) ? std::string() : std::string(kTakenHead)) + chunk(list + "\n"));
    beat();
  }

  void close() {
    if (std::exchange(closed_, true)) return;
    beat_.cancel();
    net::Fault ignored;
    socket_.close(ignored);
  }

 private:
  friend class ReadLoop<ListSide>;
  void read(net::Fault& fault) {
    const auto room = reader_.room();
    if (room.empty()) return gone();
    const std::size_t bytes = socket_.read_some(boost::asio::buffer(room.data(), room.size()), fault);
    if (fault) return;
    reader_.arrived(bytes);
    if (reader_.state() != net::HttpReader::State::complete || watching_) return;
    watching_ = reader_.target().find("follow=1") != std::string_view::npos;
    const auto self = shared_from_this();
    if (watching_) {
      server_.close_watch(dispatcher_);
      server_.watches_[dispatcher_] = self;
      server_.fleet_.ask_list(server_.now(), dispatcher_);
    } else if (server_.fleet_.list_up()) {
      server_.asks_[dispatcher_] = self;
      write(server_.fleet_.whole_list());
      server_.books_[dispatcher_].learn(dispatcher_, server_.fleet_.whole_list(), server_.now(),
                                        server_.told_);
    } else {
      fail();
    }
    server_.settle();
  }

  void fail() {
    if (!begun_) {
      std::string head;
      net::write_answer_head(head, 503, {}, 0, false);
      net::Fault ignored;
      boost::asio::write(socket_, boost::asio::buffer(head), ignored);
    }
    gone();
  }

  void gone() {
    const auto self = shared_from_this();
    close();
    const auto mine = server_.watches_.find(dispatcher_);
    if (mine == server_.watches_.end() || mine->second != self) return;
    server_.watches_.erase(mine);
    server_.fleet_.forget_watch(dispatcher_);
  }

  void send(std::string text) {
    queue_.push_back(std::move(text));
    if (queue_.size() == 1) send_next();
  }
  void send_next() {
    boost::asio::async_write(socket_, boost::asio::buffer(queue_.front()),
                             [self = shared_from_this()](net::Fault fault, std::size_t) {
                               if (self->closed_) return;
                               if (fault) return self->gone();
                               self->queue_.pop_front();
                               if (!self->queue_.empty()) self->send_next();
                             });
  }

  void beat() {
    beat_.expires_after(std::chrono::microseconds(kBeat));
    beat_.async_wait([self = shared_from_this()](net::Fault fault) {
      if (fault || self->closed_) return;
      self->send(chunk("\n"));
      self->beat();
    });
  }

  FleetServer& server_;
  DispatcherId dispatcher_;
  net::Timer beat_;
  std::deque<std::string> queue_;
  bool watching_ = false, begun_ = false;
};

FleetServer::FleetServer(net::Strand strand, const net::Clock& clock, const Scenario& scenario, Micros begin,
                         FactsOf facts, int dispatchers, std::uint16_t first_list_port,
                         std::uint16_t first_worker_port)
    : strand_(strand),
      clock_(clock),
      scenario_(scenario),
      facts_(std::move(facts)),
      fleet_(scenario, begin, *this),
      timer_(strand),
      books_(static_cast<std::size_t>(dispatchers),
             ToldBook(static_cast<std::size_t>(scenario.fleet.workers))) {
  const auto port = [](std::uint16_t first, std::size_t i) {
    return first == 0 ? std::uint16_t{0} : static_cast<std::uint16_t>(first + i);
  };
  for (std::size_t w = 0; w < static_cast<std::size_t>(scenario.fleet.workers); ++w)
    worker_doors_.push_back(
        std::make_unique<Door>(strand, port(first_worker_port, w), [this, w](net::Socket socket) {
          const auto side =
              std::make_shared<WorkerSide>(*this, static_cast<WorkerIndex>(w), std::move(socket));
          sides_[static_cast<WorkerIndex>(w)].insert(side);
          side->start();
        }));
  for (int d = 0; d < dispatchers; ++d)
    for (int i = 0; i < kListDoors; ++i)
      list_doors_.push_back(std::make_unique<Door>(
          strand, port(first_list_port, static_cast<std::size_t>(d * kListDoors + i)),
          [this, d](net::Socket socket) {
            std::make_shared<ListSide>(*this, static_cast<DispatcherId>(d), std::move(socket))->start();
          }));
}

FleetServer::~FleetServer() = default;

void FleetServer::run() {
  running_ = true;
  arm();
}

void FleetServer::stop() {
  stopped_ = true;
  timer_.cancel();
  for (auto& door : worker_doors_) door->shut();
  for (auto& door : list_doors_) door->shut();
  const auto sides = std::exchange(sides_, {});
  for (const auto& [w, all] : sides)
    for (const auto& side : all) side->die();
  for (const auto& [d, watch] : std::exchange(watches_, {})) watch->close();
  for (const auto& [d, ask] : std::exchange(asks_, {})) ask->close();
  open_.clear();
  sides_.clear();
}

net::Address FleetServer::list_address(DispatcherId d, int door) const {
  return list_doors_[static_cast<std::size_t>(d) * kListDoors + static_cast<std::size_t>(door)]->address();
}

net::Address FleetServer::worker_address(WorkerIndex w) const {
  return worker_doors_[w]->address();
}

Micros FleetServer::now() {
  return last_ = std::max(last_, clock_.now());
}

void FleetServer::arm() {
  if (!running_ || stopped_ || fleet_.next() == INT64_MAX) return;
  timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, fleet_.next() - clock_.now())));
  timer_.async_wait([this](net::Fault fault) {
    if (fault || stopped_) return;
    fleet_.advance(now());
    settle();
  });
}

void FleetServer::settle() {
  while (!dirty_.empty()) {
    const auto sides = std::exchange(dirty_, {});
    for (const auto& side : sides) side->flush();
  }
  arm();
}

void FleetServer::note(const Note& note) {
  const auto found = open_.find(note.ref);
  if (found == open_.end()) return;
  const auto side = found->second;
  side->say(note);
}

void FleetServer::news(DispatcherId to, const ListNews& news, Micros after) {
  auto timer = std::make_shared<net::Timer>(strand_);
  timer->expires_after(std::chrono::microseconds(after));
  timer->async_wait([this, timer, to, news](net::Fault fault) {
    if (!fault && !stopped_) write_news(to, news);
  });
}

void FleetServer::write_news(DispatcherId to, const ListNews& news) {
  const auto watch = watches_.find(to);
  if (watch == watches_.end()) return;
  books_[to].learn(to, news, now(), told_);
  const auto side = watch->second;
  side->write(news);
}

void FleetServer::close_watch(DispatcherId d) {
  const auto old = watches_.find(d);
  if (old == watches_.end()) return;
  const auto side = old->second;
  watches_.erase(old);
  fleet_.forget_watch(d);
  side->close();
}

void FleetServer::door(WorkerIndex worker, bool open, bool died) {
  if (open) worker_doors_[worker]->open();
  else worker_doors_[worker]->shut();
  if (!died) return;
  const auto sides = sides_[worker];
  for (const auto& side : sides) side->die();
}

std::string FleetServer::list_json(const ListNews& news) const {
  Json list{{"index", news.version}, {"snapshot", news.kind == ListKind::full}};
  list["endpoints"] = Json::array();
  for (std::size_t i = 0; i < news.entries->size(); ++i) {
    const WorkerInfo& info = (*news.entries)[i];
    const char* status = info.phase == Phase::serving    ? "ready"
                         : info.phase == Phase::draining ? "draining"
                                                         : "gone";
    list["endpoints"].push_back({{"name", info.id},
                                 {"address", net::to_text(worker_address((*news.workers)[i]))},
                                 {"zone", info.zone},
                                 {"type", info.kind},
                                 {"group", info.group},
                                 {"status", status},
                                 {"weight", info.size},
                                 {"since_ms", info.started / 1000}});
  }
  return list.dump();
}

}  // namespace woadridge::lab

#include <boost/asio/unyield.hpp>
