// A change of the configuration adds a route for a second host; both hosts are IPv6 literals (RFC
// 3986, 3.2.2).
#include <cstdio>

#include "desk.h"

using namespace desk;

namespace {

constexpr const char *kFirst = "[2001:db8::1]", *kSecond = "[2001:db8::2]";
constexpr long long kApplyMs = 3000;
constexpr int kAsks = 12;

}  // namespace

int main() {
  open_record(std::getenv("RECORD"));
  const Service one{"order-desk", 1024, 1400, 8, 80, 600}, two{"audit-desk", 1024, 1400, 8, 80, 600};
  const auto first = route_json("r-1", kFirst, "/desk/", "order-desk", true);
  const auto second = route_json("r-2", kSecond, "/desk/", "audit-desk", true);
  Stage stage(3, 3, {one, two});
  stage.start();
  if (stage.put(configuration_json(1, {first}, {one, two}), 20'000) != 200) return 2;
  if (!stage.ready(15'000)) return 2;
  if (trouble()) {
    const int status = stage.put(configuration_json(2, {first, second}, {one, two}), 10'000);
    note("operator: version 2 with a route for " + std::string(kSecond) + " -> " + std::to_string(status));
    if (status != 200) return 2;
  }
  pause_ms(2 * kApplyMs);
  int wrong = 0, right = 0, other = 0;
  for (int n = 0; n < kAsks; ++n) {
    const bool to_second = trouble() && n % 2 == 1;
    const std::string id = "c" + std::to_string(n), wanted = to_second ? "audit-desk" : "order-desk";
    Line line;
    line.connect(stage.edge_ip(n % 3), stage.front_port());
    line.send(request("POST", "/desk/new", to_second ? kSecond : kFirst, id, 4000, "order"));
    const Message said = line.read(now_ms() + 5000);
    std::string ran;
    for (const auto& a : stage.arrivals())
      if (a.id == id) ran = a.service;
    note("client: " + id + " for " + (to_second ? kSecond : kFirst) + " -> " + std::to_string(said.status()) +
         ", run by " + (ran.empty() ? "nobody" : ran) + ", wanted " + wanted);
    if (ran.empty()) ++other;
    else if (ran == wanted) ++right;
    else ++wrong;
  }
  char text[300];
  std::snprintf(text, sizeof text,
                "of %d requests %d were run by their route's service, %d by another one, %d by none", kAsks,
                right, wrong, other);
  note(text);
  std::puts(text);
  stage.end();
  if (right + wrong == 0) return 2;
  return wrong > 0 ? 1 : 0;
}
