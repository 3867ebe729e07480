// What the judge of a soak finds in observations that are made up.
#include "lab/platform/soak/judge.h"

#include <CppUTest/TestHarness.h>

using woadridge::Micros;
using namespace woadridge::lab::platform;
using namespace woadridge::lab::platform::soak;

namespace {

constexpr Micros kSecond = 1'000'000;

Bounds bounds() {
  Bounds made;
  made.contact = 6 * kSecond;
  made.drain = made.apply = 5 * kSecond;
  made.recovery = 15 * kSecond;
  made.shed_slack = 2;
  made.edges = 2;
  made.grace = 6 * kSecond;
  made.loss_slack = kSecond / 5;
  made.revert_slack = kSecond / 4;
  made.retry_window = 10 * kSecond;
  made.retry_ratio = 0.2;
  made.retry_slack = 2;
  made.max_tries = 1;
  return made;
}

}  // namespace

TEST_GROUP(Judge) {
  Observations seen;

  void setup() override {
    seen.versions = {version(1, 0, {{"/a/", "s0"}})};
    seen.version_read_back = 1;
    seen.over = 100 * kSecond;
  }
  static SentVersion version(std::uint64_t number, Micros acknowledged,
                             std::map<std::string, std::string> routes) {
    SentVersion made;
    made.version = number;
    made.sent = acknowledged - 1;
    made.acknowledged = acknowledged;
    made.service_of_route = std::move(routes);
    return made;
  }
  Attempt& attempt(const std::string& id, Micros sent, int status) {
    Attempt made;
    made.id = id;
    made.route = "/a/";
    made.path = "/a/x";
    made.sent = sent;
    made.ended = sent + kSecond / 10;
    made.status = status;
    seen.attempts.push_back(made);
    return seen.attempts.back();
  }
  void served(const std::string& id, Micros sent, const std::string& service) {
    auto& made = attempt(id, sent, 200);
    made.sealed = true;
    made.ran_service = service;
    arrival(id, sent, service, Arrival::Kind::ran);
  }
  void arrival(const std::string& id, Micros at, const std::string& service, Arrival::Kind kind,
               const std::string& instance = "i-1") {
    seen.arrivals.push_back({id, instance, service, "/a/x", at, kind});
  }
  // A request that was sent whole and whose connection ended without an answer.
  Attempt& cut(const std::string& id, Micros sent, Micros after) {
    auto& made = attempt(id, sent, 0);
    made.last_byte = sent;
    made.ended = sent + after;
    return made;
  }
  void struck(Micros from, Micros to, bool planned) {
    seen.troubles.push_back({Place::edge, 0, from, to, "terminate", true, planned});
  }
  // The rule that is broken; empty: none is; else all of them.
  std::string broken() {
    std::string rules;
    for (const auto& finding : judge(seen, bounds())) rules += (rules.empty() ? "" : " ") + finding.rule;
    return rules;
  }
};

TEST(Judge, FindsNothingWhereAllIsAsItShouldBe) {
  served("1", kSecond, "s0");
  STRCMP_EQUAL("", broken().c_str());
}

TEST(Judge, ASuccessWithoutItsSealIsMixed) {
  attempt("1", kSecond, 200);
  STRCMP_EQUAL("MIXED", broken().c_str());
}

TEST(Judge, WhatMayRunOnceAndRanTwiceIsFound) {
  served("1", kSecond, "s0");
  arrival("1", kSecond, "s0", Arrival::Kind::ran);
  STRCMP_EQUAL("TWICE", broken().c_str());
  seen.attempts.back().repeatable = true;
  STRCMP_EQUAL("", broken().c_str());
}

TEST(Judge, APromiseOfWhatRanIsFound) {
  attempt("1", kSecond, 503);
  arrival("1", kSecond, "s0", Arrival::Kind::ran);
  STRCMP_EQUAL("REFUSED", broken().c_str());
}

TEST(Judge, WhatNoClientSentIsFound) {
  arrival("1", kSecond, "s0", Arrival::Kind::ran);
  STRCMP_EQUAL("UNASKED", broken().c_str());
}

TEST(Judge, AServiceThatNoVersionNamesIsFoundTwice) {
  served("1", kSecond, "s1");
  STRCMP_EQUAL("CONFIG ROUTE", broken().c_str());
}

