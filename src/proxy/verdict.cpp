#include "proxy/verdict.h"

#include "proxy/call.h"

namespace woadridge::proxy {
namespace {

using How = OutboundResult::How;

constexpr int kMostRejoins = 2;

PassEnd after_loss(Tries& tries, std::uint32_t grant) {
  tries.peer_lost(grant);
  return tries.may_run() ? PassEnd::again : PassEnd::fail;
}

PassEnd after_answer(Tries& tries, const PassSoFar& so_far, const OutboundResult& end) {
  const bool by_status = planted(Planted::status_is_a_word) && end.status == kNeverReadStatus && !end.sealed;
  if (so_far.rejoined > 0 && (end.never_read || by_status))
    return tries.may_run() ? PassEnd::again : PassEnd::refuse;
  if (is_success(end.status) && !end.sealed) return after_loss(tries, so_far.grant);
  if (end.used) tries.peer_answered(so_far.grant, *end.used);
  else if (end.status >= 500 && end.status != 503) tries.peer_lost(so_far.grant);
  if (end.sealed) return PassEnd::pass_along;
  // Its home has used up what it was granted: there may be more.
  if (end.status == 502 && tries.may_run()) return PassEnd::again;
  if (is_promise(end.status) && !tries.may_promise()) return PassEnd::fail;
  return PassEnd::pass_along;
}

}  // namespace

Reply instance_reply(OutboundResult end) {
  Reply reply;
  reply.status = end.status;
  reply.head = std::move(end.head);
  reply.body = std::move(end.body);
  reply.own = false;
  return reply;
}

bool is_success(int status) {
  return status >= 200 && status < 300;
}

bool is_promise(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

AttemptEnd judge_attempt(const OutboundResult& end) {
  if (!end.connected() || end.how == How::unsent) return AttemptEnd::unreachable;
  if (end.how == How::broken || !end.named) return AttemptEnd::may_have_run;
  if (end.status == 421) return AttemptEnd::misdirected;
  if (end.not_executed) return end.status == 400 ? AttemptEnd::rejected : AttemptEnd::turned_away;
  // A success is the instance's own only with its seal and without an encoding, which nobody asked for.
  if ((is_success(end.status) && !end.sealed) || end.encoded) return AttemptEnd::may_have_run;
  // A promise that nobody made.
  if (is_promise(end.status)) return AttemptEnd::may_have_run;
  return AttemptEnd::answered;
}

const char* word(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::answered:
      return "answered";
    case AttemptEnd::unreachable:
      return "unreachable";
    case AttemptEnd::misdirected:
      return "misdirected";
    case AttemptEnd::turned_away:
      return "turned_away";
    case AttemptEnd::rejected:
      return "rejected";
    case AttemptEnd::may_have_run:
      break;
  }
  return "may_have_run";
}

PassEnd judge_pass(Tries& tries, const PassSoFar& so_far, const OutboundResult& end) {
  if (end.how == How::answered) return after_answer(tries, so_far, end);
  const bool asked_again = so_far.rejoined > 0;
  if (end.how != How::broken && !asked_again) return PassEnd::unreachable;
  const bool may_ask = end.how == How::broken && so_far.life_known && so_far.rejoined < kMostRejoins;
  if (may_ask && so_far.time_left) return PassEnd::rejoin;
  return after_loss(tries, so_far.grant);
}

}  // namespace woadridge::proxy
