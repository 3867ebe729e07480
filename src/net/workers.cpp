#include "net/workers.h"

#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <algorithm>

#include "net/json.h"

// Last: it defines the words of the coroutines as macros.
// clang-format off
#include <boost/asio/yield.hpp>
// clang-format on

namespace woadridge::net {
namespace {

// Bytes of a line not yet used: a result of 64 KiB, each byte as an escape of six, and what stands round it.
constexpr std::size_t kLongestLine = 6 * 64 * 1024 + 4096;
// Part of the workers' idle limit after which a connection is dropped here: a request that crosses their
// close ends as a reset, which costs a keyed job its freedom.
constexpr double kIdlePart = 0.7;

}  // namespace

Result result_of(const AttemptEnd& end) {
  if (end.last == LastLine::done) return Result::ok;
  if (end.last == LastLine::failed) return Result::error;
  if (end.last == LastLine::returned) return Result::full;
  if (end.last == LastLine::lost) return Result::broken;
  if (end.reached < Reached::all_written) return Result::no_connection;
  if ((end.status == 503 || end.status == 504) && end.not_started) return Result::full;
  if (end.status >= 400 && end.status < 500 && end.status != 408 && end.status != 429)
    return Result::rejected;
  if (end.status != 0 && end.status != 200) return Result::error;
  return Result::broken;
}

// ---- a connection ----

WorkerConnection::WorkerConnection(WorkerPool& pool, WorkerId worker, Tcp::endpoint peer)
    : pool_(pool),
      worker_(std::move(worker)),
      peer_(std::move(peer)),
      socket_(pool.strand_),
      connect_limit_(pool.strand_),
      reader_(HttpReader::Side::answers, {16 * 1024, kLongestLine}, &pool_.space_) {}

// Whatever goes wrong with one connection ends that connection alone.
template <typename Step>
void WorkerConnection::guarded(Step step) {
  if (closed_) return;
  try {
    step();
  } catch (const std::exception& fault) {
    spdlog::warn("connection to worker {} given up: {}", worker_, fault.what());
    broke();
  }
}

void WorkerConnection::carry(AttemptKey key, const WorkerRequest& request) {
  task_ = Task::job;
  key_ = key;
  request_id_ = request.request_id;
  body_ = request.body;
  body_held_ = request.held;
  head_.assign(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  write_header(head_, "Host", peer_.address().to_string() + ":" + std::to_string(peer_.port()));
  write_header(head_, "Request-Id", request.request_id);
  write_header(head_, "Request-Timeout-Ms", std::to_string(request.timeout_ms));
  if (!request.idempotency_key.empty()) write_header(head_, "Idempotency-Key", request.idempotency_key);
  write_header(head_, "Content-Length", std::to_string(body_.size()));
  head_.append("\r\n");
  begin();
}

void WorkerConnection::probe(const std::string& headers) {
  task_ = Task::probe;
  probe_sent_ = pool_.clock_.now();
  body_ = {};
  head_ = "GET /ping HTTP/1.1\r\n";
  write_header(head_, "Host", peer_.address().to_string() + ":" + std::to_string(peer_.port()));
  head_.append(headers).append("\r\n");
  begin();
}

void WorkerConnection::begin() {
  end_ = {};
  sent_ = 0;
  status_seen_ = false;
  answered_ = false;
  if (connected_) {
    end_.reached = Reached::connected;
    guarded([this] { write(); });
  } else {
    guarded([this] { run({}); });
  }
}

void WorkerConnection::run(Fault fault) {
  const auto resume = [self = shared_from_this()](Fault f) { self->guarded([&] { self->run(f); }); };
  reenter(this) {
    connect();
    yield socket_.async_connect(peer_, resume);
    connect_limit_.cancel();
    if (fault) return broke();
    connected_ = true;
    socket_.set_option(Tcp::no_delay(true));
    socket_.non_blocking(true);
    end_.reached = Reached::connected;
    write();
    while (!closed_) {
      yield socket_.async_wait(Socket::wait_read, resume);
      if (!fault) read(fault);
      if (fault) return ended();
    }
  }
}

void WorkerConnection::connect() {
  socket_.open(peer_.protocol());
  connect_limit_.expires_after(std::chrono::microseconds(pool_.connect_timeout_));
  connect_limit_.async_wait([self = shared_from_this()](Fault fault) {
    if (!fault && !self->connected_) self->guarded([&] { self->broke(); });
  });
}

// What the system takes is counted at once: were the count left to a later callback, a close that is read
// before it would pass for one before the last byte, and claim that the job never ran.
void WorkerConnection::write() {
  const std::size_t whole = head_.size() + body_.size();
  Fault fault;
  while (!fault && sent_ < whole) sent_ += socket_.write_some(unsent(), fault);
  if (fault == boost::asio::error::would_block) {
    return socket_.async_wait(Socket::wait_write, [self = shared_from_this()](Fault cancelled) {
      if (!cancelled) self->guarded([&] { self->write(); });
    });
  }
  if (sent_ < whole) return broke();
  end_.reached = std::max(end_.reached, Reached::all_written);
  if (task_ == Task::job) pool_.events_.job_written(key_);
  body_held_.reset();
  body_ = {};
  if (reader_.state() != HttpReader::State::head) digest();
}

std::array<boost::asio::const_buffer, 2> WorkerConnection::unsent() const {
  if (sent_ < head_.size())
    return {boost::asio::buffer(head_.data() + sent_, head_.size() - sent_), boost::asio::buffer(body_)};
  const std::size_t gone = sent_ - head_.size();
  return {boost::asio::buffer(body_.substr(gone)), boost::asio::const_buffer()};
}

void WorkerConnection::read(Fault& fault) {
  const auto room = reader_.room();
  if (room.empty()) return broke();  // a line longer than any that we know, or no space
  const std::size_t bytes = socket_.read_some(boost::asio::buffer(room.data(), room.size()), fault);
  if (fault == boost::asio::error::would_block) fault = {};
  if (fault || bytes == 0) return;
  if (idle()) return broke();  // nobody asked: not a connection to trust
  reader_.arrived(bytes);
  digest();
  if (!closed_ && task_ != Task::none) acknowledge();
}

// Guards against workers that write small pieces and hold each back until the one before is acknowledged
// (Nagle's algorithm): with the system's delayed acknowledgement a job of 1 ms took 42. The system forgets
// the option by itself, so it is set again while more is to come.
void WorkerConnection::acknowledge() {
  const int yes = 1;
  ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_QUICKACK, &yes, sizeof yes);
}

void WorkerConnection::ended() {
  reader_.ended();
  if (task_ != Task::none) digest();
  broke();
}

void WorkerConnection::digest() {
  if (reader_.state() == HttpReader::State::failed) return broke();
  if (reader_.state() == HttpReader::State::head || end_.reached < Reached::all_written) return;
  if (!status_seen_) digest_status();
  if (task_ == Task::job && !answered_) digest_lines();
  if (closed_) return;
  const bool complete = reader_.state() == HttpReader::State::complete;
  if (task_ == Task::probe) answered_ = complete;
  if (task_ == Task::job && complete && !answered_) return broke();  // its end came before its last line
  if (task_ != Task::none && answered_) end_task(complete);
  else if (complete) release();
}

void WorkerConnection::digest_status() {
  status_seen_ = true;
  end_.status = reader_.status();
  end_.not_started = reader_.header("Not-Started") == "1";
  if (end_.status != 200) {
    answered_ = true;
    return;
  }
  end_.reached = Reached::taken;
  if (task_ == Task::job) pool_.events_.job_taken(key_);
}

void WorkerConnection::digest_lines() {
  while (!closed_ && !answered_) {
    const auto body = reader_.body();
    const auto line_end = body.find('\n');
    if (line_end == std::string_view::npos) return;
    const auto line = body.substr(0, line_end);
    if (!line.empty() && line != "\r" && !digest_line(line)) {
      spdlog::warn("worker {} sent a line that is not of its job: connection closed", worker_);
      return broke();
    }
    if (!closed_) reader_.drop_body(line_end + 1);
  }
}

// False for a line that can't be believed: no JSON, another job's id, or a last line without its result.
bool WorkerConnection::digest_line(std::string_view line) {
  const auto news = parse_json(line);
  const Json* id = news ? news->find("id") : nullptr;
  const Json* state = news ? news->find("state") : nullptr;
  if (id == nullptr || !id->is_text() || id->decoded() != request_id_) return false;
  if (state == nullptr || !state->is_text()) return false;
  if (state->raw == "started") {
    end_.reached = std::max(end_.reached, Reached::started);
    pool_.events_.job_started(key_);
  } else if (state->raw == "running") {
    const Json* share = news->find("share");
    if (share != nullptr && share->number()) pool_.events_.job_progress(key_, *share->number());
  } else if (state->raw == "done") {
    const Json* result = news->find("result");
    if (result == nullptr || !result->is_text()) return false;
    last_line(LastLine::done, result->decoded());
  } else if (state->raw == "failed") {
    last_line(LastLine::failed, {});
  } else if (state->raw == "returned") {
    last_line(LastLine::returned, {});
  } else if (state->raw == "lost") {
    last_line(LastLine::lost, {});
  }
  return true;  // a state of a later protocol says nothing to us
}

void WorkerConnection::last_line(LastLine last, std::string result) {
  end_.reached = Reached::last_line;
  end_.last = last;
  end_.result = std::move(result);
  answered_ = true;
}

// The one end of what it carries. The connection is free before that is told: the next job held for this
// worker goes out at once, and would open a new connection beside one that is about to be idle.
void WorkerConnection::end_task(bool message_complete) {
  const Task task = std::exchange(task_, Task::none);
  AttemptEnd end = std::exchange(end_, {});
  end_.reached = Reached::last_line;
  if (task == Task::job) pool_.carrying_.erase(key_);
  const AttemptKey key = key_;
  if (message_complete) release();
  if (task == Task::job) pool_.events_.attempt_ended(key, std::move(end));
  if (task == Task::probe)
    pool_.events_.probe_ended(worker_, pool_.clock_.now() - probe_sent_, end.status == 200);
}

void WorkerConnection::release() {
  if (!reader_.keep_alive() || !reader_.nothing_behind()) return abandon();
  reader_.next();
  fresh_ = false;
  pool_.idle(shared_from_this());
}

// The connection is no more; what it carried ends with it.
void WorkerConnection::broke() {
  if (closed_) return;
  const auto self = shared_from_this();
  abandon();
  const bool never_sent = end_.reached < Reached::all_written;
  if (task_ == Task::job && never_sent && !fresh_) {
    // The worker had closed a connection that stood idle: the same attempt, on a new one.
    spdlog::debug("stale connection to worker {} replaced", worker_);
    task_ = Task::none;
    pool_.carrying_.erase(key_);
    if (auto next = pool_.connection_to(worker_, true)) {
      next->task_ = Task::job;
      next->key_ = key_;
      next->request_id_ = request_id_;
      next->head_ = std::move(head_);
      next->body_ = body_;
      next->body_held_ = std::move(body_held_);
      pool_.carrying_[key_] = next;
      return next->begin();
    }
    task_ = Task::job;
  }
  end_task(false);
}

void WorkerConnection::abandon() {
  if (closed_) return;
  closed_ = true;
  Fault ignored;
  connect_limit_.cancel();
  socket_.close(ignored);
  pool_.closed(*this);
}

bool WorkerConnection::still_open() {
  char byte = 0;
  const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// ---- the pool ----

WorkerPool::WorkerPool(Strand strand, const Clock& clock, BufferSpace& space, WorkerEvents& events)
    : strand_(std::move(strand)), clock_(clock), space_(space), events_(events) {}

void WorkerPool::configure(Micros connect_timeout, Micros idle_limit, int most_connections) {
  connect_timeout_ = connect_timeout;
  idle_limit_ = static_cast<Micros>(kIdlePart * static_cast<double>(idle_limit));
  most_ = static_cast<std::size_t>(most_connections);
  while (connections_.size() > most_ && !idle_.empty()) drop(idle_.front());
}

void WorkerPool::locate(const WorkerId& worker, const Address& address) {
  Site& site = sites_[worker];
  if (site.address == address) return;
  drop_idle(worker);
  site.address = address;
  site.peer = endpoint_of(address);
}

void WorkerPool::forget(const WorkerId& worker) {
  drop_idle(worker);
  sites_.erase(worker);
}

void WorkerPool::drop_idle(const WorkerId& worker) {
  const auto found = sites_.find(worker);
  if (found == sites_.end()) return;
  for (const auto& connection : std::exchange(found->second.idle, {})) drop(connection);
}

WorkerPool::Connection WorkerPool::connection_to(const WorkerId& worker, bool fresh) {
  const auto found = sites_.find(worker);
  if (found == sites_.end()) return nullptr;
  auto& idle = found->second.idle;
  while (!fresh && !idle.empty()) {
    const Connection latest = idle.back();
    idle.pop_back();
    idle_.erase(latest->idle_place_);
    latest->is_idle_ = false;
    if (latest->still_open()) return latest;
    drop(latest);
  }
  return make_room() ? open(worker, found->second.peer) : nullptr;
}

WorkerPool::Connection WorkerPool::open(const WorkerId& worker, const Tcp::endpoint& peer) {
  const auto connection = std::make_shared<WorkerConnection>(*this, worker, peer);
  connection->place_ = connections_.insert(connections_.end(), connection);
  ++opened_;
  return connection;
}

// Near the descriptors' limit the connection that has stood idle longest goes, never one that carries a job.
bool WorkerPool::make_room() {
  if (connections_.size() < most_) return true;
  if (idle_.empty()) return false;
  drop(idle_.front());
  return true;
}

void WorkerPool::send(AttemptKey key, const WorkerId& worker, const WorkerRequest& request) {
  const auto connection = connection_to(worker, false);
  if (connection == nullptr) return events_.attempt_ended(key, {});  // nowhere to be found, or no descriptor
  carrying_[key] = connection;
  connection->carry(key, request);
}

void WorkerPool::probe(const WorkerId& worker, const std::string& headers) {
  const auto connection = connection_to(worker, false);
  if (connection == nullptr) return events_.probe_ended(worker, 0, false);
  connection->probe(headers);
}

void WorkerPool::call_off(AttemptKey key) {
  const auto found = carrying_.find(key);
  if (found == carrying_.end()) return;
  const Connection connection = found->second;
  carrying_.erase(found);
  connection->abandon();
}

void WorkerPool::idle(Connection connection) {
  const auto found = sites_.find(connection->worker());
  if (found == sites_.end() || found->second.peer != connection->peer_)
    return drop(connection);  // gone, moved
  connection->idle_since_ = clock_.now();
  connection->is_idle_ = true;
  connection->idle_place_ = idle_.insert(idle_.end(), connection);
  found->second.idle.push_back(std::move(connection));
}

void WorkerPool::drop(Connection connection) {
  connection->abandon();
}

void WorkerPool::closed(WorkerConnection& connection) {
  if (std::exchange(connection.is_idle_, false)) {
    idle_.erase(connection.idle_place_);
    const auto found = sites_.find(connection.worker());
    if (found != sites_.end())
      std::erase_if(found->second.idle, [&](const Connection& c) { return c.get() == &connection; });
  }
  connections_.erase(connection.place_);
}

void WorkerPool::sweep() {
  if (idle_limit_ <= 0) return;
  const Micros oldest = clock_.now() - idle_limit_;
  while (!idle_.empty() && idle_.front()->idle_since() <= oldest) drop(idle_.front());
}

void WorkerPool::close_all() {
  carrying_.clear();
  while (!connections_.empty()) drop(connections_.front());
}

}  // namespace woadridge::net

#include <boost/asio/unyield.hpp>
