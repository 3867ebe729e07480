// Which limits a connection's requests go by, when the operator changes them while it is kept.
#include "front_world.h"

using namespace woadridge;
using namespace woadridge::proxy::played;

namespace {

constexpr std::uint32_t kNarrow = 8'192, kWide = 262'144;
constexpr std::size_t kLarge = 20'000;  // bytes: between the two
constexpr auto kTakenIn = std::chrono::milliseconds(100);

}  // namespace

TEST_GROUP_BASE(LimitsInForce, FrontWorld) {
  Played one{loop};
  common::Version version = 1;

  void setup() override {
    FrontWorld::setup();
    one.answers = {kGood, kGood, kGood, kGood};
    plan_and({at(one, "i-1")});
  }
  void configure(const common::Limits& limits) {
    common::News news;
    news.term = 1;
    news.board = 1 + ++version;
    news.plan_told = true;
    news.plan = dispatch->board().plan;
    news.plan.version = version;
    news.plan.limits = limits;
    dispatch->told(news);
  }
  void configure_body(std::uint32_t bytes) {
    common::Limits limits;
    limits.max_body_bytes = bytes;
    configure(limits);
  }
  static std::string order(const std::string& id, std::size_t bytes, const std::string& more = "") {
    return request("POST /w/x", id, more + "Content-Length: " + std::to_string(bytes) + "\r\n") +
           std::string(bytes, 'x');
  }
  std::string answer_to(Caller & caller, const std::string& text) {
    caller.send(text);
    loop.run_for(kTakenIn);
    return caller.arrived();
  }
};

// Guards against a kept connection that goes by the limits of the configuration under which it came up.
TEST(LimitsInForce, AKeptConnectionGoesByWiderOnes) {
  configure_body(kNarrow);
  Caller kept(loop, port);
  STRCMP_CONTAINS("HTTP/1.1 200", answer_to(kept, order("1", 10)).c_str());
  configure_body(kWide);
  STRCMP_CONTAINS("HTTP/1.1 200", answer_to(kept, order("2", kLarge)).c_str());
}

TEST(LimitsInForce, AKeptConnectionGoesByNarrowerOnes) {
  configure_body(kWide);
  Caller kept(loop, port);
  STRCMP_CONTAINS("HTTP/1.1 200", answer_to(kept, order("1", kLarge)).c_str());
  configure_body(kNarrow);
  STRCMP_CONTAINS("HTTP/1.1 413", answer_to(kept, order("2", kLarge)).c_str());
}

TEST(LimitsInForce, SoWithTheSizeOfHeads) {
  common::Limits limits;
  limits.max_header_bytes = kNarrow;
  configure(limits);
  Caller kept(loop, port);
  STRCMP_CONTAINS("HTTP/1.1 200", answer_to(kept, order("1", 10)).c_str());
  const std::string long_line = "X-Long: " + std::string(kNarrow, 'x') + "\r\n";
  limits.max_header_bytes = 2 * kNarrow;
  configure(limits);
  STRCMP_CONTAINS("HTTP/1.1 200", answer_to(kept, order("2", 10, long_line)).c_str());
  limits.max_header_bytes = kNarrow;
  configure(limits);
  STRCMP_CONTAINS("HTTP/1.1 431", answer_to(kept, order("3", 10, long_line)).c_str());
}

// Guards against refusing what was proper when it was sent.
TEST(LimitsInForce, ARequestThatHasBegunGoesByTheWiderOfBoth) {
  configure_body(kWide);
  Caller under_way(loop, port);
  const auto whole = order("1", kLarge);
  STRCMP_EQUAL("", answer_to(under_way, whole.substr(0, kLarge / 2)).c_str());
  configure_body(kNarrow);
  STRCMP_CONTAINS("HTTP/1.1 200", answer_to(under_way, whole.substr(kLarge / 2)).c_str());
}

TEST(LimitsInForce, ARequestBehindAnotherHasBegunWhenItCame) {
  common::News news;
  news.term = 1;
  news.board = 100;
  news.gone = {"i-1"};
  dispatch->told(news);
  configure_body(kWide);
  Caller pipelines(loop, port);
  const auto second = order("2", kNarrow + 1);
  STRCMP_EQUAL("", answer_to(pipelines, order("1", 10) + second.substr(0, kNarrow / 4)).c_str());
  configure_body(kNarrow);
  news.board = 200;
  news.gone = {};
  news.changed = {at(one, "i-2")};
  news.changed.front().home = "me";
  dispatch->told(news);
  loop.run_for(kTakenIn);
  STRCMP_CONTAINS("HTTP/1.1 200", pipelines.arrived().c_str());
  STRCMP_CONTAINS("HTTP/1.1 200", answer_to(pipelines, second.substr(kNarrow / 4)).c_str());
}

// Guards against a home that judges a client's request once more, by an older or a newer configuration.
TEST(LimitsInForce, AHomeTakesWhatTheFirstProxyHasTaken) {
  common::Limits limits;
  limits.max_body_bytes = limits.max_header_bytes = limits.header_timeout_ms = limits.idle_timeout_ms = 1;
  configure(limits);
  Caller peer(loop, peers_port);
  const auto passed = order(
      "1", kLarge, "X-Woadridge-Via: fn;write;m;2;400;4000;1;0;1\r\nX-Woadridge-Pass: 9000000000.5\r\n");
  STRCMP_EQUAL("", answer_to(peer, passed.substr(0, kLarge / 2)).c_str());
  loop.run_for(std::chrono::seconds(1));  // longer than all of a client's limits
  STRCMP_CONTAINS("HTTP/1.1 200", answer_to(peer, passed.substr(kLarge / 2)).c_str());
}

// Guards against closing a connection earlier than its client was told.
TEST(LimitsInForce, AConnectionRestsAsLongAsItsAnswerHasSaid) {
  Caller long_rest(loop, port), short_rest(loop, port);
  STRCMP_CONTAINS("Keep-Alive: timeout=14", answer_to(long_rest, order("1", 10)).c_str());
  common::Limits limits;
  limits.idle_timeout_ms = 100;
  configure(limits);
  STRCMP_CONTAINS("HTTP/1.1 200", answer_to(short_rest, order("2", 10)).c_str());
  loop.run_for(std::chrono::milliseconds(1200));
  CHECK(short_rest.is_closed());
  CHECK_FALSE(long_rest.is_closed());
  STRCMP_CONTAINS("HTTP/1.1 200", answer_to(long_rest, order("3", 10)).c_str());
}
