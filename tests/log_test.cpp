#include "net/log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <string>

namespace woadridge::net {
namespace {

// Standard error as a pipe that holds little, for as long as this lives.
class SmallPipe {
 public:
  SmallPipe() : kept_(::dup(STDERR_FILENO)) {
    EXPECT_EQ(::pipe2(ends_, O_CLOEXEC), 0);
    EXPECT_GT(::fcntl(ends_[1], F_SETPIPE_SZ, 4096), 0);
    ::dup2(ends_[1], STDERR_FILENO);
  }
  ~SmallPipe() {
    ::dup2(kept_, STDERR_FILENO);
    for (int fd : {kept_, ends_[0], ends_[1]}) ::close(fd);
  }
  std::string drain() {
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string all;
    char bytes[4096];
    for (ssize_t got = 0; (got = ::read(ends_[0], bytes, sizeof bytes)) > 0;)
      all.append(bytes, static_cast<std::size_t>(got));
    return all;
  }

 private:
  int ends_[2] = {-1, -1};
  int kept_;
};

// With a writer that waits for room this would never end.
TEST(Log, AFullPipeHoldsNothingUpAndIsToldAfterwards) {
  const auto before = spdlog::default_logger();
  {
    SmallPipe pipe;
    open_log();
    for (int i = 0; i < 1000; ++i) spdlog::info("line {} of many", i);
    const std::string first = pipe.drain();
    EXPECT_NE(first.find("line 0 of many"), std::string::npos);
    EXPECT_EQ(first.find("line 999 of many"), std::string::npos);
    spdlog::info("there is room again");
    const std::string then = pipe.drain();
    EXPECT_NE(then.find("lines of the log were dropped"), std::string::npos);
    EXPECT_NE(then.find("there is room again"), std::string::npos);
  }
  spdlog::set_default_logger(before);
}

}  // namespace
}  // namespace woadridge::net
