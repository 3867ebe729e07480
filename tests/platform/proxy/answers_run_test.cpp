// Seeded runs over the proxy's own deciding code. Without a planted fault none breaks a rule; each planted
// fault breaks the one that it is named with.
#include <CppUTest/TestHarness.h>

#include "answers_world.h"

using namespace woadridge;
using proxy::Planted;

namespace {

constexpr unsigned kSeeds = 2000;  // the rarest planted fault shows in one of some 230
constexpr int kCalls = 60;

std::set<std::string> breaks_of(unsigned seed, int* served = nullptr) {
  proxy::played::World world(seed);
  world.run(kCalls);
  if (served != nullptr) *served += world.served;
  return world.breaks;
}

void found(Planted fault, const char* rule) {
  proxy::planted_now = fault;
  bool seen = false;
  for (unsigned seed = 1; seed <= kSeeds && !seen; ++seed) seen = breaks_of(seed).contains(rule);
  proxy::planted_now = Planted::none;
  CHECK_TEXT(seen, rule);
}

}  // namespace

TEST_GROUP(Answers){void teardown() override{proxy::planted_now = Planted::none;
}
}
;

TEST(Answers, NoneIsMixedUpRunTwiceOrPromisedFalsely) {
  int served = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed)
    for (const auto& rule : breaks_of(seed, &served)) FAIL_TEST(rule.c_str());
  // Half of all sendings go wrong, and half of the calls may not be repeated.
  CHECK_TEXT(served > static_cast<int>(kSeeds) * kCalls / 3, std::to_string(served).c_str());
}
TEST(Answers, AConnectionKeptAfterAnExtraAnswerIsFound) {
  found(Planted::extra_answer_kept, "KEPT");
}
TEST(Answers, AnAnswerMatchedWithoutIdIsFound) {
  found(Planted::matched_without_id, "MIXED");
}
TEST(Answers, ARequestSentAgainOnTheLineThatAnsweredItIsFound) {
  found(Planted::resent_on_the_line, "TWICE");
}
TEST(Answers, ARequestSentAgainAfterAPartIsFound) {
  found(Planted::partial_is_unsent, "TWICE");
}
TEST(Answers, ATruncatedAnswerThatCountsAsWholeIsFound) {
  found(Planted::truncated_is_whole, "MIXED");
}
TEST(Answers, AnInstancesStatusTakenForAPeersWordIsFound) {
  found(Planted::status_is_a_word, "TWICE");
}
TEST(Answers, APassingTakenTwiceIsFound) {
  found(Planted::pass_taken_twice, "TWICE");
}
TEST(Answers, AnotherLifeThatSpeaksForThisOneIsFound) {
  found(Planted::any_life, "TWICE");
}
TEST(Answers, TriesCountedByEachProxyAreFound) {
  found(Planted::tries_per_proxy, "BUDGET");
}
TEST(Answers, ALostPeerThatCountsAsUnusedIsFound) {
  found(Planted::lost_peer_is_free, "TWICE");
}
TEST(Answers, AnAttemptThatCountsOnlyWhenItHasEndedIsFound) {
  found(Planted::attempt_out_is_free, "TWICE");
}
TEST(Answers, APromiseAfterARunIsFound) {
  found(Planted::promise_after_run, "REFUSED");
}
