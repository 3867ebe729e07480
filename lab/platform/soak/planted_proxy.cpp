// Switches a planted fault on in a proxy that is built with them, before its main begins: the one that
// WOADRIDGE_PLANTED_FAULT names. For soaks that have to find it; no such program is installed.
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "proxy/planted.h"

namespace woadridge::proxy {
namespace {

const std::map<std::string, Planted> kFaults = {
    {"none", Planted::none},
    {"extra_answer_kept", Planted::extra_answer_kept},
    {"matched_without_id", Planted::matched_without_id},
    {"resent_on_the_line", Planted::resent_on_the_line},
    {"partial_is_unsent", Planted::partial_is_unsent},
    {"truncated_is_whole", Planted::truncated_is_whole},
    {"pass_taken_twice", Planted::pass_taken_twice},
    {"any_life", Planted::any_life},
    {"tries_per_proxy", Planted::tries_per_proxy},
    {"lost_peer_is_free", Planted::lost_peer_is_free},
    {"promise_after_run", Planted::promise_after_run},
    {"attempt_out_is_free", Planted::attempt_out_is_free},
};

bool plant() {
  const char* name = std::getenv("WOADRIDGE_PLANTED_FAULT");
  const auto fault = kFaults.find(name == nullptr ? "none" : name);
  if (fault == kFaults.end()) {
    std::cerr << "WOADRIDGE_PLANTED_FAULT: no such fault: " << name << "\n";
    std::exit(2);
  }
  planted_now = fault->second;
  return true;
}

const bool kPlanted = plant();

}  // namespace
}  // namespace woadridge::proxy
