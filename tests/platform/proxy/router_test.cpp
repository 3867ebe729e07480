#include "proxy/router.h"

#include <CppUTest/TestHarness.h>

using namespace woadridge;

TEST_GROUP(Router) {
  proxy::Router router;
  common::Plan plan;
  void add(const char* name, const char* host, const char* prefix) {
    common::Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    plan.routes.push_back(route);
    router.take(plan);
  }
  std::string found(const char* host, const char* target) {
    const auto* route = router.route(host, target);
    return route == nullptr ? "none" : route->name;
  }
};

TEST(Router, TheLongestPrefixOfTheHostWins) {
  add("short", "a.example", "/x/");
  add("long", "a.example", "/x/y/");
  add("all", "b.example", "/");
  STRCMP_EQUAL("long", found("a.example", "/x/y/z").c_str());
  STRCMP_EQUAL("long", found("A.Example:8080", "/x/y/?q=/x/").c_str());
  STRCMP_EQUAL("short", found("a.example", "/x/yy/z").c_str());
  STRCMP_EQUAL("short", found("a.example", "/x/").c_str());
  STRCMP_EQUAL("none", found("a.example", "/x").c_str());
  STRCMP_EQUAL("none", found("a.example", "/q?a=/x/").c_str());
  STRCMP_EQUAL("all", found("b.example", "/x/y").c_str());
  STRCMP_EQUAL("none", found("c.example", "/x/y/").c_str());
}

// Guards against hosts that are cut in the middle of an address: two of them had one key, and the first route
// took the requests for both.
TEST(Router, HostsThatAreIpv6AddressesAreTold) {
  add("one", "[2001:db8::1]", "/x/");
  add("two", "[2001:db8::2]", "/x/");
  STRCMP_EQUAL("one", found("[2001:db8::1]", "/x/y").c_str());
  STRCMP_EQUAL("two", found("[2001:db8::2]", "/x/y").c_str());
  STRCMP_EQUAL("two", found("[2001:DB8:0:0::2]:8080", "/x/y").c_str());
  STRCMP_EQUAL("none", found("[2001:db8::3]", "/x/y").c_str());
  STRCMP_EQUAL("none", found("[2001:db8:", "/x/y").c_str());
}

TEST(Router, ADotAtTheEndOfANameTellsNoTwoHosts) {
  add("one", "a.example", "/x/");
  STRCMP_EQUAL("one", found("a.example.", "/x/y").c_str());
  STRCMP_EQUAL("one", found("A.Example.:80", "/x/y").c_str());
}

// Guards against a host with a slash in it, which looked like another host with a longer prefix.
TEST(Router, HostAndPrefixAreKeptApart) {
  add("one", "a", "/b/c/");
  STRCMP_EQUAL("none", found("a/b", "/c/d").c_str());
  STRCMP_EQUAL("one", found("a", "/b/c/d").c_str());
}

TEST(Router, ARemovedRouteIsGone) {
  add("one", "a.example", "/x/");
  plan.routes.clear();
  router.take(plan);
  STRCMP_EQUAL("none", found("a.example", "/x/1").c_str());
}
