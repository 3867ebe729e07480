#include "codec.h"

#include <gtest/gtest.h>

namespace woadridge::wire {
namespace {

TEST(Line, NameAndPairsInAnyOrder) {
  const Line line("WAKEUP tag=77 dispatcher-id=3");
  EXPECT_EQ(line.name, "WAKEUP");
  EXPECT_EQ(line.whole("dispatcher-id"), 3);
  EXPECT_EQ(line.natural("tag"), 77u);
  EXPECT_EQ(line.whole_or("absent", 5), 5);
}

TEST(Line, FaultsAreNamed) {
  EXPECT_THROW(Line(""), Malformed);
  EXPECT_THROW(Line("WAKEUP 77"), Malformed);
  const Line line("X a=12x b=1e999 c=-1 d=maybe e=");
  EXPECT_THROW(line.whole("a"), Malformed);
  EXPECT_THROW(line.number_or("b", 0), Malformed);
  EXPECT_THROW(line.natural("c"), Malformed);
  EXPECT_THROW(line.flag_or("d", false), Malformed);
  EXPECT_THROW(line.text("e"), Malformed);
  EXPECT_THROW(line.text("missing"), Malformed);
}

TEST(Provision, SettingsWithTheirDefaults) {
  const Line line(
      "PROVISION dispatcher-id=0 init-seed=9 az=north fleet-size=3 grades.count=2 grades.0.name=quick "
      "grades.0.effect=by_key grades.0.key-scope=cell grades.0.memory-span=700 grades.0.target=10 "
      "grades.0.hard-limit=99 grades.0.late-worth=0.5 grades.1.name=slow grades.1.effect=once "
      "domain.class-stretch=2.0,1.5 domain.class-kind=-1,1 kinds=red,blue load-info.via=probe "
      "load-info.fields=cpu,x0 domain.report-x0=free_slots limits.max-attempts=4 limits.second-copies=true "
      "membership-mode=ask obligations.cold-from=0.25 accounts.count=1 accounts.0.name=t "
      "accounts.0.share=0.4 "
      "unheard-of.setting=1");
  const auto p = read_provision(line);
  const auto& s = p.settings;
  EXPECT_EQ(s.seed, 9u);
  EXPECT_EQ(s.fleet_size, 3);
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].effect, Effect::keyed);
  EXPECT_EQ(s.classes[0].scope, Scope::group);
  EXPECT_EQ(s.classes[0].memory, 700);
  EXPECT_EQ(s.classes[0].worker_kind, "");
  EXPECT_EQ(s.classes[1].effect, Effect::unsafe);
  EXPECT_EQ(s.classes[1].worker_kind, "blue");
  EXPECT_DOUBLE_EQ(s.classes[1].stretch, 1.5);
  EXPECT_EQ(s.reports, ReportSource::probes);
  EXPECT_EQ(s.list_mode, ListMode::asked);
  EXPECT_EQ(s.max_attempts, 4);
  EXPECT_TRUE(s.may_copy);
  EXPECT_FALSE(s.may_cancel);
  EXPECT_EQ(s.tenants.size(), 1u);
  EXPECT_EQ(p.fields.free_slots, "x0");
}

TEST(Provision, UnknownWordsOfAKnownSettingAreFaults) {
  EXPECT_THROW(read_provision(Line("PROVISION init-seed=1 membership-mode=guess")), Malformed);
  EXPECT_THROW(read_provision(Line("PROVISION dispatcher-id=1")), Malformed);
}

TEST(Worker, DefaultsAndPhases) {
  const auto w = read_worker(Line("WORKER worker=10.0.0.1:80"));
  EXPECT_EQ(w.phase, Phase::serving);
  EXPECT_DOUBLE_EQ(w.size, 1);
  EXPECT_EQ(w.started, 0);
  EXPECT_EQ(read_worker(Line("WORKER worker=10.0.0.1:80 phase=fading")).phase, Phase::draining);
  EXPECT_EQ(read_worker(Line("WORKER worker=10.0.0.1:80 phase=off")).phase, Phase::gone);
  EXPECT_THROW(read_worker(Line("WORKER worker=10.0.0.1:80 phase=odd")), Malformed);
  EXPECT_THROW(read_worker(Line("WORKER phase=on")), Malformed);
}

