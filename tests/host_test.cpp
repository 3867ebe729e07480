#include "host.h"

#include <gtest/gtest.h>

#include <sstream>

namespace woadridge::wire {
namespace {

struct Run {
  int code;
  std::string out, errors;
};

Run run(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out, errors;
  const int code = Host().run(in, out, errors);
  return {code, out.str(), errors.str()};
}

std::string provision(int id) {
  return "PROVISION dispatcher-id=" + std::to_string(id) + " init-seed=" + std::to_string(id * 77 + 5) +
         " az=a fleet-size=2 grades.count=1 grades.0.name=c grades.0.target=100000 grades.0.hard-limit=900000"
         " limits.max-attempts=3 domain.tells-start=true tick=2000 limits.dial-timeout=250000\n";
}

const std::string kList =
    "LEDGER slot=2 elements=3\n"
    "WORKER worker=h:1 zone=a shape=k share=2\n"
    "WORKER worker=h:2 zone=a shape=k share=2\n"
    "WORKER worker=h:3 zone=a shape=k share=2\n";

std::string listed(int id) {
  return "BACKENDS_CHANGED dispatcher-id=" + std::to_string(id) + " slot=2 stamp=1 kind=cached\n";
}

std::string orders(int id, int first) {
  std::string text;
  for (int i = 0; i < 5; ++i)
    text += "ORDER dispatcher-id=" + std::to_string(id) + " job=" + std::to_string(first + i) +
            " tier-class=c ttl=900000 cost-guess=" + std::to_string(1000 * (i + 1)) + "\n";
  return text;
}

// The lines of one instance, over the whole conversation.
std::string lines_of(const std::string& out, int id) {
  std::istringstream in(out);
  std::string line, kept;
  const std::string mark = "dispatcher-id=" + std::to_string(id) + " ";
  while (std::getline(in, line))
    if ((line + " ").find(mark) != std::string::npos) kept += line + "\n";
  return kept;
}

TEST(Host, AnEmptyBatchIsEchoed) {
  const auto r = run("TICK at-time=10 seq=4\nEND\n");
  EXPECT_EQ(r.code, 0);
  EXPECT_EQ(r.out, "EOR seq=4\n");
}

TEST(Host, ARequestIsSentToAListedWorker) {
  const auto r = run("TICK at-time=10 seq=1\n" + provision(0) + kList + listed(0) +
                     "END\nTICK at-time=2010 seq=2\n" + orders(0, 1) + "END\n");
  EXPECT_EQ(r.code, 0);
  EXPECT_NE(r.out.find("ATTEMPT dispatcher-id=0 job=1 worker=h:"), std::string::npos);
}

TEST(Host, OneProcessAndManyActAlike) {
  const auto part = [](bool zero, bool one) {
    std::string text = "TICK at-time=10 seq=1\n";
    if (zero) text += provision(0);
    if (one) text += provision(1);
    text += kList;
    if (zero) text += listed(0);
    if (one) text += listed(1);
    text += "END\nTICK at-time=2010 seq=2\n";
    if (zero) text += orders(0, 1);
    if (one) text += orders(1, 100);
    text += "END\nTICK at-time=4010 seq=3\n";
    if (zero) text += "CHANGE dispatcher-id=0 job=1 round-no=0 worker=h:1 topic=1\n";
    if (one) text += "HANGUP dispatcher-id=1 job=101\n";
    return text + "END\n";
  };
  const auto both = run(part(true, true)), zero = run(part(true, false)), one = run(part(false, true));
  EXPECT_EQ(lines_of(both.out, 0), lines_of(zero.out, 0));
  EXPECT_EQ(lines_of(both.out, 1), lines_of(one.out, 1));
  EXPECT_GT(lines_of(both.out, 1).size(), 100u);
  EXPECT_EQ(run(part(true, true)).out, both.out);
}

TEST(Host, UnknownMessagesAndFieldsAreIgnored) {
  const auto r = run("TICK at-time=10 seq=1 extra=1\n" + provision(0) + kList + listed(0) +
                     "NOVELTY dispatcher-id=0 a=b\nNOTE_FROM dispatcher-id=0 neighbour=1 body=aGk=\n"
                     "CHANGE dispatcher-id=0 job=1 round-no=0 worker=h:1 topic=9\nEND\n");
  EXPECT_EQ(r.code, 0);
  EXPECT_EQ(r.errors, "");
}

TEST(Host, ARestartInTheSameBatchForgetsAndStartsAnew) {
  const auto r = run("TICK at-time=10 seq=1\n" + provision(0) + kList + listed(0) + orders(0, 1) +
                     "POWER_OFF dispatcher-id=0\n" + provision(0) + listed(0) + "END\n");
  EXPECT_EQ(r.code, 0);
}

TEST(Host, AReusedListNumberMeansTheListBeforeTheEvent) {
  const auto r =
      run("TICK at-time=10 seq=1\n" + provision(0) + kList + listed(0) + "LEDGER slot=2 elements=1\n" +
          "WORKER worker=h:9 zone=a\nBACKENDS_CHANGED dispatcher-id=0 slot=2 stamp=2 kind=full\n" +
          orders(0, 1) + "END\n");
  EXPECT_EQ(r.code, 0);
  EXPECT_NE(r.out.find("worker=h:9"), std::string::npos);
  EXPECT_EQ(r.out.find("worker=h:1"), std::string::npos);
}

TEST(Host, FaultsStopItWithOnePlainMessageThatNamesTheLine) {
  const std::string head = "TICK at-time=10 seq=1\n" + provision(0) + kList + listed(0);
  const std::pair<std::string, std::string> faults[] = {
      {head + "ORDER dispatcher-id=0 job=1 tier-class=c\nEND\n", "line 8: missing ttl"},
      {head + "ORDER dispatcher-id=0 job=x tier-class=c ttl=1\nEND\n", "line 8: job is not a number: x"},
      {head + "ORDER dispatcher-id=5 job=1 tier-class=c ttl=1\nEND\n",
       "line 8: event for an instance that was not started"},
      {head + "BACKENDS_CHANGED dispatcher-id=0 slot=3 stamp=1 kind=full\nEND\n",
       "line 8: unknown list number"},
      {head, "line 7: input ended inside a batch"},
      {"ORDER dispatcher-id=0 job=1\n", "line 1: outside a batch: ORDER"},
      {"TICK at-time=1 seq=1\nLEDGER slot=16 elements=0\nEND\n", "line 2: list number out of range"},
      {"TICK at-time=1 seq=1\nLEDGER slot=1 elements=2\nWORKER worker=h:1\nEND\n",
       "line 4: list shorter than announced"},
      {"TICK at-time=1 seq=1\nWORKER worker=h:1\nEND\n", "line 2: more workers than announced"},
      {"TICK at-time=1 seq=1\nTICK at-time=2 seq=2\nEND\n", "line 2: a batch inside a batch"}};
  for (const auto& [text, message] : faults) {
    const auto r = run(text);
    EXPECT_NE(r.code, 0) << message;
    EXPECT_EQ(r.errors, "woadridge_adapter: " + message + "\n");
  }
}

}  // namespace
}  // namespace woadridge::wire
