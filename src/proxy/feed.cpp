#include "proxy/feed.h"

#include <algorithm>
#include <utility>

#include "common/log.h"

namespace woadridge::proxy {
namespace {

constexpr int kAgainMs = 50;   // after the agent was not there, doubling ...
constexpr int kDoublings = 4;  // ... so often

}  // namespace

Feed::Feed(net::Strand strand, Dispatch& dispatch) : strand_(strand), dispatch_(dispatch), again_(strand) {}

void Feed::start() {
  dispatch_.on_report([this](const common::Report& report) { this->report(report); });
  connect();
}

void Feed::connect() {
  if (stopped_) return;
  const auto& s = dispatch_.settings();
  const auto& board = dispatch_.board();
  wire_ = common::FrameConnection::to(strand_, s.feed(), 0);
  wire_->say(common::ProxySays{common::Ask{s.node_name,
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
        const auto said = common::unpack<common::FeedSays>(bytes);
        if (!said) {
          common::warning("the agent's word can't be read");
          wire_->close();
          return ended();
        }
        failures_ = 0;
        if (!std::exchange(up_, true)) common::info("feed", {{"agent", dispatch_.settings().feed().text()}});
        const auto& news = std::get<common::News>(*said);
        const bool gap = dispatch_.board().lacks_base_of(news);
        dispatch_.told(news);
        if (!gap) return;
        // The difference is from a configuration that isn't held here: asked anew, the agent tells all of it.
        common::warning("a configuration's difference has no base",
                        {{"from", std::to_string(news.plan_from)},
                         {"held", std::to_string(dispatch_.board().plan.version)}});
        wire_->close();
        ended();
      },
      [this] { ended(); });
  if (dispatch_.leaving()) {
    common::Report report;
    report.leaving = true;
    this->report(report);
  }
}

void Feed::ended() {
  if (stopped_) return;
  if (std::exchange(up_, false)) {
    const auto& board = dispatch_.board();
    common::info("feed lost", {{"term", std::to_string(board.term)},
                               {"board", std::to_string(board.version)},
                               {"configuration", std::to_string(board.plan.version)}});
  }
  again_.expires_after(std::chrono::milliseconds(kAgainMs << std::min(failures_++, kDoublings)));
  again_.async_wait([this](net::Fault stopped) {
    if (!stopped) connect();
  });
}

void Feed::report(const common::Report& report) {
  if (wire_ && wire_->is_open()) wire_->say(common::ProxySays{report});
}

void Feed::stop() {
  stopped_ = true;
  again_.cancel();
  if (wire_) wire_->close();
}

}  // namespace woadridge::proxy
