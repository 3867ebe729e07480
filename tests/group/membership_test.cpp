// Failure detection between members that a test carries frames for: who hears whom is said line by line.
#include "group/membership.h"

#include <gtest/gtest.h>

#include <memory>

namespace woadridge::group {
namespace {

class MembershipTest : public ::testing::Test {
 protected:
  struct One {
    Options options;
    std::unique_ptr<Membership> m;
    bool stopped = false;
  };

  void add(const std::string& name, std::uint64_t run = 1, std::uint64_t incarnation = 10) {
    auto one = std::make_unique<One>();
    one->options.name = name;
    one->options.zone = "z";
    one->options.machine = name;
    one->options.address = one->options.listen = name + ":1";
    one->options.seeds = {"a:1"};
    one->options.voters = {};
    one->m = std::make_unique<Membership>(one->options, run, incarnation, all_.size() + 1);
    one->m->start(now_, out_[name]);
    all_[name] = std::move(one);
    deliver();
  }
  Membership& at(const std::string& name) { return *all_.at(name)->m; }
  const Member& seen(const std::string& by, const std::string& name) { return at(by).members().at(name); }

  void deliver() {
    for (bool some = true; some;) {
      some = false;
      auto frames = std::exchange(out_, {});
      for (auto& [from, sent] : frames)
        for (auto& s : sent) {
          s.frame.set_from(from);
          for (auto& [to, one] : all_) {
            if (one->options.address != s.address || one->stopped || cut_.contains({from, to})) continue;
            one->m->receive(s.frame, now_, out_[to]);
            some = true;
          }
        }
    }
  }
  void pass(Micros span) {
    for (const Micros until = now_ + span; now_ < until;) {
      now_ += 10'000;
      for (auto& [name, one] : all_)
        if (!one->stopped && one->m->wake() <= now_) one->m->tick(now_, out_[name]);
      deliver();
    }
  }
  void cut(const std::string& from, const std::string& to) { cut_.insert({from, to}); }

