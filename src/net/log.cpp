#include "net/log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>

namespace woadridge::net {
namespace {

// Guards against a reader of the log that has stopped reading: a full pipe would hold up every request. A
// line that does not fit at once is dropped, and the number of such lines is told with the next that does.
class NeverBlocking : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    std::string text;
    if (dropped_ > 0) text = fmt::format("{} lines of the log were dropped\n", dropped_);
    text.append(line.data(), line.size());
    text.resize(std::min<std::size_t>(text.size(), PIPE_BUF));  // a pipe that is ready takes so much at once
    dropped_ = write(text) ? 0 : dropped_ + 1;
  }
  void flush_() override {}

 private:
  static bool write(std::string_view line) {
    pollfd ready{STDERR_FILENO, POLLOUT, 0};
    if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) return false;
    return ::write(STDERR_FILENO, line.data(), line.size()) >= 0;
  }

  std::size_t dropped_ = 0;
};

}  // namespace

void open_log() {
  auto log = std::make_shared<spdlog::logger>("woadridge", std::make_shared<NeverBlocking>());
  log->set_pattern("%Y-%m-%dT%H:%M:%S.%f %l %v");
  const char* level = std::getenv("WOADRIDGE_LOG");  // trace, debug, info, warn, error or off
  log->set_level(level == nullptr ? spdlog::level::info : spdlog::level::from_str(level));
  spdlog::set_default_logger(std::move(log));
}

}  // namespace woadridge::net
