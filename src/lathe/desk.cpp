#include "lathe/desk.h"

#include <algorithm>

#include "text.h"
#include "toolbox/homes.h"

namespace woadridge::lathe {
namespace {

constexpr Micros kPeerDown = 1'000'000;  // a peer that refused a connection; the board says soon whether it is gone
constexpr Micros kPeerShaken = 300'000;  // one that broke one off
constexpr Micros kReportEvery = 250'000;
constexpr Micros kReportSoon = 2'000;  // a held call without an instance: together with those of the same moment
constexpr Micros kReportHeld = 80'000;  // calls are waiting: the holder weighs a start
constexpr Micros kHopAhead = 3'000;  // the home answers so long before the first proxy gives up
constexpr int kMostPassed = 3;       // times that one call is sent to a peer
constexpr int kRefusalsLost = 2;     // connections in a row that one which was up refuses: it is gone

}  // namespace

Desk::Desk(net::Strand strand, toolbox::Settings settings)
    : settings_(std::move(settings)), space_(settings_.memory_mb), alarms_(strand, clock_),
      errands_(strand, clock_, alarms_, space_) {}

const toolbox::Peer* Desk::home(const std::string& service) {
  const auto& peers = board_.peers;
  auto found = homes_.find(service);
  if (found == homes_.end()) found = homes_.emplace(service, toolbox::homes(service, peers)).first;
  for (const auto at : found->second) {
    const auto& peer = peers[at];
    if (peer.name == settings_.node_name) {
      if (leaving_) continue;
      return nullptr;
    }
    const auto down = down_until_.find(peer.name);
    if (down == down_until_.end() || down->second <= now()) return &peer;
  }
  return nullptr;  // nobody else is there
}

bool Desk::is_home(const std::string& service) {
  return home(service) == nullptr;
}

Station& Desk::station(const std::string& service) {
  auto& found = stations_[service];
  if (!found) {
    found = std::make_unique<Station>(*this, service, fnv1a(settings_.node_name, fnv1a(service)));
    show(service);
  }
  return *found;
}

void Desk::show(const std::string& service) {
  std::vector<toolbox::Instance> all;
  for (const auto& instance : board_.instances)
    if (instance.service == service) all.push_back(instance);
  stations_.at(service)->instances(std::move(all));
}

void Desk::take(CallRef call) {
  if (!call->from_peer) {
    if (const toolbox::Peer* peer = home(call->service); peer != nullptr && call->passed_on < kMostPassed)
      return pass_on(std::move(call), *peer);
  }
  station(call->service).take(std::move(call));
}

void Desk::pass_on(CallRef call, const toolbox::Peer& peer) {
  const auto place = toolbox::read_place(peer.address);
  if (!place) return answer(call, {503, {}, {}, 0.2, true});
  ++call->passed_on;
  Errand errand;
  errand.to = place.value();
  errand.id = call->id;
  errand.body = call->body;
  errand.held = call->held;
  auto& head = errand.head;
  head.reserve(384 + call->head.size());
  head.append(call->method).append(" ").append(call->target).append(" HTTP/1.1\r\n").append(call->head);
  const Micros left = std::max<Micros>(1000, call->deadline - kHopAhead - now());
  net::write_header(head, kDeadline, std::to_string(left / 1000));
  std::string via = call->service + ";" + call->route + ";" + (call->repeatable ? "r" : "m") + ";" +
                    std::to_string(call->max_tries) + ";" + std::to_string(call->aim / 1000) + ";" +
                    std::to_string(call->longest / 1000);
  net::write_header(head, kVia, via);
  if (!call->body.empty() || call->method == "POST" || call->method == "PUT" || call->method == "PATCH")
    net::write_header(head, "Content-Length", std::to_string(call->body.size()));
  head += "\r\n";
  auto done = std::make_shared<bool>(false);
  const auto number = errands_.start(std::move(errand), [this, call, done, name = peer.name](ErrandEnd end) {
    if (std::exchange(*done, true)) return;
    passed(call, name, std::move(end));
  });
  alarms_.at(call->deadline, [this, call, done, number] {
    if (std::exchange(*done, true)) return;
    errands_.drop(number);
    answer(call, {504, {}, {}, 0, true});
  });
}

void Desk::passed(CallRef call, std::string peer, ErrandEnd end) {
  using How = ErrandEnd::How;
  if (end.how == How::answered)
    return answer(call, {end.status, std::move(end.head), std::move(end.body), end.retry_after_s, false});
  down_until_[peer] = now() + (end.how == How::no_connection ? kPeerDown : kPeerShaken);
  const bool ran = end.how == How::broken;
  if (ran && !call->repeatable) return answer(call, {502, {}, {}, 0, true});
  if (ran && call->passed_on >= static_cast<int>(std::max<std::uint32_t>(1, call->max_tries)))
    return answer(call, {502, {}, {}, 0, true});
  take(std::move(call));
}

void Desk::told(const toolbox::News& news) {
  const auto peers_before = board_.peers;
  const toolbox::Version before = board_.plan.version;
  std::set<std::string> touched;
  std::map<std::string, std::string> service_of;
  for (const auto& instance : board_.instances) service_of[instance.id] = instance.service;
  board_.apply(news);
  if (board_.plan.version != before) router_.take(board_.plan);
  if (board_.peers != peers_before) {
    homes_.clear();
    down_until_.clear();
  }
  if (news.whole) {
    for (const auto& [id, service] : service_of) touched.insert(service);
    for (const auto& instance : board_.instances) touched.insert(instance.service);
  }
  for (const auto& instance : news.changed) touched.insert(instance.service);
  for (const auto& id : news.gone) {
    refusals_.erase(id);
    if (const auto found = service_of.find(id); found != service_of.end()) touched.insert(found->second);
  }
  for (const auto& service : touched) {
    if (stations_.contains(service)) show(service);
    else if (is_home(service)) station(service);
  }
  if (board_.peers == peers_before) return;
  for (const auto& instance : board_.instances)  // the new home looks for those that are starting
    if (is_home(instance.service)) show(station(instance.service).service());
  for (auto& [service, at] : stations_) {
    if (is_home(service)) continue;
    for (auto& call : at->give_away()) take(std::move(call));
  }
}

void Desk::has_news(Station& station) {
  touched_.insert(station.service());
  if (station.cold()) report_in(kReportSoon);
  else report_in(station.busy() < station.open() ? kReportHeld : kReportEvery);
}

void Desk::reached(const std::string& instance) {
  refusals_.erase(instance);
  next_.reached.push_back(instance);
  report_in(kReportSoon);
}

void Desk::refused_connection(const std::string& instance) {
  if (++refusals_[instance] != kRefusalsLost) return;
  next_.lost.push_back(instance);
  report_in(kReportSoon);
}

void Desk::report_in(Micros span) {
  const Micros at = now() + span;
  if (report_at_ != 0 && report_at_ <= at) return;
  report_at_ = at;
  alarms_.at(at, [this, at] {
    if (report_at_ == at) report();
  });
}

void Desk::report() {
  report_at_ = 0;
  toolbox::Report report = std::exchange(next_, {});
  report.leaving = leaving_;
  std::set<std::string> still;
  bool held = false;
  for (const auto& service : touched_) {
    auto& at = *stations_.at(service);
    toolbox::Demand demand;
    if (!at.fill_report(demand)) {
      report.demand.push_back(std::move(demand));  // its end is news too, once
      continue;
    }
    still.insert(service);
    held |= demand.held > 0;
    report.demand.push_back(std::move(demand));
  }
  touched_ = std::move(still);
  if (tell_) tell_(report);
  if (!touched_.empty()) report_in(held ? kReportHeld : kReportEvery);
}

void Desk::leave(Micros at) {
  leaving_ = true;
  report_in(0);
  for (auto& [service, station] : stations_) station->leave(at);
}

std::size_t Desk::open() const {
  std::size_t all = 0;
  for (const auto& [service, station] : stations_) all += station->open();
  return all;
}

void Desk::stop() {
  alarms_.stop();
  errands_.stop();
}

}  // namespace woadridge::lathe