  Micros now_ = 1'000'000;
  std::map<std::string, std::unique_ptr<One>> all_;
  std::map<std::string, Out> out_;
  std::set<std::pair<std::string, std::string>> cut_;
};

TEST_F(MembershipTest, OneThatIsKilledIsFoundDeadByAllAndTheOthersAreNot) {
  for (const auto* name : {"a", "b", "c", "d"}) add(name);
  pass(3'000'000);
  all_.at("d")->stopped = true;
  pass(30'000'000);
  for (const auto* name : {"a", "b", "c"}) {
    EXPECT_EQ(seen(name, "d").state, wire::DEAD);
    EXPECT_EQ(at(name).alive(), 3u);
  }
}

TEST_F(MembershipTest, AOneWayCutIsToldApartFromADeath) {
  for (const auto* name : {"a", "b", "c", "d"}) add(name);
  pass(3'000'000);
  cut("a", "b");
  pass(30'000'000);
  EXPECT_EQ(seen("a", "b").state, wire::ALIVE);
  EXPECT_EQ(seen("a", "b").link, Link::indirect);
  EXPECT_EQ(seen("b", "a").link, Link::indirect);  // its answer does not come back
  EXPECT_EQ(seen("c", "b").link, Link::direct);
}

TEST_F(MembershipTest, TwoHalvesThatHaveGivenEachOtherUpComeTogetherAgain) {
  for (const auto* name : {"a", "b", "c", "d"}) add(name);
  pass(3'000'000);
  for (const auto* left : {"a", "b"})
    for (const auto* right : {"c", "d"}) cut(left, right), cut(right, left);
  pass(40'000'000);
  ASSERT_EQ(seen("a", "c").state, wire::DEAD);
  ASSERT_EQ(seen("d", "b").state, wire::DEAD);
  cut_.clear();
  pass(40'000'000);
  for (const auto* name : {"a", "b", "c", "d"}) EXPECT_EQ(at(name).alive(), 4u) << name;
}

TEST_F(MembershipTest, OneThatWasStoppedItselfJudgesNobodyForItsOwnPause) {
  for (const auto* name : {"a", "b", "c", "d"}) add(name);
  pass(3'000'000);
  all_.at("d")->stopped = true;
  now_ += 2'000'000;  // too short for the others to have given it up
  all_.at("d")->stopped = false;
  all_.at("d")->m->tick(now_, out_["d"]);
  for (const auto* name : {"a", "b", "c"}) EXPECT_EQ(seen("d", name).state, wire::ALIVE) << name;
  EXPECT_GT(at("d").health(), 0);  // it knows that it is slow
}

TEST_F(MembershipTest, ANameThatReturnsIsANewIncarnation) {
  for (const auto* name : {"a", "b", "c"}) add(name);
  pass(3'000'000);
  const auto before = seen("a", "c").incarnation;
  add("c", 2, 5);  // its clock was set back: it begins lower than it was
  pass(10'000'000);
  EXPECT_GT(seen("a", "c").incarnation, before);
  EXPECT_EQ(seen("a", "c").run, 2u);
  EXPECT_EQ(seen("a", "c").state, wire::ALIVE);
  EXPECT_FALSE(at("c").displaced());
}

TEST_F(MembershipTest, OfTwoProcessesUnderOneNameTheEarlierGivesWay) {
  for (const auto* name : {"a", "b"}) add(name);
  add("c", 1, 10);
  pass(3'000'000);
  auto earlier = std::move(all_.at("c"));
  add("c", 2, 20);
  earlier->options.address = "c-old:1";
  all_["c-old"] = std::move(earlier);
  // Frames of both carry one name; the test's own names only say who is who.
  for (int i = 0; i < 400 && !all_.at("c-old")->m->displaced(); ++i) {
    pass(50'000);
    for (auto& sent : out_["c-old"]) sent.frame.set_from("c");
    wire::Frame rumour;
    rumour.set_to("c");
    rumour.mutable_ack();
    auto* r = rumour.add_rumours();
    r->set_name("c");
    r->set_address("c:1");
    r->set_run(2);
    r->set_incarnation(all_.at("c-old")->m->incarnation() + 1);
    all_.at("c-old")->m->receive(rumour, now_, out_["c-old"]);
    out_["c-old"].clear();
  }
  EXPECT_TRUE(all_.at("c-old")->m->displaced());
  EXPECT_FALSE(at("c").displaced());
}

TEST_F(MembershipTest, WhatWasForThePreviousOwnerOfAnAddressIsNotTaken) {
  add("a");
  add("b");
  wire::Frame frame;
  frame.set_from("b");
  frame.set_to("somebody-else");
  frame.mutable_ping()->set_number(1);
  Out out;
  at("a").receive(frame, now_, out);
  EXPECT_TRUE(out.empty());
  EXPECT_EQ(at("a").misdirected(), 1u);
}

TEST_F(MembershipTest, OneThatLeavesByNameIsNotSuspectedFirst) {
  for (const auto* name : {"a", "b", "c"}) add(name);
  pass(3'000'000);
  at("a").take_changes();
  at("c").leave(now_, out_["c"]);
  deliver();
  pass(2'000'000);
  EXPECT_EQ(seen("a", "c").state, wire::LEFT);
  for (const auto& change : at("a").take_changes()) EXPECT_NE(change.to, wire::SUSPECT);
}

// Messages of a later release: what is not known is passed over, the rest of the frame counts.
TEST_F(MembershipTest, AFrameOfALaterFormatIsReadAsFarAsItIsKnown) {
  add("a");
  wire::Frame known;
  known.set_from("b");
  known.set_to("a");
  known.set_format(99);
  auto* r = known.add_rumours();
  r->set_name("b");
  r->set_address("b:1");
  r->set_incarnation(1);
  std::string bytes = known.SerializeAsString();
  bytes += std::string("\xc2\x3e\x02\x08\x01", 5);  // field 1000, a message
  wire::Frame read;
  ASSERT_TRUE(read.ParseFromString(bytes));
  Out out;
  at("a").receive(read, now_, out);
  EXPECT_TRUE(at("a").is_there("b"));
}

TEST_F(MembershipTest, MoreNamesThanTheBoundAreNotRemembered) {
  add("a");
  wire::Frame frame;
  frame.set_from("b");
  frame.mutable_whole()->set_answer(true);
  for (std::size_t i = 0; i < Membership::kMostMembers + 50; ++i) {
    auto* r = frame.add_rumours();
    r->set_name("x" + std::to_string(i));
    r->set_address("x:1");
    r->set_incarnation(1);
  }
  Out out;
  at("a").receive(frame, now_, out);
  EXPECT_EQ(at("a").members().size(), Membership::kMostMembers);
}

}  // namespace
}  // namespace woadridge::group
