#include "autoscaler/placement.h"

#include <algorithm>
#include <cmath>

#include "common/homes.h"

namespace woadridge::autoscaler {
namespace {

constexpr Micros kLook = 400'000;            // over which arrivals are counted before the rate moves
constexpr double kUp = 0.7;                  // of a look's rate that is taken over when it is higher,
constexpr double kDown = 0.15;               // and when it is lower: bursts come in flocks
constexpr double kNarrow = 0.6;              // homes are given up when so much of their number would do ...
constexpr Micros kNarrowAfter = 10'000'000;  // ... for so long
constexpr int kMovesAtOnce = 1;              // of a function: its other instances serve meanwhile
constexpr Micros kMoveEvery =
    600'000;  // of one function: one that moves does nothing until it has been handed over

std::set<std::string> names_of(const std::vector<common::Peer>& peers) {
  std::set<std::string> names;
  for (const auto& peer : peers) names.insert(peer.name);
  return names;
}

}  // namespace

void Placement::begin() {
  *this = Placement();
}

void Placement::peers(std::vector<common::Peer> peers, std::uint32_t calls_per_s) {
  peers_ = std::move(peers);
  peer_names_ = names_of(peers_);
  bears_ = calls_per_s;
  proxies_changed_ = true;
}

void Placement::present(const std::vector<common::Peer>& proxies) {
  if (proxies == present_) return;
  present_ = proxies;
  present_names_ = names_of(present_);
  proxies_changed_ = true;
}

void Placement::told(Micros now, const common::Report& report) {
  for (const auto& demand : report.demand) {
    auto& f = functions_[demand.service];
    if (f.looked_at == 0) f.looked_at = now;
    f.since_look += demand.arrivals;
  }
}

void Placement::look(Micros now, Function& f) {
  const Micros span = now - f.looked_at;
  if (f.looked_at == 0 || span < kLook) return;
  const double seen = f.since_look * 1e6 / static_cast<double>(span);
  f.rate += (seen - f.rate) * (seen > f.rate ? kUp : kDown);
  f.since_look = 0;
  f.looked_at = now;
  const auto need = bears_ == 0 ? 1 : static_cast<std::size_t>(std::max(1.0, std::ceil(f.rate / bears_)));
  if (need >= f.wanted || static_cast<double>(need) > kNarrow * static_cast<double>(f.wanted))
    f.wide_at = now;
  if (need > f.wanted || now - f.wide_at > kNarrowAfter) f.wanted = need;
}

std::vector<std::string> Placement::wanted_homes(const std::string& service, const Function& f) const {
  const auto& proxies = peers_.empty() ? present_ : peers_;
  const auto order = common::homes(service, proxies);
  const auto count = std::min({f.wanted, order.size(), std::max<std::size_t>(1, f.homes.size())});
  std::vector<std::string> names;
  for (std::size_t n = 0; n < count; ++n) names.push_back(proxies[order[n]].name);
  return names;
}

std::string Placement::emptiest(const Function& f, const std::vector<std::string>& homes) {
  const auto held = [&](const std::string& home) {
    return std::count_if(f.homes.begin(), f.homes.end(),
                         [&](const auto& h) { return h.second.name == home; });
  };
  const auto least =
      std::min_element(homes.begin(), homes.end(), [&](auto& a, auto& b) { return held(a) < held(b); });
  return least == homes.end() ? std::string() : *least;
}

Placement::Home* Placement::find(const std::string& id) {
  const auto found = service_of_.find(id);
  return found == service_of_.end() ? nullptr : &functions_[found->second].homes.at(id);
}

void Placement::place(Micros now, common::Instance& instance) {
  auto& f = functions_[instance.service];
  const bool first_seen = service_of_.emplace(instance.id, instance.service).second;
  auto& home = f.homes[instance.id];
  if (first_seen) {
    look(now, f);
    if (const auto before = held_.find(instance.id); before != held_.end()) {
      home.name = before->second;
      held_.erase(before);
      f.wanted = std::max(f.wanted, homes_of(instance.service));
      f.wide_at = now;
    } else if (!peers_.empty() || instance.condition == common::Condition::starting) {
      home.name = emptiest(f, wanted_homes(instance.service, f));
    }  // else an earlier holder may have named one, whose agent isn't back yet
  }
  instance.home = home.name;
  instance.waits_for = home.waits_for;
}

void Placement::held(const std::string& id, const std::string& name) {
  Home* home = find(id);
  if (home == nullptr) {
    held_[id] = name;
    return;
  }
  if (home->name == name || !home->waits_for.empty()) return;
  if (home->name.empty()) home->name = name;
  else home->waits_for = name;  // it comes late: another was named meanwhile
  moved_.insert(id);
}

void Placement::released(const std::string& id, const std::string& name) {
  Home* home = find(id);
  if (home == nullptr || home->waits_for != name) return;
  home->waits_for.clear();
  moved_.insert(id);
}

void Placement::gone(const std::string& id) {
  const auto found = service_of_.find(id);
  if (found == service_of_.end()) return;
  functions_[found->second].homes.erase(id);
  service_of_.erase(found);
  moved_.erase(id);
}

std::vector<Placement::Move> Placement::moves(Micros now) {
  if (std::exchange(proxies_changed_, false)) follow_proxies();
  for (auto& [service, f] : functions_) {
    look(now, f);
    if (!f.homes.empty() && !peers_.empty()) balance(now, service, f);
  }
  std::vector<Move> moves;
  for (const auto& id : std::exchange(moved_, {})) moves.push_back({id, *find(id)});
  return moves;
}

void Placement::follow_proxies() {
  for (auto& [service, f] : functions_)
    if (!f.homes.empty()) follow_proxies(service, f);
}

void Placement::follow_proxies(const std::string& service, Function& f) {
  std::vector<std::string> homes;  // as they are wanted; worked out once, if any has to be named
  for (auto& [id, home] : f.homes) {
    const Home before = home;
    if (!is_present(home.waits_for)) home.waits_for.clear();
    if (!peers_.empty() && !is_peer(home.name)) {
      if (homes.empty()) homes = wanted_homes(service, f);
      if (home.waits_for.empty() && is_present(home.name)) home.waits_for = home.name;
      home.name = emptiest(f, homes);
    }
    if (home != before) moved_.insert(id);
  }
}

void Placement::balance(Micros now, const std::string& service, Function& f) {
  if (now - f.moved_at < kMoveEvery) return;
  const auto& one = f.homes.begin()->second.name;
  const bool in_one_place =
      std::all_of(f.homes.begin(), f.homes.end(), [&](const auto& h) { return h.second.name == one; });
  if (f.wanted <= 1 && in_one_place) return;
  const auto homes = wanted_homes(service, f);
  std::map<std::string, int> held;
  for (const auto& home : homes) held[home] = 0;
  for (const auto& [id, home] : f.homes) ++held[home.name];
  for (int n = 0; n < kMovesAtOnce; ++n) {
    const auto fullest =
        std::max_element(held.begin(), held.end(), [](auto& a, auto& b) { return a.second < b.second; });
    const auto least = emptiest(f, homes);
    if (fullest->second - held[least] <= 1) break;
    const auto moving = std::find_if(f.homes.begin(), f.homes.end(), [&](const auto& h) {
      return h.second.name == fullest->first && h.second.waits_for.empty();
    });
    if (moving == f.homes.end()) break;
    moving->second = {least, is_present(fullest->first) ? fullest->first : std::string()};
    --fullest->second;
    ++held[least];
    f.moved_at = now;
    moved_.insert(moving->first);
  }
}

std::size_t Placement::homes_of(const std::string& service) const {
  const auto found = functions_.find(service);
  if (found == functions_.end()) return 0;
  std::vector<std::string> names;
  for (const auto& [id, home] : found->second.homes)
    if (std::find(names.begin(), names.end(), home.name) == names.end()) names.push_back(home.name);
  return names.size();
}

Placement::Busiest Placement::busiest() const {
  Busiest most;
  for (const auto& [service, f] : functions_)
    if (f.rate > most.rate) most = {service, f.rate, f.homes.size(), 0};
  most.homes = homes_of(most.service);
  return most;
}

}  // namespace woadridge::autoscaler
