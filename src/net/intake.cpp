#include "net/intake.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace woadridge::net {
namespace {

constexpr auto kSweepEvery = std::chrono::milliseconds(250);  // the shortest limit of a client is 1 s

}  // namespace

Intake::Intake(Strand strand, Engine& engine, const Budget& budget, BufferSpace& space)
    : engine_(engine),
      space_(space),
      listener_(
          strand, [this] { return make_room(); }, [this](Socket socket) { accepted(std::move(socket)); }),
      sweeper_(strand),
      most_(static_cast<std::size_t>(budget.most_clients())),
      turnstile_(static_cast<std::size_t>(budget.turnstile())) {}

std::string Intake::listen(const Address& address, std::optional<int> inherited) {
  std::string fault = inherited ? listener_.inherit(*inherited) : listener_.open(address);
  if (fault.empty()) sweep();
  return fault;
}

void Intake::accepted(Socket socket) {
  Fault ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const auto connection = std::make_shared<ClientConnection>(*this, std::move(socket));
  connection->place_ = connections_.insert(connections_.end(), connection);
  connection->start();
}

// At the clients' share of the descriptors the connection that is needed least goes; without one, accepting
// pauses until one closes.
bool Intake::make_room() {
  if (connections_.size() < most_) return true;
  const auto chosen = least_needed();
  if (chosen == nullptr) return false;
  ++engine_.metrics().put_out;
  chosen->close();
  return true;
}

// Guards usual clients against strangers: who has not sent a whole request goes first, then who has only
// asked after our health, then the one that is idle longest. One whose request has come and is not read yet
// stays.
std::shared_ptr<ClientConnection> Intake::least_needed() const {
  std::shared_ptr<ClientConnection> chosen;
  const auto order = [](const auto& c) { return std::pair(c->need(), c->since()); };
  for (const auto& c : connections_) {
    if (c->need() == Need::kept || (chosen != nullptr && order(c) >= order(chosen))) continue;
    if (c->need() == Need::none || !c->has_unread()) chosen = c;
  }
  return chosen;
}

void Intake::closed(ClientConnection& connection) {
  connections_.erase(connection.place_);
  if (!stopped_) listener_.go_on();
}

void Intake::sweep() {
  if (stopped_) return;
  const Micros now = engine_.clock().now();
  const std::list<std::shared_ptr<ClientConnection>> all = connections_;
  for (const auto& connection : all) connection->drop_if_slow(now);
  listener_.go_on();  // one of them may be idle by now
  sweeper_.expires_after(kSweepEvery);
  sweeper_.async_wait([this](Fault fault) {
    if (!fault) sweep();
  });
}

void Intake::close_idle(Micros at_least) {
  const Micros latest = engine_.clock().now() - at_least;
  const std::list<std::shared_ptr<ClientConnection>> all = connections_;
  for (const auto& connection : all)
    if (connection->idle() && connection->since() <= latest && !connection->has_unread()) connection->close();
}

void Intake::set_budget(const Budget& budget) {
  most_ = static_cast<std::size_t>(budget.most_clients());
  turnstile_ = static_cast<std::size_t>(budget.turnstile());
  for (std::size_t over = connections_.size(); over > most_; --over)
    if (!make_room()) break;
  listener_.go_on();
}

void Intake::leave_listener() {
  listener_.close();
}

// What the system has accepted counts as ours: it is taken in before the listener closes.
void Intake::stop_listening() {
  listener_.take_rest();
  listener_.close();
}

void Intake::stop() {
  stopped_ = true;
  listener_.close();
  sweeper_.cancel();
  while (!connections_.empty()) connections_.front()->close();
}

}  // namespace woadridge::net
