// The workers, the list and the clients of the model, at the instants where orders cross.
#include "tests/lab/rig.h"

namespace woadridge::lab::test {
namespace {

constexpr const char* kTwo = R"(
[fleet]
workers = 2
group_size = 2
kinds = [{ name = "box", slots = 1 }]
overload_factor = 2
overload_for = "1s"
cold_from = 0.5
warm_after = "10s"
[[classes]]
name = "plain"
[[classes]]
name = "keyed"
effect = "keyed"
scope = "group"
memory = "3s"
)";

TEST(FleetModel, JobsAtOneInstantBeginInTheOrderTheyCameIn) {
  FleetRig rig(scenario_from(kTwo));
  rig.offer(0, 1, 0, 1000);
  rig.offer(0, 2, 0, 1000);
  rig.until(kSecond);
  ASSERT_EQ(rig.fleet.records().runs.size(), 2u);
  EXPECT_EQ(rig.fleet.records().runs[0].request, 1u);
  EXPECT_EQ(rig.fleet.records().runs[1].began - kStart, 1000);
  EXPECT_EQ(rig.said(1), (std::vector{Said::taken, Said::started, Said::done}));
}

TEST(FleetModel, AWorkerThatDiesAtTheInstantOfTheEndHasEitherEndedOrBroken) {
  Scenario s = scenario_from(kTwo);
  Trouble die;
  die.worker = "w-0000";
  die.at = 10 * kMs;
  s.troubles.push_back(die);
  FleetRig rig(
      s);  // the trouble is planned first, so it strikes before the end that falls on the same instant
  rig.offer(0, 1, 0, 10 * kMs);
  rig.until(kSecond);
  EXPECT_EQ(rig.said(1), (std::vector{Said::taken, Said::started, Said::broken}));
  EXPECT_EQ(rig.fleet.records().runs[0].ended, kNever);
  rig.offer(0, 2, 0, 1000);
  EXPECT_EQ(rig.said(2), std::vector{Said::refused});
}

TEST(FleetModel, AKeyIsDroppedInTheLastMicrosecondOfItsMemoryAndRunsInTheNext) {
  FleetRig rig(scenario_from(kTwo));
  rig.offer(0, 1, 0, 1000, 77, 1);
  rig.until(3 * kSecond);  // began at 0: remembered up to and with this instant
  rig.offer(1, 1, 1, 1000, 77, 1);
  rig.until(3 * kSecond + 1);
  EXPECT_EQ(rig.said(1, 1), (std::vector{Said::taken, Said::done}));
  EXPECT_EQ(rig.runs_of(77).size(), 1u);
  rig.offer(1, 1, 2, 1000, 77, 1);
  rig.until(4 * kSecond);
  EXPECT_EQ(rig.runs_of(77), (std::vector<Micros>{0, 3 * kSecond + 1}));
}

TEST(FleetModel, ARepeatWaitsForTheFirstOneAndRunsIfThatOneDies) {
  FleetRig rig(scenario_from(kTwo));
  rig.offer(0, 1, 0, 100 * kMs, 77, 1);
  rig.until(10 * kMs);
  rig.offer(1, 1, 1, 100 * kMs, 77, 1);
  rig.until(kSecond);
  EXPECT_EQ(rig.said(1, 1), (std::vector{Said::taken, Said::done}));
  EXPECT_EQ(rig.runs_of(77).size(), 1u);

  Scenario s = scenario_from(kTwo);
  Trouble die;
  die.worker = "w-0000";
  die.at = 50 * kMs;
  s.troubles.push_back(die);
  FleetRig other(s);
  other.offer(0, 1, 0, 100 * kMs, 77, 1);
  other.until(10 * kMs);
  other.offer(1, 1, 1, 100 * kMs, 77, 1);
  other.until(kSecond);
  EXPECT_EQ(other.said(1, 1), (std::vector{Said::taken, Said::started, Said::done}));
  EXPECT_EQ(other.runs_of(77), std::vector<Micros>{50 * kMs});
}

TEST(FleetModel, AColdWorkerThatIsGivenTooMuchFallsAndStaysDown) {
  Scenario s = scenario_from(kTwo);
  Trouble die;
  die.worker = "w-0000";
  die.at = 0;
  die.span = 10 * kMs;
  s.troubles.push_back(die);
  FleetRig rig(s);
  rig.until(20 * kMs);  // back at 10 ms, at half of one core: 1 s of work in a second is the limit
  rig.offer(0, 1, 0, 900 * kMs);
  EXPECT_TRUE(rig.fleet.accepts(0));
  rig.offer(0, 2, 0, 200 * kMs);
  EXPECT_FALSE(rig.fleet.accepts(0));
  rig.until(20 * kSecond);
  EXPECT_EQ(rig.fleet.doing(rig.now, 0), Doing::fallen);
  EXPECT_EQ(rig.said(2).back(), Said::broken);
}

TEST(FleetModel, SlownessAndHangsStretchWhatRuns) {
  Scenario s = scenario_from(kTwo);
  Trouble slow;
  slow.kind = TroubleKind::slow;
  slow.worker = "w-0000";
  slow.at = 50 * kMs;
  slow.span = 100 * kMs;
  slow.factor = 2;
  Trouble hang = slow;
  hang.kind = TroubleKind::hang;
  hang.worker = "w-0001";
  s.troubles = {slow, hang};
  FleetRig rig(s);
  rig.offer(0, 1, 0, 200 * kMs);
  rig.offer(1, 2, 0, 200 * kMs);
  rig.until(100 * kMs);
  rig.offer(1, 3, 0, kMs);
  EXPECT_EQ(rig.said(3), std::vector{Said::connected});  // the system accepts, the process sleeps
  rig.until(kSecond);
  EXPECT_EQ(rig.fleet.records().runs[0].ended - kStart, 250 * kMs);
  EXPECT_EQ(rig.fleet.records().runs[1].ended - kStart, 300 * kMs);
  EXPECT_EQ(rig.said(3), (std::vector{Said::connected, Said::taken, Said::started, Said::done}));
}

TEST(FleetModel, TheListIsWholeThenChangesAndSilentWhileItIsOut) {
  Scenario s = scenario_from(kTwo);
  Trouble out;
  out.kind = TroubleKind::list_outage;
  out.at = kSecond;
  out.span = 5 * kSecond;
  Trouble die;
  die.worker = "w-0001";
  die.at = 2 * kSecond;
  s.troubles = {out, die};
  FleetRig rig(s);
  rig.fleet.ask_list(rig.now, 0);
  rig.until(4 * kSecond);
  ASSERT_EQ(rig.lists.size(), 2u);
  EXPECT_EQ(rig.lists[0].second.kind, ListKind::full);
  EXPECT_EQ(rig.lists[0].second.entries->size(), 2u);
  EXPECT_EQ(rig.lists[1].second.kind, ListKind::failed);
  rig.fleet.ask_list(rig.now, 0);
  EXPECT_EQ(rig.lists[2].second.kind, ListKind::failed);
  rig.until(7 * kSecond);
  rig.fleet.ask_list(rig.now, 0);
  EXPECT_EQ(rig.lists[3].second.entries->size(), 1u);  // the dead one is left out
}

TEST(FleetModel, NothingCrossesACutAndWhatWasLostBreaksWhenItHeals) {
  Scenario s = scenario_from(std::string("[fleet]\nworkers = 2\nzones = [\"a\", \"b\"]\n"));
  Trouble cut;
  cut.kind = TroubleKind::partition;
  cut.zone = "b";
  cut.at = 10 * kMs;
  cut.span = kSecond;
  s.troubles.push_back(cut);
  FleetRig rig(s);
  rig.offer(1, 1, 0, 100 * kMs);  // to zone b, from a dispatcher in zone a
  rig.until(500 * kMs);
  rig.offer(1, 2, 0, 100 * kMs);
  EXPECT_EQ(rig.said(1), (std::vector{Said::taken, Said::started}));  // its end was not heard
  EXPECT_TRUE(rig.said(2).empty());
  EXPECT_EQ(rig.fleet.records().sends[1].received, kNever);
  rig.until(2 * kSecond);
  EXPECT_EQ(rig.said(1).back(), Said::broken);
  EXPECT_EQ(rig.said(2), std::vector{Said::broken});
}

class ClientRig : public ClientsOut {
 public:
  explicit ClientRig(Scenario s) : scenario(std::move(s)), clients(scenario, 0, kStart, *this) {}
  void ask(const Wish& w) override { wishes.push_back(w); }
  void leave(RequestId id) override { left.push_back(id); }
  void until(Micros at) { clients.advance(kStart + at); }
  Scenario scenario;
  std::vector<Wish> wishes;
  std::vector<RequestId> left;
  Clients clients;
};

Scenario one_request(const std::string& more = "") {
  Scenario s = scenario_from(
      "dispatchers = 1\n[[classes]]\nname = \"plain\"\ndeadline = \"1s\"\n[[classes]]\nname = "
      "\"once\"\neffect = \"unsafe\"\n" +
      more);
  s.traffic.trace = {{0, 0, 0, 1000, 0}};
  return s;
}

TEST(ClientModel, AnAnswerAtTheInstantOfTheDeadlineIsInTime) {
  ClientRig rig(one_request());
  rig.until(0);
  ASSERT_EQ(rig.wishes.size(), 1u);
  rig.clients.taken(rig.wishes[0].request);
  rig.clients.answered(kStart + kSecond, rig.wishes[0].request, 's', 0, true);
  rig.until(kSecond);
  EXPECT_TRUE(rig.left.empty());
  EXPECT_EQ(rig.clients.asks()[0].answered, rig.clients.asks()[0].deadline);
}

TEST(ClientModel, AnAnswerAfterTheClientLeftIsCountedAsLate) {
  ClientRig rig(one_request("[clients]\nretries = 0\n"));
  rig.until(0);
  rig.clients.taken(rig.wishes[0].request);
  rig.until(kSecond);
  EXPECT_EQ(rig.left.size(), 1u);
  rig.clients.answered(kStart + kSecond + 1, rig.wishes[0].request, 's', 0, true);
  Records records;
  records.asks = rig.clients.asks();
  records.begin = kStart;
  Rules rules;
  rules.classes.resize(2);
  EXPECT_EQ(judge(rules, records).late_answers, 1u);
}

TEST(ClientModel, OnlyARefusalIsFollowedByARetryOfWhatMayHaveRun) {
  Scenario s = one_request("[clients]\nretries = 2\nretry_wait = \"10ms\"\nheed_retry_after = true\n");
  s.traffic.trace[0].class_index = 1;
  ClientRig refused(s);
  refused.until(0);
  refused.clients.taken(refused.wishes[0].request);
  refused.clients.answered(kStart + 5 * kMs, refused.wishes[0].request, 'r', 200 * kMs, true);
  refused.until(205 * kMs - 1);
  EXPECT_EQ(refused.wishes.size(), 1u);
  refused.until(205 * kMs);
  ASSERT_EQ(refused.wishes.size(), 2u);
  EXPECT_EQ(refused.wishes[1].key, refused.wishes[0].key);
  EXPECT_NE(refused.wishes[1].request, refused.wishes[0].request);

  ClientRig failed(s);
  failed.until(0);
  failed.clients.taken(failed.wishes[0].request);
  failed.clients.answered(kStart + 5 * kMs, failed.wishes[0].request, 'f', 0, true);
  failed.until(kSecond);
  EXPECT_EQ(failed.wishes.size(), 1u);
}

TEST(ClientModel, LatencyCountsFromWhenARequestWasDueNotFromWhenAConnectionCameFree) {
  Scenario s = one_request("[clients]\nconnections = 1\n");
  s.traffic.trace.push_back({10 * kMs, 0, 0, 1000, 0});
  ClientRig rig(s);
  rig.until(10 * kMs);
  EXPECT_EQ(rig.wishes.size(), 1u);
  rig.clients.answered(kStart + 300 * kMs, rig.wishes[0].request, 's', 0, true);
  ASSERT_EQ(rig.wishes.size(), 2u);
  EXPECT_EQ(rig.clients.asks()[1].due, kStart + 10 * kMs);
  EXPECT_EQ(rig.clients.asks()[1].asked, kStart + 300 * kMs);
}

}  // namespace
}  // namespace woadridge::lab::test