TEST(Judge, ARouteThatIsRefusedLaterThanItsVersionHadToBeInForceIsFound) {
  seen.versions = {version(1, 0, {}), version(2, 10 * kSecond, {{"/a/", "s0"}})};
  seen.version_read_back = 2;
  attempt("1", 15 * kSecond, 404);
  STRCMP_EQUAL("", broken().c_str());
  attempt("2", 15 * kSecond + 1, 404);
  STRCMP_EQUAL("CONFIG", broken().c_str());
}

TEST(Judge, AnOldServiceIsAllowedUntilTheVersionHadToBeInForce) {
  seen.versions.push_back(version(2, 10 * kSecond, {{"/a/", "s1"}}));
  seen.version_read_back = 2;
  served("1", 15 * kSecond, "s0");
  STRCMP_EQUAL("", broken().c_str());
  served("2", 15 * kSecond + 1, "s0");
  STRCMP_EQUAL("CONFIG", broken().c_str());
}

TEST(Judge, AMachineOutOfTouchIsNotBoundByTimes) {
  seen.versions.push_back(version(2, 10 * kSecond, {{"/a/", "s1"}}));
  seen.version_read_back = 2;
  served("1", 16 * kSecond, "s0");
  seen.troubles = {{Place::edge, 0, 8 * kSecond, 10 * kSecond, "kill"}};
  STRCMP_EQUAL("", broken().c_str());
  seen.troubles = {{Place::core, 2, 8 * kSecond, 10 * kSecond, "kill"}};
  STRCMP_EQUAL("", broken().c_str());
  seen.troubles = {{Place::edge, 1, 8 * kSecond, 10 * kSecond, "kill"}};
  STRCMP_EQUAL("CONFIG", broken().c_str());
  seen.troubles = {{Place::edge, 0, 8 * kSecond, 10 * kSecond - 1, "kill"}};
  STRCMP_EQUAL("CONFIG", broken().c_str());
}

TEST(Judge, ARequestAtAnInstanceThatIsToEndIsFoundOnceDrainMsIsOver) {
  served("1", 15 * kSecond, "s0");
  seen.leaving = {{"i-1", 10 * kSecond}};
  STRCMP_EQUAL("", broken().c_str());
  served("2", 15 * kSecond + 1, "s0");
  STRCMP_EQUAL("DRAIN", broken().c_str());
  seen.arrivals.back().kind = Arrival::Kind::misdirected;
  STRCMP_EQUAL("", broken().c_str());
}

TEST(Judge, InstancesThatTurnAwayTooManyInFiveSecondsAreFound) {
  for (int n = 0; n < 3; ++n) {
    attempt(std::to_string(n), 10 * kSecond + n * 5 * kSecond / 2, 503);
    arrival(std::to_string(n), 10 * kSecond + n * 5 * kSecond / 2, "s0", Arrival::Kind::full);
  }
  STRCMP_EQUAL("LIMIT", broken().c_str());
  seen.arrivals.back().at += 1;
  STRCMP_EQUAL("", broken().c_str());
}

TEST(Judge, AConfigurationThatComesBackOlderOrThatWasInvalidIsFound) {
  seen.versions.push_back(version(2, 10 * kSecond, {{"/a/", "s0"}}));
  STRCMP_EQUAL("CONFIG", broken().c_str());
  seen.version_read_back = 2;
  STRCMP_EQUAL("", broken().c_str());
  seen.versions.back().valid = false;
  STRCMP_EQUAL("CONFIG CONFIG", broken().c_str());
}

TEST(Judge, AMachineThatGoesBackToAnOlderVersionInOneLifeIsFound) {
  seen.versions.push_back(version(2, 10 * kSecond, {{"/a/", "s1"}}));
  seen.version_read_back = 2;
  served("1", 11 * kSecond, "s1");
  served("2", 11 * kSecond + kSecond / 4, "s0");
  STRCMP_EQUAL("", broken().c_str());
  served("3", 11 * kSecond + kSecond / 4 + 1, "s0");
  STRCMP_EQUAL("CONFIG", broken().c_str());
  seen.attempts.back().edge = 1;  // another machine may be behind
  STRCMP_EQUAL("", broken().c_str());
  seen.attempts.back().edge = 0;
  struck(11 * kSecond + 1, 11 * kSecond + 2, false);  // another life
  STRCMP_EQUAL("", broken().c_str());
}

