#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <limits>
#include <map>
#include <random>

#include "common/frames.h"
#include "common/homes.h"
#include "common/host.h"
#include "common/messages.h"
#include "common/saturate.h"
#include "common/settings.h"

using namespace woadridge;

namespace {

const char* const kNode = R"(
node-name = "n1"
ip = "10.0.0.1"
zone = "a"
internal-ports = [7000,7015]
seed-nodes = ["10.0.0.9:8000"]
a-later-field = [1,2]
[bind-addrs]
front-http = "10.0.0.1:80"
[bounds]
contact-ms = 4321
a-later-bound = "x"
[provider]
address = "10.9.9.9:1"
rate-per-s = 26.0
)";

std::string with(const std::string& from, const std::string& to) {
  std::string text = kNode;
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_GROUP(NodeSettings){};

TEST(NodeSettings, AreReadAndUnknownKeysSkipped) {
  const auto read = common::read_settings(kNode);
  CHECK(read.has_value());
  LONGS_EQUAL(4321, read.value().contact_ms);
  LONGS_EQUAL(80, read.value().front.port);
  STRCMP_EQUAL("10.0.0.1:7001", read.value().peer_link().text().c_str());
}

TEST(NodeSettings, AFaultIsNamedByItsKey) {
  const std::pair<std::string, std::string> faults[] = {
      {with("node-name = \"n1\"", ""), "node-name"},
      {with("zone = \"a\"", "zone = 7"), "zone"},
      {with("[7000,7015]", "[7000,7001]"), "internal-ports"},
      {with("10.0.0.9:8000", "10.0.0.9"), "seed-nodes"},
      {with("contact-ms = 4321", "contact-ms = -1"), "bounds.contact-ms"},
      {with("rate-per-s = 26.0", "rate-per-s = 0"), "provider.rate-per-s"}};
  for (const auto& [text, key] : faults) {
    const auto read = common::read_settings(text);
    CHECK_FALSE(read.has_value());
    STRCMP_CONTAINS(key.c_str(), read.error().what.c_str());
  }
  CHECK_FALSE(common::read_settings("node-name = ").has_value());
}

TEST_GROUP(Frames){};

TEST(Frames, CutOrChangedBytesAreNoMessageOrAnotherButNeverMore) {
  common::Report report;
  report.lost = {"i-1", "i-2"};
  report.demand.push_back({"f", 1, 2, 3, 4, 5, 6, 7});
  const std::string bytes = common::pack(common::ProxySays{report});
  CHECK(common::unpack<common::ProxySays>(bytes).has_value());
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    CHECK_FALSE(common::unpack<common::ProxySays>(std::string_view(bytes).substr(0, cut)).has_value());
  CHECK_FALSE(common::unpack<common::ProxySays>(bytes + "x").has_value());
  std::minstd_rand random(7);
  for (int i = 0; i < 2000; ++i) {  // junk may ask for any length: it must end, and soon
    std::string junk = bytes;
    junk[random() % junk.size()] = static_cast<char>(random());
    (void)common::unpack<common::ProxySays>(junk);
  }
}

TEST_GROUP(PlanChanges) {
  std::minstd_rand random{11};
  common::Plan next(common::Plan plan) {
    plan.version += 1 + random() % 3;
    for (int n = 0; n < 4; ++n) {
      const auto name = "r" + std::to_string(random() % 12);
      std::erase_if(plan.routes, [&](auto& r) { return r.name == name; });
      if (random() % 3 != 0)
        plan.routes.push_back({name, "h", "/" + name + "/", "s" + std::to_string(random() % 3), true, 4000,
                               static_cast<std::uint32_t>(random() % 5), 1, 2});
    }
    plan.services.resize(1 + random() % 3);
    for (std::size_t n = 0; n < plan.services.size(); ++n) plan.services[n].name = "s" + std::to_string(n);
    plan.limits.idle_timeout_ms = static_cast<std::uint32_t>(random() % 9);
    return plan;
  }
  std::map<std::string, common::Route> by_name(const common::Plan& plan) {
    std::map<std::string, common::Route> all;
    for (const auto& route : plan.routes) all[route.name] = route;
    return all;
  }
};

TEST(PlanChanges, ADifferenceMakesTheSamePlanAndMeetsNoOther) {
  common::Plan plan;
  plan.version = 1;
  common::Board board;
  board.plan = plan;
  for (int step = 0; step < 500; ++step) {
    const auto to = next(plan);
    common::News news;
    common::put_change(news, plan, to);
    CHECK(news.plan.routes.size() <= 4);
    common::Board other;  // that holds another version: the difference means nothing to it
    other.plan.version = plan.version + 100000;
    other.apply(news);
    LONGS_EQUAL(plan.version + 100000, other.plan.version);
    if (step % 7 == 0) {  // lost on the way: the next one is from what is held
      common::News late;
      common::put_change(late, to, next(to));
      board.apply(late);
      LONGS_EQUAL(plan.version, board.plan.version);
    }
    board.apply(news);
    LONGS_EQUAL(to.version, board.plan.version);
    CHECK(by_name(board.plan) == by_name(to));
    CHECK(board.plan.limits == to.limits);
    LONGS_EQUAL(to.services.size(), board.plan.services.size());
    plan = to;
  }
}

TEST_GROUP(Homes){std::vector<common::Peer> peers(int n){std::vector<common::Peer> all;
for (int i = 0; i < n; ++i) all.push_back({"edge-" + std::to_string(i), "z", ""});
return all;
}
std::string home(const std::string& service, const std::vector<common::Peer>& all) {
  return all[common::homes(service, all).front()].name;
}
}
;

TEST(Homes, DoNotDependOnTheOrderAndMoveOnlyWithTheirOwnPeer) {
  auto all = peers(9);
  std::map<std::string, int> load;
  for (int i = 0; i < 900; ++i) {
    const auto service = "fn" + std::to_string(i);
    auto turned = all;
    std::reverse(turned.begin(), turned.end());
    const auto before = home(service, all);
    STRCMP_EQUAL(before.c_str(), home(service, turned).c_str());
    ++load[before];
    auto fewer = all;
    fewer.erase(fewer.begin() + 4);
    if (before != "edge-4") STRCMP_EQUAL(before.c_str(), home(service, fewer).c_str());
  }
  for (const auto& [name, functions] : load) CHECK(functions > 60 && functions < 140);
}

// Guards against a board that takes two instances for the same whose capacities differ by a large step.
TEST_GROUP(Sum){};

TEST(Sum, TellsCapacitiesApartThatDifferByTheUpperBits) {
  common::Instance one{"i-1", "fn", "127.0.0.1:9", "a", "m1", 1, common::Condition::ready, 0, ""};
  common::Instance other = one;
  other.capacity += 1u << 30;
  CHECK(common::sum_of(one) != common::sum_of(other));
}

TEST_GROUP(Saturated){};

TEST(Saturated, CutsWhatDoesNotFitAndKeepsTheRest) {
  constexpr std::uint32_t kMost = std::numeric_limits<std::uint32_t>::max();
  CHECK_EQUAL(0u, common::saturated<std::uint32_t>(-1));
  CHECK_EQUAL(7u, common::saturated<std::uint32_t>(7.9));
  CHECK_EQUAL(kMost, common::saturated<std::uint32_t>(kMost));
  CHECK_EQUAL(kMost, common::saturated<std::uint32_t>(1e300));
  CHECK_EQUAL(std::numeric_limits<int>::max(), common::saturated<int>(kMost));
  CHECK(std::numeric_limits<std::int64_t>::max() == common::saturated<std::int64_t>(1e19));
  CHECK_EQUAL(0, common::saturated<int>(std::numeric_limits<double>::quiet_NaN()));
}

TEST_GROUP(Host){static void expect(const char* normal,
                                    const char* host){STRCMP_EQUAL(normal, common::normal_host(host).c_str());
STRCMP_EQUAL(normal, common::normal_host(normal).c_str());
}
}
;

TEST(Host, ANameHasNoPortNoDotAndSmallLetters) {
  for (const char* host : {"fair.example", "Fair.Example", "fair.example:80",
                           "fair.example:", "FAIR.example.", "fair.example.:8080"})
    expect("fair.example", host);
  expect("10.0.0.7", "10.0.0.7:8080");
  expect("", "");
  expect("", ":80");
  expect("", ".");
}

TEST(Host, AnIpv6AddressIsInBracketsAndItsShortestForm) {
  for (const char* host : {"[2001:db8::1]", "[2001:DB8::1]", "[2001:db8::1]:8080",
                           "[2001:db8::1]:", "2001:db8::1", "[2001:0db8:0:0:0:0:0:1]", "2001:db8:0::0:1"})
    expect("[2001:db8::1]", host);
  expect("[::1]", "[::1]:7");
  expect("[::ffff:10.0.0.7]", "[::FFFF:10.0.0.7]");
}

TEST(Host, WhatIsNeitherStaysApart) {
  expect("[2001:db8::1", "[2001:DB8::1");
  expect("[2001:db8::1]x", "[2001:db8::1]x");
  expect("a:b:c", "A:b:c");
  expect("[v1.fe]", "[v1.FE]:80");
}
