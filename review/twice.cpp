// Connections between two proxies are reset while calls that may run once only are at work.
#include <cstdio>

#include "desk.h"

using namespace desk;

namespace {

constexpr int kFunctions = 8, kAsks = 4, kWorkMs = 800;
constexpr long long kResetAfterMs = 300;
constexpr int kWayTo = 1;      // the edge whose connections are reset
constexpr double kPart = 0.5;  // of those that other proxies have to it

}  // namespace

int main() {
  open_record(std::getenv("RECORD"));
  std::vector<Service> services;
  std::vector<std::string> routes;
  for (int n = 0; n < kFunctions; ++n) {
    const std::string name = "collection-desk-" + std::to_string(n);
    services.push_back({name, 128, 900, 8, kWorkMs, 600, 410});
    routes.push_back(
        route_json("r-" + std::to_string(n), "desk.example", "/holds" + std::to_string(n) + "/", name, true));
  }
  Stage stage(3, 3, services, kWayTo);
  stage.start();
  // The functions come when all proxies are there, so that each is home to some.
  if (stage.put(configuration_json(1, {}, {}), 20'000) != 200) return 2;
  if (!stage.ready(15'000)) return 2;
  if (stage.put(configuration_json(2, routes, services), 10'000) != 200) return 2;
  pause_ms(4000);
  std::mutex guard;
  std::map<int, int> statuses;
  const auto ask = [&](const std::string& id, int function, int edge) {
    Line line;
    line.connect(stage.edge_ip(edge), stage.front_port());
    line.send(
        request("POST", "/holds" + std::to_string(function) + "/take", "desk.example", id, 6000, "hold"));
    const Message said = line.read(now_ms() + 7000);
    note("client: " + id + " -> " + (said.whole ? std::to_string(said.status()) : "no answer"));
    const std::lock_guard lock(guard);
    ++statuses[said.whole ? said.status() : 0];
  };
  const auto ask_all = [&](const std::string& prefix, int asks) {
    std::vector<std::thread> all;
    for (int n = 0; n < kFunctions; ++n)
      for (int m = 0; m < asks; ++m)
        all.emplace_back(
            [&, n, m] { ask(prefix + std::to_string(n) + "-" + std::to_string(m), n, m % 2 == 0 ? 0 : 2); });
    return all;
  };
  for (auto& one : ask_all("warm-", 2)) one.join();
  pause_ms(1000);
  statuses.clear();
  auto all = ask_all("c", kAsks);
  pause_ms(kResetAfterMs);
  int reset = 0;
  if (trouble()) {
    reset = stage.reset_way(kPart);
    note("trouble: " + std::to_string(reset) + " connections of other proxies to that of edge-" +
         std::to_string(kWayTo + 1) + " are reset");
  }
  for (auto& one : all) one.join();
  std::map<std::string, int> runs;
  for (const auto& a : stage.arrivals())
    if (a.id.starts_with("c")) ++runs[a.id];
  int twice = 0;
  for (const auto& [id, count] : runs) {
    if (count < 2) continue;
    ++twice;
    note("judge: " + id + " ran " + std::to_string(count) + " times");
  }
  std::string said;
  for (const auto& [status, count] : statuses)
    said += " " + std::to_string(status) + ": " + std::to_string(count);
  char text[300];
  std::snprintf(text, sizeof text,
                "of %zu calls that may run once only %d ran more than once; %d connections were "
                "reset; answers:%s",
                runs.size(), twice, reset, said.c_str());
  note(text);
  std::puts(text);
  stage.end();
  if (runs.empty() || (trouble() && reset == 0)) return 2;
  return twice > 0 ? 1 : 0;
}
