// The operator lifts a function's concurrency to a number that stands for "no limit"; then one more change.
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "desk.h"

using namespace desk;

namespace {

constexpr long long kUsual = 8, kNoLimit = 4'294'967'295;  // 32 bits, all set
constexpr long long kOrderAckMs = 5000, kContactMs = 4000, kPatienceMs = 12'000;

}  // namespace

int main() {
  open_record(std::getenv("RECORD"));
  const Service usual{"order-desk", 1024, 1400, kUsual, 80, 600};
  Service lifted = usual;
  lifted.concurrency = kNoLimit;
  const std::vector<std::string> routes = {route_json("r-1", "desk.example", "/orders/", "order-desk", true)};
  Stage stage(3, 3, {usual});
  stage.start();
  if (stage.put(configuration_json(1, routes, {usual}), 20'000) != 200) return 2;
  if (!stage.ready(15'000)) return 2;
  std::atomic<bool> over{false};
  std::atomic<int> served{0}, refused{0}, failed{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < 6; ++n)
    clients.emplace_back([&, n] {
      for (int m = 0; !over; ++m) {
        const std::string id = "c" + std::to_string(n) + "-" + std::to_string(m);
        Line line;
        line.connect(stage.edge_ip(n % 3), stage.front_port());
        line.send(request("POST", "/orders/new", "desk.example", id, 4000, "order"));
        const Message said = line.read(now_ms() + 5000);
        if (said.status() == 200) ++served;
        else if (said.status() == 503) ++refused;
        else ++failed;
        pause_ms(200);
      }
    });
  const auto change = [&](int version, const Service& service) {
    const long long sent = now_ms();
    const int status = stage.put(configuration_json(version, routes, {service}), kPatienceMs);
    const long long took = now_ms() - sent;
    note("operator: version " + std::to_string(version) + ", concurrency " +
         std::to_string(service.concurrency) + " -> " +
         (status == 0 ? "no clear answer" : std::to_string(status)) + " after " + std::to_string(took) +
         " ms");
    return status == 200 ? took : -1;
  };
  pause_ms(4000);
  const auto tell = [&](const char* when) {
    note(std::string("clients, ") + when + ": " + std::to_string(served.exchange(0)) + " served, " +
         std::to_string(refused.exchange(0)) + " refused, " + std::to_string(failed.exchange(0)) + " other");
  };
  tell("before the change");
  const long long second = change(2, trouble() ? lifted : usual);
  tell("since the change was sent");
  const long long third = change(3, usual);
  const int read = stage.read_back(3 * kContactMs);
  note("operator: read back: " +
       (read == 0 ? std::string("nothing comes") : "version " + std::to_string(read)));
  const int silent = stage.silent_cores();
  tell("since then");
  int after = read;
  if (read == 0) {  // it breaks the rule already; is a restart of the core a way out?
    note("operator: every core process is killed and started again");
    stage.restart_cores();
    pause_ms(6000);
    after = stage.read_back(3 * kContactMs);
    note("operator: read back after the restart: " +
         (after == 0 ? std::string("nothing comes") : "version " + std::to_string(after)));
  }
  char text[500];
  std::snprintf(
      text, sizeof text,
      "version 2 was acknowledged after %lld ms, version 3 after %lld ms (-1: not within %lld s; "
      "order-ack-ms %lld); read back: version %d (0: nothing came within %lld s); %d of 3 core machines "
      "don't answer GET /api/status within 3 s; after a restart of the core, read back: version %d",
      second, third, kPatienceMs / 1000, kOrderAckMs, read, 3 * kContactMs / 1000, silent, after);
  note(text);
  std::puts(text);
  over = true;
  for (auto& one : clients) one.join();
  stage.end();
  if (!trouble() && (second < 0 || third < 0)) return 2;
  return read == 0 ? 1 : 0;
}
