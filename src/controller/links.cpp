#include "controller/links.h"

#include <algorithm>

#include "common/log.h"

namespace woadridge::controller {
namespace {

constexpr std::size_t kMostUnsent =
    8 << 20;  // bytes: a peer that doesn't read, with a few whole configurations
constexpr std::size_t kMostUnnamed = 64;
constexpr std::chrono::milliseconds kFirstPause{30}, kLongestPause{400};

}  // namespace

Links::Links(net::Strand strand, std::string self, std::uint16_t port, std::uint32_t silence_ms,
             OnLetter on_letter)
    : strand_(strand),
      self_(std::move(self)),
      port_(port),
      silence_ms_(silence_ms),
      on_letter_(std::move(on_letter)),
      gate_(strand, [this](const std::shared_ptr<common::FrameConnection>& wire) { take(wire); }) {}

common::Result<void> Links::open() {
  return gate_.open({self_, port_});
}

void Links::send(const std::string& to, quorum::Message message) {
  Line& line = lines_[to];
  if (!line.wire) {
    if (std::chrono::steady_clock::now() < line.not_before) return;
    line.wire = common::FrameConnection::to(strand_, {to, port_}, silence_ms_);
    line.wire->start([&line](std::string_view) { line.pause = {}; },
                     [&line] {
                       line.wire = nullptr;
                       line.pause = std::clamp(line.pause * 2, kFirstPause, kLongestPause);
                       line.not_before = std::chrono::steady_clock::now() + line.pause;
                     });
  }
  if (line.wire->unsent() > kMostUnsent) return;
  line.wire->say(quorum::Envelope{self_, std::move(message)});
}

void Links::take(const std::shared_ptr<common::FrameConnection>& wire) {
  if (unnamed_.size() >= kMostUnnamed) return wire->close();
  unnamed_.insert(wire);
  const std::weak_ptr<common::FrameConnection> weak = wire;
  const auto name = std::make_shared<std::string>();
  wire->start(
      [this, weak, name](std::string_view bytes) {
        auto envelope = common::unpack<quorum::Envelope>(bytes);
        const auto self = weak.lock();
        if (!self) return;
        if (!envelope) {
          unnamed_.erase(self);
          if (const auto at = heard_.find(*name); at != heard_.end() && at->second == self) heard_.erase(at);
          common::warning("a message of another machine can't be read", {{"from", self->peer_ip()}});
          return self->close();
        }
        if (name->empty()) {  // a machine that lost power leaves its earlier line open here
          *name = envelope->from;
          unnamed_.erase(self);
          auto& newest = heard_[*name];
          if (newest) newest->close();
          newest = self;
          lines_[*name].not_before = {};  // it is up: no pause before the next call to it
        }
        on_letter_(envelope->from, std::move(envelope->message));
      },
      [this, weak, name] {
        const auto self = weak.lock();
        unnamed_.erase(self);
        if (const auto at = heard_.find(*name); at != heard_.end() && at->second == self) heard_.erase(at);
      });
}

void Links::hang_up(const std::string& from) {
  const auto at = heard_.find(from);
  if (at == heard_.end()) return;
  at->second->close();
  heard_.erase(at);
}

bool Links::all_sent() const {
  return std::all_of(lines_.begin(), lines_.end(),
                     [](const auto& l) { return !l.second.wire || l.second.wire->unsent() == 0; });
}

void Links::close() {
  gate_.close();
  for (auto& [to, line] : lines_)
    if (line.wire) line.wire->close();
  lines_.clear();
  for (auto& [from, wire] : heard_) wire->close();
  for (auto& wire : unnamed_) wire->close();
}

}  // namespace woadridge::controller