TEST(Judge, ARequestThatIsReadAndCutOffAroundPlannedWorkIsFound) {
  struck(10 * kSecond, 16 * kSecond, true);
  cut("1", 11 * kSecond, kSecond / 5);  // it may have crossed the close
  STRCMP_EQUAL("", broken().c_str());
  cut("2", 11 * kSecond, kSecond / 5 + 1);
  STRCMP_EQUAL("LOST", broken().c_str());
  seen.attempts.back().given_up = true;
  STRCMP_EQUAL("", broken().c_str());
  seen.attempts.back().given_up = false;
  seen.troubles.push_back({Place::core, 0, 9 * kSecond, 10 * kSecond, "kill", true, false});
  STRCMP_EQUAL("", broken().c_str());
}

TEST(Judge, ARequestAtWorkUntilTheEndOfTheGraceIsNotLost) {
  struck(10 * kSecond, 16 * kSecond, true);
  cut("1", 12 * kSecond, 3 * kSecond);
  arrival("1", 12 * kSecond, "s0", Arrival::Kind::ran);
  STRCMP_EQUAL("", broken().c_str());
  seen.attempts.back().ended -= 1;
  STRCMP_EQUAL("LOST", broken().c_str());
}

TEST(Judge, MoreThanThreeRequestsThatAMachineInTouchCutsOffAreFound) {
  for (int n = 0; n < 3; ++n) {
    cut(std::to_string(n), 20 * kSecond, kSecond / 100);
    arrival(std::to_string(n), 20 * kSecond, "s0", Arrival::Kind::ran);
  }
  STRCMP_EQUAL("", broken().c_str());
  cut("3", 20 * kSecond, kSecond / 100);
  arrival("3", 20 * kSecond, "s0", Arrival::Kind::ran);
  STRCMP_EQUAL("LOST", broken().c_str());
}

TEST(Judge, MoreThanThreeRequestsOnMoreInstancesThanTheirTriesAreFound) {
  for (int n = 10; n < 30; ++n) served(std::to_string(n), 20 * kSecond, "s0");  // further arrivals are few
  for (int n = 0; n < 4; ++n) {
    served(std::to_string(n), 20 * kSecond, "s0");
    seen.attempts.back().repeatable = true;
    if (n == 3) STRCMP_EQUAL("", broken().c_str());
    arrival(std::to_string(n), 20 * kSecond, "s0", Arrival::Kind::ran, "i-2");
  }
  STRCMP_EQUAL("BUDGET", broken().c_str());
}

TEST(Judge, ArrivalsBeyondTheFirstThatExceedTheBudgetAreFound) {
  for (int n = 0; n < 5; ++n) {  // 0.2 of them, and 2: three further arrivals are allowed
    attempt(std::to_string(n), 20 * kSecond, 502).repeatable = true;
    arrival(std::to_string(n), 20 * kSecond, "s0", Arrival::Kind::misdirected);
  }
  for (int n = 0; n < 3; ++n) arrival("1", 21 * kSecond, "s0", Arrival::Kind::misdirected);
  STRCMP_EQUAL("", broken().c_str());
  arrival("1", 21 * kSecond, "s0", Arrival::Kind::misdirected);
  STRCMP_EQUAL("BUDGET", broken().c_str());
  seen.arrivals.back().at = 31 * kSecond + 1;  // in another window
  STRCMP_EQUAL("", broken().c_str());
}

TEST(Judge, TheTimeOfDrainMsStandsStillWhileTheProviderIsDown) {
  served("1", 16 * kSecond, "s0");
  seen.leaving = {{"i-1", 10 * kSecond}};
  STRCMP_EQUAL("DRAIN", broken().c_str());
  seen.troubles = {{Place::provider, 0, 12 * kSecond, 13 * kSecond, "vanish"}};
  STRCMP_EQUAL("", broken().c_str());
}

TEST(Judge, AServiceThatDoesNotComeBackIsFound) {
  served("0", 40 * kSecond, "s0");
  seen.closing_began = 49 * kSecond;
  seen.closing_over = 50 * kSecond;
  attempt("1", 65 * kSecond, 503);
  STRCMP_EQUAL("RECOVER", broken().c_str());
  seen.attempts[0].status = 502;  // nothing to come back
  STRCMP_EQUAL("", broken().c_str());
  seen.attempts[0].status = 200;
  served("2", 66 * kSecond, "s0");
  STRCMP_EQUAL("", broken().c_str());
}
