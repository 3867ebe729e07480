#include "agent/pending.h"

#include <algorithm>

// Last: its macros for new and delete break the standard library's headers.
#include <CppUTest/TestHarness.h>

using woadridge::agent::Pending;
using woadridge::common::Demand;
using woadridge::common::Report;

namespace {

Demand demand(const std::string& service, std::uint32_t arrivals, std::uint32_t busy) {
  Demand d;
  d.service = service;
  d.arrivals = arrivals;
  d.busy = busy;
  return d;
}

}  // namespace

TEST_GROUP(Pending){};

TEST(Pending, keeps_the_newest_of_each_function) {
  Pending pending;
  CHECK_TRUE(pending.empty());
  pending.add(100, {{demand("b", 5, 3), demand("a", 2, 1)}, {}, {}, false});
  pending.add(200, {{demand("b", 1, 0)}, {}, {}, false});
  const Report report = pending.take(300);
  LONGS_EQUAL(2, report.demand.size());
  STRCMP_EQUAL("a", report.demand[0].service.c_str());
  LONGS_EQUAL(2, report.demand[0].arrivals);
  LONGS_EQUAL(1, report.demand[1].arrivals);
  LONGS_EQUAL(0, report.demand[1].busy);
  CHECK_TRUE(pending.empty());
}

TEST(Pending, leaves_out_demand_that_is_old) {
  Pending pending;
  pending.add(100, {{demand("a", 2, 1)}, {}, {}, false});
  pending.add(4000, {{demand("b", 2, 1)}, {"i-1"}, {}, false});
  const Report report = pending.take(4100);
  LONGS_EQUAL(1, report.demand.size());
  STRCMP_EQUAL("b", report.demand[0].service.c_str());
  LONGS_EQUAL(1, report.reached.size());
}

TEST(Pending, an_instance_is_reached_or_lost_as_told_last) {
  Pending pending;
  pending.add(1, {{}, {"i-1", "i-2"}, {}, false});
  pending.add(2, {{}, {"i-1"}, {"i-2", "i-3"}, false});
  const Report report = pending.take(3);
  CHECK_TRUE(report.reached == std::vector<std::string>{"i-1"});
  CHECK_TRUE((report.lost == std::vector<std::string>{"i-2", "i-3"}));
}

TEST(Pending, is_bounded) {
  Pending pending;
  for (int i = 0; i < 20000; ++i)
    pending.add(i, {{demand("s" + std::to_string(i), 1, 1)},
                    {"r" + std::to_string(i)},
                    {"l" + std::to_string(i)},
                    false});
  const Report report = pending.take(20000);
  CHECK_TRUE(report.demand.size() <= Pending::kMostServices);
  LONGS_EQUAL(Pending::kMostIds, report.reached.size());
  LONGS_EQUAL(Pending::kMostIds, report.lost.size());
  STRCMP_EQUAL("r19999", report.reached.back().c_str());
}

TEST(Pending, keeps_what_was_released_once) {
  Pending pending;
  Report report;
  report.released = {"i-1", "i-2"};
  pending.add(1, report);
  pending.add(2, report);
  CHECK_FALSE(pending.empty());
  const auto taken = pending.take(3);
  UNSIGNED_LONGS_EQUAL(2, taken.released.size());
  CHECK(pending.empty());
}
