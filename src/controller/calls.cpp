#include "controller/calls.h"

#include <array>

#include "controller/core.h"

namespace woadridge::controller {
namespace {

constexpr std::array<Call, 4> kCalls{{
    {"PUT", "/api/configuration", &Core::put_configuration,
     "200 with version and digest in force and whether it was applied; 400 with all faults; 409 where its "
     "number has other bytes; 307 or 503 where it can't be kept now",
     "takes a whole configuration"},
    {"GET", "/api/configuration", &Core::get_configuration,
     "200 with it as it was sent, version and digest in headers; 404 while there is none; 307 or 503 where "
     "nobody knows now",
     "gives the newest configuration"},
    {"POST", "/api/replacement", &Core::replace_member,
     "202: it is under way once a machine stands by, see /api/status; 404 where that is no member; 307 or "
     "503 "
     "where this machine doesn't hold the duty",
     "gives the place of the member whose ip is the body to one that stands by"},
    {"GET", "/api/status", &Core::get_status, "200",
     "tells of this machine, the group, the duty and the disk"},
}};

}  // namespace

std::span<const Call> calls() {
  return kCalls;
}

const Call* find_call(std::string_view method, std::string_view path, int& status) {
  status = 404;
  for (const auto& call : kCalls) {
    if (call.path != path) continue;
    if (call.method == method) return &call;
    status = 405;
  }
  return nullptr;
}

std::string calls_as_text() {
  std::string text;
  for (const auto& c : kCalls)
    text.append("  ")
        .append(c.method)
        .append(" ")
        .append(c.path)
        .append(": ")
        .append(c.help)
        .append("\n    ")
        .append(c.answers)
        .append("\n");
  return text;
}

}  // namespace woadridge::controller
