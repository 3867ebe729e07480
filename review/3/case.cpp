// Clients close their connections while their requests wait or are at work: what do instances get of them?
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

#include "../rig.h"

namespace {

constexpr int kHolds = 24, kRecons = 24;
constexpr double kLeaveAfter = 0.3;  // seconds from sending on
constexpr double kWork = 1.5;        // of each request
constexpr double kSlack = 0.5;       // of the rule
constexpr int kFew = 5;              // "more than a few" is more than this
constexpr const char *kHold = "/hold/", *kRecon = "/recon/";
constexpr const char* kConfiguration =
    R"({"version":1,"routes":[{"name":"r-hold","host":"collect.example","path-prefix":"/hold/",)"
    R"("kind":"idempotent","deadline-ms":8000,"target-ms":1500,"priority":2,"service":"hold-desk",)"
    R"("max-tries":2},{"name":"r-recon","host":"collect.example","path-prefix":"/recon/",)"
    R"("kind":"mutating","deadline-ms":8000,"target-ms":5000,"priority":0,"service":"recon-desk",)"
    R"("max-tries":1}],"services":[{"name":"hold-desk","health-path":null,"max-conns":134,)"
    R"("protocol":"h1","tls":false,"memory-mb":1024,"startup-ms":1400,"concurrency":8},)"
    R"({"name":"recon-desk","health-path":null,"max-conns":22,"protocol":"h1","tls":false,)"
    R"("memory-mb":128,"startup-ms":900,"concurrency":1}],)"
    R"("limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,)"
    R"("idle-timeout-ms":15000}})";

struct Client {
  std::string id;
  double sent = 0, left = 0;  // left: 0 if it waited for its answer
  int status = 0;
};

void ask(const rig::Layout& layout, const char* path, bool leaves, Client& client, rig::Record& record) {
  const int fd = rig::connect_to(layout.edge_ip(0), layout.front());
  if (fd < 0) return;
  auto wire = std::make_unique<rig::Wire>(fd);
  wire->write(std::string("POST ") + path + client.id +
              " HTTP/1.1\r\nHost: collect.example\r\nX-Woadridge-Attempt-Id: " + client.id +
              "\r\nX-Woadridge-Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\n{}");
  client.sent = rig::now_s();
  record.line(client.id, std::string("sent to ") + path);
  if (leaves) {
    rig::sleep_s(kLeaveAfter);
    wire.reset();
    client.left = rig::now_s();
    record.line(client.id, "has closed its connection");
    return;
  }
  rig::Message answer;
  if (wire->read(answer)) client.status = answer.status();
  record.line(client.id, "answered with " + std::to_string(client.status));
}

std::vector<Client> crowd(const rig::Layout& layout, const char* path, const std::string& name, int count,
                          bool leave, rig::Record& record) {
  std::vector<Client> clients(static_cast<std::size_t>(count));
  std::vector<std::thread> threads;
  for (int n = 0; n < count; ++n) {
    auto& client = clients[static_cast<std::size_t>(n)];
    client.id = name + "-" + std::to_string(n + 1);
    threads.emplace_back([&, path, leave] { ask(layout, path, leave, client, record); });
  }
  for (auto& thread : threads) thread.join();
  return clients;
}

int play(const std::string& folder, bool trouble) {
  rig::Record record(folder + "/record.txt");
  const rig::Layout layout = rig::free_layout();
  rig::Provider provider(layout, {{"hold-desk", 1024, 1400, 8}, {"recon-desk", 128, 900, 1}}, record,
                         [](const rig::Message&) {
                           return rig::Provider::Work{kWork, 600};
                         });
  provider.open();
  rig::Programs programs(layout);
  programs.start();
  if (!rig::put_configuration(layout, kConfiguration, record, 20)) return 2;
  if (!rig::wait_ready(layout, 20)) return 2;
  rig::sleep_s(5);  // everything has been calm for contact-ms
  // Repeatable ones: some find a slot at once and are at work when their clients leave.
  crowd(layout, kHold, "warm", 8, false, record);
  const auto holds = crowd(layout, kHold, "hold", kHolds, trouble, record);
  const auto recons = crowd(layout, kRecon, "recon", kRecons, trouble, record);
  rig::sleep_s(trouble ? 12 : 1);  // beyond every deadline
  std::map<std::string, rig::Run> ran;
  for (const auto& run : provider.runs()) ran[run.attempt] = run;
  int late = 0, lasting = 0, at_work = 0, answered = 0;
  const auto judge = [&](const std::vector<Client>& clients, bool repeatable) {
    for (const auto& client : clients) {
      answered += client.status == 200 ? 1 : 0;
      const auto found = ran.find(client.id);
      if (client.left == 0 || found == ran.end()) continue;
      const double since = found->second.from - client.left;
      if (since > kSlack) {
        ++late;
        record.line("judge", client.id + " reached " + found->second.instance + " " + std::to_string(since) +
                                 " s after its client had closed");
      }
      if (!repeatable || since > 0 || found->second.from + kWork < client.left + kSlack) continue;
      ++lasting;
      if (found->second.to > client.left + kSlack) ++at_work;
    }
  };
  judge(holds, true);
  judge(recons, false);
  record.line("judge", std::to_string(late) +
                           " requests reached an instance over half a second after their " +
                           "clients had closed; instances were still at work half a second later on " +
                           std::to_string(at_work) + " of " + std::to_string(lasting) +
                           " repeatable requests; " + std::to_string(answered) + " answered");
  std::printf("GONE: %d late arrivals, at work on %d of %d; %d answered\n", late, at_work, lasting, answered);
  if (!trouble) return answered >= kHolds + kRecons / 2 ? 0 : 2;
  return late > kFew || at_work * 4 > lasting ? 1 : 0;
}

}  // namespace

int main(int, char** words) {
  const char* trouble = std::getenv("TROUBLE");
  const int status = play(words[1], trouble == nullptr || std::string(trouble) != "0");
  std::fflush(stdout);
  ::_exit(status);  // threads of the stand-ins may still wait for connections
}
