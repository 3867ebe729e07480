// A member's side of the leases, and what voters keep of them.
#include "duty/holder.h"

#include <gtest/gtest.h>

#include "duty/ledger.h"

namespace woadridge::duty {
namespace {

class HolderTest : public ::testing::Test {
 protected:
  HolderTest() {
    options_.name = "n5";
    options_.zone = "z";
    for (const auto* name : {"n0", "n1", "n2"}) options_.voters.push_back({name, std::string(name) + ":1"});
    holder_.emplace(options_, 77, 0);
    holder_->start(now_);
  }
  std::uint64_t ask() {  // the number of the keep-alive that goes out now
    Out out;
    holder_->tick(now_, out);
    for (const auto& sent : out)
      if (sent.frame.has_keep_alive()) return sent.frame.keep_alive().number();
    return 0;
  }
  void answer(std::uint64_t number, std::uint64_t version, const std::map<std::string, std::uint64_t>& held,
              std::uint64_t run = 77) {
    wire::Frame frame;
    frame.set_from("n0");
    auto* k = frame.mutable_kept();
    k->set_number(number);
    k->set_known(true);
    k->set_run(run);
    k->set_version(version);
    k->set_whole(true);
    for (const auto& [duty, n] : held) {
      auto* h = k->add_held();
      h->set_duty(duty);
      h->set_number(n);
    }
    Out out;
    holder_->receive(frame, now_, out);
  }
  bool acts() const { return holder_->may_act("list/z", now_).has_value(); }

  group::Options options_;
  Micros now_ = 1'000'000;
  std::optional<Holder> holder_;
};

TEST_F(HolderTest, TheLeaseCountsFromBeforeTheMemberAsked) {
  const Micros asked = now_;
  const auto number = ask();
  now_ += options_.lease / 2;  // the answer was long on its way
  answer(number, 5, {{"list/z", 3}});
  EXPECT_TRUE(acts());
  now_ = asked + options_.lease;
  EXPECT_FALSE(acts());
}

TEST_F(HolderTest, AProcessThatWasStoppedActsOnNothingThoughNoTimerHasFired) {
  answer(ask(), 5, {{"list/z", 3}});
  ASSERT_TRUE(acts());
  now_ += 60'000'000;  // and nothing was called in between
  EXPECT_FALSE(acts());
}

// Found by the simulation: after all had been killed, what the voters told of the old session reached the new
// process of that name, and it held numbers that were another's.
TEST_F(HolderTest, WhatIsForAnEarlierProcessOfTheNameIsNotTaken) {
  answer(ask(), 5, {{"list/z", 3}}, 76);
  EXPECT_FALSE(acts());
}

TEST_F(HolderTest, AnOlderAnswerDoesNotBringBackWhatWasGivenUp) {
  const auto first = ask();
  answer(first, 5, {{"list/z", 3}});
  Out out;
  holder_->give_up("list/z", now_, out);
  EXPECT_FALSE(acts());
  answer(0, 5, {{"list/z", 3}});
  EXPECT_FALSE(acts());
  answer(0, 4, {{"list/z", 2}});
  EXPECT_FALSE(acts());
}

TEST_F(HolderTest, NothingIsHeldBeforeTheFirstLease) {
  answer(0, 5, {{"list/z", 3}});
  EXPECT_TRUE(holder_->held().empty());
}

wire::LogEntry entry(std::uint64_t index, const wire::Command& c) {
  wire::LogEntry e;
  e.set_index(index);
  e.set_data(c.SerializeAsString());
  return e;
}

TEST(LedgerTest, NumbersOnlyGrowThroughReleasesAndSnapshots) {
  Ledger ledger;
  wire::Command open;
  open.mutable_open()->set_name("a");
  open.mutable_open()->set_run(1);
  open.add_ask("list/z");
  ledger.apply(entry(2, open));
  std::uint64_t last = 0;
  for (std::uint64_t i = 3; i < 30; ++i) {
    wire::Command c;
    if (last != 0) c.add_give_up(last);
    auto* a = c.add_assign();
    a->set_duty("list/z");
    a->set_name("a");
    a->set_run(1);
    ledger.apply(entry(i, c));
    const auto number = ledger.duties().at("list/z").number;
    EXPECT_GT(number, last);
    last = number;
    Ledger again;
    again.load(ledger.state(), i);
    EXPECT_EQ(again.state(), ledger.state());
    if (i % 2 == 0) ledger = again;
  }
  wire::Command close;
  close.mutable_close()->set_name("a");
  close.mutable_close()->set_run(1);
  ledger.apply(entry(30, close));
  EXPECT_EQ(ledger.duties().at("list/z").number, 0u);
  EXPECT_EQ(ledger.last_number(), last);
}

TEST(LedgerTest, ADutyThatIsHeldIsGivenToNobodyElse) {
  Ledger ledger;
  wire::Command c;
  c.mutable_open()->set_name("a");
  c.mutable_open()->set_run(1);
  c.add_ask("list/z");
  for (int i = 0; i < 2; ++i) {
    auto* a = c.add_assign();
    a->set_duty("list/z");
    a->set_name("a");
    a->set_run(1);
  }
  ledger.apply(entry(2, c));
  EXPECT_EQ(ledger.last_number(), 1u);
}

}  // namespace
}  // namespace woadridge::duty