TEST(Provision, SettingsOfTheMovedDeploymentsAreReadOrPassedOver) {
  const auto read = [](const std::string& more) {
    return read_provision(Line("PROVISION init-seed=1 " + more));
  };
  EXPECT_EQ(read("goal.tail=0.4 goal.tail-slack=0.02").settings.weights, Weights::nominal);
  EXPECT_EQ(read("weight-source=live").settings.weights, Weights::live);
  EXPECT_EQ(read("weight-source=rough limits.peers=true").settings.weights, Weights::rough);
  EXPECT_TRUE(read("limits.peers=true").settings.may_tell);
  EXPECT_FALSE(read("").settings.may_tell);
  EXPECT_THROW(read("weight-source=heavy"), Malformed);
}

TEST(Arrival, ItsKeyIsANumberOrAbsent) {
  const std::string plain = "ORDER dispatcher-id=0 job=1 tier-class=c ttl=5";
  EXPECT_FALSE(read_arrival(Line(plain)).key.has_value());
  EXPECT_EQ(read_arrival(Line(plain + " name-key=9007199254740991")).key, 9007199254740991u);
  EXPECT_THROW(read_arrival(Line(plain + " name-key=x")), Malformed);
}

TEST(Message, BytesSurviveTheirWayThroughBase64) {
  for (const std::string bytes : {"", "\x04", "\xfc", "ab", "abc", "\x7f\xff\x01\x02"}) {
    std::string line;
    write_action(3, Tell{bytes}, line);
    const std::string lead = "ANNOUNCE dispatcher-id=3 dest=-1 body=";
    ASSERT_TRUE(line.starts_with(lead));
    EXPECT_EQ(from_base64(line.substr(lead.size(), line.size() - lead.size() - 1)), bytes);
  }
  EXPECT_THROW(from_base64("a b!"), Malformed);
}

TEST(Report, KnownFiguresOnly) {
  const ReportFields fields{"x0"};
  const auto report = read_report("x0:2.5,cpu:0.25,novel:9", fields);
  EXPECT_DOUBLE_EQ(*report.free_slots, 2.5);
  EXPECT_FALSE(read_report("", fields).free_slots.has_value());
  EXPECT_THROW(read_report("x0=2", fields), Malformed);
  EXPECT_THROW(read_report("x0:two", fields), Malformed);
}

TEST(Outcome, EveryVerdict) {
  const std::pair<const char*, Result> words[] = {{"pass", Result::ok},
                                                  {"fault", Result::error},
                                                  {"no_room", Result::full},
                                                  {"too_slow", Result::timed_out},
                                                  {"no_route", Result::no_connection},
                                                  {"cut", Result::broken},
                                                  {"undone", Result::cancelled},
                                                  {"stale_send", Result::never_sent}};
  for (const auto& [word, result] : words) EXPECT_EQ(read_result(word), result);
  EXPECT_THROW(read_result("ok"), Malformed);
}

TEST(Arrival, OptionalFieldsMayBeAbsent) {
  const auto a = read_arrival(Line("ORDER dispatcher-id=1 job=4294967295 tier-class=c ttl=-5"));
  EXPECT_EQ(a.id, 4294967295u);
  EXPECT_FALSE(a.hint.has_value());
  EXPECT_DOUBLE_EQ(a.slots, 1);
  EXPECT_EQ(a.time_left, -5);
  EXPECT_THROW(read_arrival(Line("ORDER dispatcher-id=1 job=1 tier-class=c")), Malformed);
}

TEST(Write, EveryAction) {
  std::string out;
  write_action(3, Send{7, "h:1", 0}, out);
  write_action(3, Send{7, "h:1", 50}, out);
  write_action(3, Refuse{7, 0}, out);
  write_action(3, Refuse{7, 9}, out);
  write_action(3, Fail{7}, out);
  write_action(3, Cancel{7, 1}, out);
  write_action(3, Probe{"h:1"}, out);
  write_action(3, Subscribe{}, out);
  write_action(3, SetTimer{99, 4}, out);
  write_action(3, Remark{"two words"}, out);
  EXPECT_EQ(out,
            "ATTEMPT dispatcher-id=3 job=7 worker=h:1\n"
            "ATTEMPT dispatcher-id=3 job=7 patience=50 worker=h:1\n"
            "DECLINE dispatcher-id=3 job=7\n"
            "DECLINE dispatcher-id=3 job=7 hold-off=9\n"
            "FAIL dispatcher-id=3 job=7\n"
            "UNDO_SEND dispatcher-id=3 job=7 round-no=1\n"
            "INSPECT dispatcher-id=3 worker=h:1\n"
            "LISTEN dispatcher-id=3 active=1\n"
            "DEFER dispatcher-id=3 at=99 tag=4\n"
            "REMARK dispatcher-id=3 message=two words\n");
}

}  // namespace
}  // namespace woadridge::wire
