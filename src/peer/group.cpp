#include "peer/group.h"

#include <spdlog/spdlog.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

namespace woadridge::peer {
namespace {

constexpr auto kSweepEvery = std::chrono::milliseconds(500);
constexpr std::size_t kDutiesInStatus = 20;
constexpr auto kTryAgain = std::chrono::milliseconds(200);  // beside an older process that has not let go yet

std::uint64_t wall_us() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

}  // namespace

Group::Group(net::Strand strand, net::Engine& engine, const net::Config& config, group::Options options)
    : strand_(strand),
      engine_(engine),
      config_(config),
      options_(std::move(options)),
      timer_(strand),
      sweeper_(strand),
      alive_(std::make_shared<Group*>(this)) {
  engine_.share(this);
}

Group::~Group() {
  stop();
  engine_.share(nullptr);
}

// Beside another process of this dispatcher its folder and its address are still taken: this one serves
// without the group until the other has left.
std::string Group::open() {
  const std::string fault = start();
  if (fault.empty() || !config_.inherited) return fault;
  try_again(fault);
  return {};
}

void Group::try_again(const std::string& fault) {
  spdlog::info("group: waits for the process before: {}", fault);
  sweeper_.expires_after(kTryAgain);
  sweeper_.async_wait([this](net::Fault cancelled) {
    if (cancelled || stopped_ || leaving_) return;
    if (const std::string still = start(); !still.empty()) try_again(still);
  });
}

std::string Group::start() {
  const auto address = net::parse_address(options_.listen);
  if (!address) return "listen is not address:port: " + options_.listen;
  auto transport = std::make_unique<Transport>(strand_, engine_.clock(), kMostConnections,
                                               [this](wire::Frame frame) { take(std::move(frame)); });
  if (std::string fault = transport->listen(*address); !fault.empty()) return "group: " + fault;
  std::optional<duty::Kept> kept;
  if (options_.votes()) {
    auto opened =
        Store::open(options_.folder, [strand = strand_, alive = alive_](std::uint64_t token, bool ok) {
          boost::asio::post(strand, [alive, token, ok] {
            if (*alive != nullptr) (*alive)->stored(token, ok);
          });
        });
    if (auto* fault = std::get_if<std::string>(&opened)) return "group: " + *fault;
    store_ = std::move(std::get<std::unique_ptr<Store>>(opened));
    kept = store_->kept();
    if (store_->was_copy())
      spdlog::warn(
          "group: folder {} was put back from a copy: it begins anew, and votes once the others have agreed",
          options_.folder);
  }
  transport_ = std::move(transport);
  std::random_device chance;
  const std::uint64_t seed = static_cast<std::uint64_t>(chance()) << 32 | chance();
  const std::uint64_t started = wall_us();
  node_ = std::make_unique<duty::Node>(options_, std::move(kept), duty::Self{started, started / 1000, seed});
  if (spdlog::should_log(spdlog::level::debug)) node_->record_acts();
  share_ = std::make_unique<duty::ListShare>(
      *node_, net::to_text(config_.discovery), [this] { return engine_.whole_list(); }, seed + 1);
  prober_ = std::make_unique<duty::Prober>(*node_, seed + 2);
  spdlog::info("group {} is on: {} at {} in zone {}, {} of {} voters, run {}", options_.group, options_.name,
               options_.address, options_.zone, options_.votes() ? "one" : "none", options_.voters.size(),
               started);
  node_->start(now());
  share_->start(now());
  sweep();
  pump();
  return {};
}

void Group::sweep() {
  if (stopped_) return;
  transport_->sweep();
  sweeper_.expires_after(kSweepEvery);
  sweeper_.async_wait([this](net::Fault cancelled) {
    if (!cancelled) sweep();
  });
}

void Group::moved(const net::Address& discovery) {
  if (share_) share_->moved(net::to_text(discovery));
}

void Group::leave() {
  if (std::exchange(leaving_, true) || !node_) return;
  node_->leave(now());
  pump();
}

void Group::stop() {
  if (std::exchange(stopped_, true)) return;
  *alive_ = nullptr;
  timer_.cancel();
  sweeper_.cancel();
  if (transport_) transport_->stop();
  store_.reset();
}

// ---- what comes in ----

void Group::take(wire::Frame frame) {
  if (stopped_) return;
  node_->receive(frame, now());
  pump();
}

void Group::stored(std::uint64_t token, bool ok) {
  if (stopped_) return;
  node_->stored(token, ok, now());
  pump();
}

bool Group::watches_list() {
  if (!options_.share_list || !share_) return true;
  return share_->watches();
}

void Group::list_heard(const net::Members& news) {
  if (!share_ || stopped_) return;
  share_->heard(news, now());
  list_changed_ = true;
  boost::asio::post(strand_, [alive = alive_] {  // the engine takes the list first
    if (*alive != nullptr) (*alive)->pump();
  });
}

void Group::probed(const WorkerId& worker, Micros age, bool ok) {
  if (!prober_ || stopped_) return;
  prober_->probed(worker, ok, age, now());
  pump();
}

// ---- what is to be done ----

void Group::pump() {
  again_ = true;
  if (std::exchange(pumping_, true)) return;
  while (std::exchange(again_, false) && !stopped_) pump_once(now());
  pumping_ = false;
  if (!stopped_) arm(now());
}

void Group::pump_once(Micros at) {
  share_->alive(engine_.discovery_heard());
  share_->tick(at);
  prober_->tick(at);
  for (const auto& frame : node_->take_inbox()) {
    if (frame.has_probe_news()) prober_->receive(frame);
    else share_->receive(frame, at);
  }
  for (auto& list : share_->take_lists()) {
    spdlog::debug("list at version {} heard from the group, {} entries", list.version, list.entries.size());
    engine_.hear_list(std::move(list));
    list_changed_ = true;
  }
  for (const auto& result : prober_->take_results()) engine_.hear_probe(result.worker, result.age, result.ok);
  for (const auto& order : prober_->take_orders()) carry_out(order);
  if (options_.share_list && std::exchange(watched_, share_->watches()) != share_->watches()) {
    spdlog::info("group: {} discovery", watched_ ? "watches" : "leaves to others to watch");
    engine_.watch_list(watched_);
  }
  if (options_.probe_workers > 0 && std::exchange(list_changed_, false)) {
    std::set<std::string> ids;
    for (const auto& m : engine_.whole_list().entries)
      if (m.info.phase == Phase::serving) ids.insert(m.info.id);
    prober_->workers(ids);
  }
  if (auto writes = node_->take_writes(); !writes.empty() && store_) store_->write(std::move(writes));
  for (const auto& sent : node_->take_out()) transport_->send(sent.address, sent.frame);
  tell_staff();
}

// The time is read here, at the act: between the order and this line the process may have been stopped.
void Group::carry_out(const duty::ProbeOrder& order) {
  if (!prober_->may(order, now())) return;
  engine_.probe(order.worker, "Duty: " + order.duty + "\r\nDuty-Number: " + std::to_string(order.number) +
                                  "\r\nDuty-Holder: " + options_.name + "\r\n");
}

void Group::tell_staff() {
  for (const auto& line : node_->take_news()) spdlog::info("group: {}", line);
  for (const auto& move : node_->take_moves()) {
    spdlog::info("duty {} number {} {} by {}: {}", move.duty, move.number, move.held ? "held" : "left",
                 options_.name, move.why);
    why_[move.duty] = move.why;
    if (!move.held && why_.size() > 10'000) why_.erase(move.duty);
  }
  for (const auto& act : node_->take_acts())
    spdlog::debug("act {} number {} from {} {}", act.duty, act.number, act.holder,
                  act.taken ? "taken" : "refused");
}

void Group::arm(Micros at) {
  const Micros wake = std::min({node_->wake(), share_->wake(), prober_->wake()});
  timer_.expires_after(std::chrono::microseconds(std::clamp<Micros>(wake - at, 500, 60'000'000)));
  timer_.async_wait([this](net::Fault cancelled) {
    if (cancelled || stopped_) return;
    node_->tick(now());
    pump();
  });
}

// ---- for staff ----

std::string Group::status_line() {
  if (!node_) return "group " + options_.group + ": waits for the process before";
  std::string line = "group " + options_.group + ": on, " + std::to_string(node_->membership().alive()) +
                     " members, leader " +
                     (node_->holder().leader().empty() ? "unknown" : node_->holder().leader()) + ", " +
                     std::to_string(node_->holder().held().size()) + " duties held";
  if (node_->displaced()) line += ", another process has this name";
  if (const auto* c = node_->consensus(); c != nullptr && (c->failed() || c->stale()))
    line += ", its folder is of no use";
  std::size_t told = 0;
  for (const auto& [duty, number] : node_->holder().held()) {
    if (++told > kDutiesInStatus) return line + "\n... /group has all";
    const auto seconds = (now() - node_->holder().since(duty).value_or(now())) / 1'000'000;
    line += "\nduty " + duty + " number " + std::to_string(number) + " for " + std::to_string(seconds) +
            " s: " + why_[duty];
  }
  return line;
}

std::string Group::details() {
  nlohmann::json j;
  j["group"] = options_.group;
  j["name"] = options_.name;
  j["on"] = node_ != nullptr;
  if (!node_) return j.dump() + "\n";
  const Micros at = now();
  j["run"] = node_->run();
  j["has_session"] = node_->holder().has_session(at);
  j["leader"] = node_->holder().leader();
  j["displaced"] = node_->displaced();
  j["health"] = node_->membership().health();
  j["stale_acts_refused"] = node_->refused();
  const auto& t = transport_->traffic();
  j["traffic"] = {{"frames_in", t.frames_in},
                  {"frames_out", t.frames_out},
                  {"bytes_in", t.bytes_in},
                  {"bytes_out", t.bytes_out},
                  {"dropped", t.dropped},
                  {"malformed", t.malformed},
                  {"connections", transport_->connections()}};
  j["list"] = {
      {"watches", share_->watches()}, {"version", share_->version()}, {"age_ms", share_->age(at) / 1000}};
  j["members"] = nlohmann::json::array({{{"name", options_.name},
                                         {"address", options_.address},
                                         {"zone", options_.zone},
                                         {"machine", options_.machine},
                                         {"state", "alive"},
                                         {"incarnation", node_->membership().incarnation()},
                                         {"link", "self"},
                                         {"slow", false}}});
  for (const auto& [name, m] : node_->membership().members())
    j["members"].push_back({{"name", name},
                            {"address", m.address},
                            {"zone", m.zone},
                            {"machine", m.machine},
                            {"state", group::name_of(m.state)},
                            {"incarnation", m.incarnation},
                            {"link", m.link == group::Link::direct     ? "direct"
                                     : m.link == group::Link::indirect ? "indirect"
                                                                       : "none"},
                            {"slow", m.slow},
                            {"answer_ms", static_cast<double>(m.answer) / 1e3}});
  for (const auto& [duty, number] : node_->holder().held())
    j["held"].push_back({{"duty", duty},
                         {"number", number},
                         {"since_ms", (at - node_->holder().since(duty).value_or(at)) / 1000},
                         {"why", why_[duty]}});
  if (const auto* c = node_->consensus()) {
    const char* roles[] = {"listener", "follower", "candidate", "leader"};
    j["voter"] = {{"role", roles[static_cast<int>(c->role())]},
                  {"term", c->term()},
                  {"leader", c->leader()},
                  {"committed", c->committed()},
                  {"log", c->log_length()},
                  {"elections", c->elections()},
                  {"failed", c->failed()},
                  {"stale", c->stale()},
                  {"boot", c->boot()}};
    j["sessions"] = node_->ledger().sessions().size();
    for (const auto& [name, d] : node_->ledger().duties())
      j["duties"].push_back({{"duty", name}, {"number", d.number}, {"holder", d.holder.name}});
  }
  return j.dump() + "\n";
}

}  // namespace woadridge::peer
