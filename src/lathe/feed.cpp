#include "lathe/feed.h"

#include <algorithm>

#include "toolbox/log.h"

namespace woadridge::lathe {
namespace {

constexpr int kAgainMs = 50;   // after the agent was not there, doubling ...
constexpr int kDoublings = 4;  // ... so often

}  // namespace

Feed::Feed(net::Strand strand, Desk& desk) : strand_(strand), desk_(desk), again_(strand) {}

void Feed::start() {
  desk_.on_report([this](const toolbox::Report& report) { this->report(report); });
  connect();
}

void Feed::connect() {
  if (stopped_) return;
  const auto& s = desk_.settings();
  const auto& board = desk_.board();
  wire_ = toolbox::Wire::to(strand_, s.feed(), 0);
  wire_->say(toolbox::ProxySays{toolbox::Ask{s.node_name,
                                             s.zone,
                                             s.peer_link().text(),
                                             board.term,
                                             board.version,
                                             board.plan.version,
                                             s.calls_per_s(),
                                             {},
                                             {}}});
  wire_->start(
      [this](std::string_view bytes) {
        const auto said = toolbox::unpack<toolbox::FeedSays>(bytes);
        if (!said) {
          toolbox::warning("the agent's word can't be read");
          wire_->close();
          return ended();
        }
        failures_ = 0;
        desk_.told(std::get<toolbox::News>(*said));
      },
      [this] { ended(); });
  if (desk_.leaving()) {
    toolbox::Report report;
    report.leaving = true;
    this->report(report);
  }
}

void Feed::ended() {
  if (stopped_) return;
  again_.expires_after(std::chrono::milliseconds(kAgainMs << std::min(failures_++, kDoublings)));
  again_.async_wait([this](net::Fault stopped) {
    if (!stopped) connect();
  });
}

void Feed::report(const toolbox::Report& report) {
  if (wire_ && wire_->is_open()) wire_->say(toolbox::ProxySays{report});
}

void Feed::stop() {
  stopped_ = true;
  again_.cancel();
  if (wire_) wire_->close();
}

}  // namespace woadridge::lathe
