// A change of the configuration raises max-body-bytes; clients that keep their connections send what it
// allows.
#include <cstdio>

#include "desk.h"

using namespace desk;

namespace {

constexpr int kEdges = 3, kClients = 24, kFresh = 12;
constexpr int kSmall = 600, kLarge = 20'000, kNarrow = 8'192, kWide = 262'144;
constexpr long long kApplyMs = 3000;

std::atomic<int> ids{0};

struct Outcome {
  int status = 0;
  bool sealed = false;
};

Outcome order(Line& line, int bytes) {
  const std::string id = "c" + std::to_string(++ids);
  line.send(request("POST", "/orders/new", "desk.example", id, 4000, std::string(bytes, 'x')));
  const Message said = line.read(now_ms() + 6000);
  if (!said.whole || said.header("Connection") == "close") line.close();
  note("client: " + id + ", " + std::to_string(bytes) + " bytes -> " +
       (said.whole ? std::to_string(said.status()) : "no answer"));
  return {said.whole ? said.status() : 0, !said.header("X-Woadridge-Instance-Seal").empty()};
}

}  // namespace

int main() {
  open_record(std::getenv("RECORD"));
  const Service desk_service{"order-desk", 1024, 1400, 8, 80, 600};
  const std::vector<std::string> routes = {route_json("r-1", "desk.example", "/orders/", "order-desk", true)};
  Stage stage(3, kEdges, {desk_service});
  stage.start();
  if (stage.put(configuration_json(1, routes, {desk_service}, trouble() ? kNarrow : kWide), 20'000) != 200)
    return 2;
  if (!stage.ready(15'000)) return 2;
  std::vector<std::unique_ptr<Line>> lines;
  std::vector<std::string> ips;
  for (int n = 0; n < kClients; ++n) {
    lines.push_back(std::make_unique<Line>());
    ips.push_back(stage.edge_ip(n % kEdges));
    if (!lines.back()->connect(ips.back(), stage.front_port())) return 2;
  }
  int asked = 0, served_small = 0;
  const auto round = [&](int bytes, const std::function<void(const Outcome&)>& see) {
    std::vector<std::thread> all;
    std::mutex guard;
    for (int n = 0; n < kClients; ++n)
      all.emplace_back([&, n] {
        if (!lines[n]->is_open()) lines[n]->connect(ips[n], stage.front_port());
        const Outcome got = order(*lines[n], bytes);
        const std::lock_guard lock(guard);
        ++asked;
        see(got);
      });
    for (auto& one : all) one.join();
  };
  const auto small = [&](const Outcome& got) { served_small += got.status == 200 ? 1 : 0; };
  for (int n = 0; n < 4; ++n) round(kSmall, small), pause_ms(500);
  if (trouble()) {
    if (stage.put(configuration_json(2, routes, {desk_service}, kWide), 10'000) != 200) return 2;
    note("operator: version 2 acknowledged, max-body-bytes " + std::to_string(kNarrow) + " -> " +
         std::to_string(kWide));
  }
  const long long acknowledged = now_ms();
  while (now_ms() < acknowledged + 2 * kApplyMs) round(kSmall, small), pause_ms(500);
  // From here on only version 2 may be obeyed.
  asked = 0;
  int refused_kept = 0, refused_fresh = 0, served = 0, other = 0;
  const auto count = [&](int& refused) {
    return [&](const Outcome& got) {
      if (got.status >= 400 && got.status < 500 && !got.sealed) ++refused;
      else if (got.status == 200) ++served;
      else ++other;
    };
  };
  std::vector<std::thread> fresh;
  std::mutex guard;
  const auto see_fresh = count(refused_fresh);
  for (int n = 0; n < kFresh; ++n)
    fresh.emplace_back([&, n] {
      Line line;
      line.connect(stage.edge_ip(n % kEdges), stage.front_port());
      const Outcome got = order(line, kLarge);
      const std::lock_guard lock(guard);
      ++asked;
      see_fresh(got);
    });
  for (auto& one : fresh) one.join();
  round(kLarge, count(refused_kept));
  const int refused = refused_kept + refused_fresh;
  const double most = 5 + static_cast<double>(asked) / 500;
  char text[400];
  std::snprintf(
      text, sizeof text,
      "small orders served %d; of %d orders of %d bytes, all later than twice apply-ms after the "
      "acknowledgement: %d served, %d refused with a 4xx on kept connections, %d on new ones, %d other; "
      "the rule allows %.1f",
      served_small, asked, kLarge, served, refused_kept, refused_fresh, other, most);
  note(text);
  std::puts(text);
  stage.end();
  if (served_small == 0 || served + refused == 0) return 2;
  return refused > most ? 1 : 0;
}
