// What a proxy whose process ends says of the calls that are still at work.
#include "front_world.h"

using namespace woadridge;
using namespace woadridge::proxy::played;

namespace {

class EndingWorld : public FrontWorld {
 protected:
  // The answer to a call that a peer has passed on and an instance works on, when the process ends.
  std::string answer_at_the_end(const std::string& counts) {
    Silent instance(loop);
    plan_and({at(instance, "i-1")});
    instance.on_request = [this] { dispatch->leave(dispatch->now()); };
    const auto answer = ask_as_passing("POST /w/x", counts, "X-Woadridge-Pass: 5.1\r\n");
    LONGS_EQUAL(1, instance.requests);
    return answer;
  }
};

}  // namespace

TEST_GROUP_BASE(ProcessEnd, EndingWorld){};

// Guards against TWICE: the peer sends again what it is told has run nowhere.
TEST(ProcessEnd, ACallAtWorkCountsAsRun) {
  const auto answer = answer_at_the_end("m;2;400;4000;1;0;1");
  STRCMP_CONTAINS("HTTP/1.1 502", answer.c_str());
  STRCMP_CONTAINS("X-Woadridge-Used: 1", answer.c_str());
}

// A promise would say that it has not run.
TEST(ProcessEnd, ARepeatableCallAtWorkGetsNoPromiseAndCountsAsRun) {
  const auto answer = answer_at_the_end("r;2;400;4000;1;0;1");
  STRCMP_CONTAINS("HTTP/1.1 502", answer.c_str());
  STRCMP_CONTAINS("X-Woadridge-Used: 1", answer.c_str());
}
