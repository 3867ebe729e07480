#include "proxy/front.h"

#include <algorithm>

#include "common/frames.h"
#include "proxy/front_connection.h"

namespace woadridge::proxy {
namespace {

using net::Fault;

constexpr Micros kSweep = 500'000;
constexpr double kClientsPart = 0.6;  // of the descriptors; the rest is for instances and peers
constexpr std::uint32_t kOwnDescriptors =
    232;                                    // 200 are kept for files, the rest are listeners and the loop's
constexpr Micros kRejoinsWithin = 150'000;  // that a peer asks again for a call whose connection broke
constexpr auto kAcceptAgain = std::chrono::milliseconds(20);

}  // namespace

Front::Front(net::Strand strand, Dispatch& dispatch, FrontTimes times)
    : strand_(strand), dispatch_(dispatch), times_(times) {
  dispatch_.alarms().at(dispatch_.now() + kSweep, [this] { sweep(); });
}

Front::~Front() = default;

common::Result<void> Front::open(Door door, const common::Endpoint& place) {
  auto& listener = listeners_.emplace_back(Listener{door, net::Acceptor(strand_), net::Timer(strand_)});
  Fault fault;
  listener.acceptor.open(net::Tcp::v4(), fault);
  if (!fault) listener.acceptor.set_option(net::Acceptor::reuse_address(true), fault);
  if (!fault) listener.acceptor.bind(common::endpoint_of(place), fault);
  if (!fault) listener.acceptor.listen(1024, fault);
  if (fault) return common::Fault{common::Trouble::unreadable, place.text() + ": " + fault.message()};
  accept(listener);
  return boost::outcome_v2::success();
}

void Front::accept(Listener& listener) {
  listener.acceptor.async_accept([this, &listener](Fault failed, net::Socket socket) {
    if (stopped_ || !listener.acceptor.is_open()) return;
    if (!failed) {
      make_room();
      auto connection = std::make_shared<Connection>(*this, listener.door, std::move(socket));
      connection->place = connections_.insert(connections_.end(), connection);
      connection->start();
      return accept(listener);
    }
    listener.again.expires_after(kAcceptAgain);
    listener.again.async_wait([this, &listener](Fault stopped) {
      if (!stopped && !stopped_ && listener.acceptor.is_open()) accept(listener);
    });
  });
}

// Guards against running out of descriptors: those that have stood idle longest go first.
void Front::make_room() {
  const auto fds = dispatch_.settings().max_fds;
  const auto own = std::min(kOwnDescriptors, fds / 2);
  const auto most = static_cast<std::size_t>(std::max(1.0, kClientsPart * (fds - own)));
  if (connections_.size() < most) return;
  const auto oldest =
      std::find_if(connections_.begin(), connections_.end(), [](auto& v) { return v->idle(); });
  if (oldest != connections_.end()) (*oldest)->close();
}

void Front::sweep() {
  const Micros now = dispatch_.now();
  for (auto at = connections_.begin(); at != connections_.end();) {
    const auto connection = *at++;
    connection->check_times(now);
  }
  if (!stopped_) dispatch_.alarms().at(now + kSweep, [this] { sweep(); });
}

// A connection that broke looks like one that a peer has closed because its client has left.
void Front::abandon_if_alone(const std::shared_ptr<PeerCall>& pass) {
  dispatch_.alarms().at(dispatch_.now() + kRejoinsWithin, [this, weak = std::weak_ptr(pass)] {
    const auto left = weak.lock();
    if (!left || !left->is_alone()) return;
    if (const auto call = left->call.lock()) dispatch_.abandon(call);
  });
}

void Front::close_door(Door door) {
  for (auto& listener : listeners_) {
    if (listener.door != door) continue;
    Fault ignored;
    listener.acceptor.close(ignored);
  }
}

void Front::leave() {
  leaving_ = true;
}

void Front::stop() {
  stopped_ = true;
  for (auto& listener : listeners_) {
    Fault ignored;
    listener.acceptor.close(ignored);
    listener.again.cancel();
  }
  while (!connections_.empty()) {
    const auto connection = connections_.front();
    connection->give_up();
    connection->close();
  }
}

}  // namespace woadridge::proxy
