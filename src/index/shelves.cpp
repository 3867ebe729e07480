#include "index/shelves.h"

#include <algorithm>

namespace woadridge::index {

bool Before::operator()(const Spot& a, const Spot& b) const {
  return a.hash != b.hash ? a.hash < b.hash : a.owner->name < b.owner->name;
}

void Shelves::begin(const std::vector<std::string>& kinds) {
  homes_.clear();
  groups_.clear();
  rows_.clear();
  for (const auto& kind : kinds) rows_[kind];
}

void Shelves::settle(Shelved& worker, const std::string& kind, const std::string& zone, std::int64_t group) {
  forget(worker);
  std::size_t home = 0, row = 0;
  const auto live_in = [&](Home& at) {
    worker.homes_[home++] = &at;
    ++at.members;
  };
  const auto stand_in = [&](const std::string& of_kind) {
    const auto found = rows_.find(of_kind);
    if (found != rows_.end()) worker.rows_[row++] = &found->second;
    if (found == rows_.end() && !of_kind.empty()) return;  // no class asks for that kind alone
    live_in(homes_[{of_kind, ""}]);
    if (!zone.empty()) live_in(homes_[{of_kind, zone}]);
  };
  stand_in("");
  if (!kind.empty()) stand_in(kind);
  live_in(groups_[group]);
  worker.group_ = group;
  for (auto* spots : {&worker.spot_, &worker.idle_})
    for (auto& spot : *spots) spot.hash = worker.own_hash, spot.owner = &worker;
  for (auto& spot : worker.row_) spot.hash = worker.lane_hash, spot.owner = &worker;
  worker.known_ = true;
}

// From where it stands in that home to where it is to stand.
void Shelves::move(Shelved& worker, std::size_t i, const Stand& now) {
  const Stand& was = worker.stand_;
  Home& home = *worker.homes_[i];
  const auto shelf = [&home](const Stand& s) -> Shelf* {
    if (!s.usable || s.room == Room::shut) return nullptr;
    return s.room == Room::open ? &home.open[s.big] : &home.full[s.big];
  };
  const auto idle_shelf = [&home](const Stand& s) {
    return s.usable && s.room == Room::open && s.idle ? &home.idle[s.big] : nullptr;
  };
  const auto change = [](Spot& spot, Shelf* from, Shelf* to) {
    if (from == to) return;
    if (from != nullptr) from->take(spot);
    if (to != nullptr) to->put(spot);
  };
  change(worker.spot_[i], shelf(was), shelf(now));
  change(worker.idle_[i], idle_shelf(was), idle_shelf(now));
  home.usable[was.big] -= was.usable ? 1 : 0;
  home.usable[now.big] += now.usable ? 1 : 0;
}

void Shelves::stand(Shelved& worker, const Stand& now) {
  if (!worker.known_ || now == worker.stand_) return;
  for (std::size_t i = 0; i < worker.homes_.size() && worker.homes_[i] != nullptr; ++i) move(worker, i, now);
  for (std::size_t i = 0; i < worker.rows_.size(); ++i) {
    Row* row = worker.rows_[i];
    Spot& spot = worker.row_[i];
    if (row == nullptr || spot.is_linked() == now.usable) continue;
    now.usable ? row->workers.put(spot) : row->workers.take(spot);
    row->size += now.usable ? worker.size : -worker.size;
  }
  worker.stand_ = now;
}

void Shelves::forget(Shelved& worker) {
  if (!worker.known_) return;
  stand(worker, {});
  for (Home* home : worker.homes_)
    if (home != nullptr) --home->members;
  worker.homes_ = {};
  worker.rows_ = {};
  worker.known_ = false;
  worker.stand_ = {};
  leave_group(worker.group_);
}

// Groups come and go with their workers: the empty ones must not pile up.
void Shelves::leave_group(std::int64_t group) {
  const auto found = groups_.find(group);
  if (found != groups_.end() && found->second.members == 0) groups_.erase(found);
}

const Home* Shelves::find(std::string_view kind, std::string_view zone) const {
  const auto found = homes_.find(std::pair(kind, zone));
  return found == homes_.end() ? nullptr : &found->second;
}

const Home* Shelves::group(std::int64_t group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? nullptr : &found->second;
}

std::string Shelves::fault(const std::vector<const Shelved*>& workers) const {
  std::map<const Shelf*, std::size_t> expected;
  std::map<const std::size_t*, std::size_t> usable;
  std::map<const Row*, std::int64_t> sizes;
  for (const Shelved* w : workers) {
    const Stand& s = w->stand_;
    for (std::size_t i = 0; i < w->homes_.size(); ++i) {
      const Home* home = w->homes_[i];
      const bool here = home != nullptr && s.usable;
      const bool idle = here && s.room == Room::open && s.idle;
      if (w->spot_[i].is_linked() != (here && s.room != Room::shut))
        return std::string(w->name).append(": not where it stands");
      if (w->idle_[i].is_linked() != idle) return std::string(w->name).append(": idle, or not so shelved");
      if (here && s.room != Room::shut)
        ++expected[s.room == Room::open ? &home->open[s.big] : &home->full[s.big]];
      if (idle) ++expected[&home->idle[s.big]];
      if (here) ++usable[&home->usable[s.big]];
    }
    for (std::size_t i = 0; i < w->rows_.size(); ++i) {
      if (w->row_[i].is_linked() != (w->rows_[i] != nullptr && s.usable))
        return std::string(w->name).append(": not in its row");
      if (w->row_[i].is_linked()) sizes[w->rows_[i]] += w->size;
    }
  }
  const auto good = [&](const Home& home) {
    for (const auto* shelves : {&home.open, &home.full, &home.idle})
      for (const Shelf& shelf : *shelves) {
        if (shelf.size() != expected[&shelf]) return false;
        if (!std::is_sorted(shelf.begin(), shelf.end(), Before())) return false;
      }
    return home.usable[0] == usable[&home.usable[0]] && home.usable[1] == usable[&home.usable[1]];
  };
  for (const auto& [key, home] : homes_)
    if (!good(home)) return std::string("shelves of ").append(key.first).append("/").append(key.second);
  for (const auto& [group, home] : groups_)
    if (!good(home)) return std::string("shelves of group ").append(std::to_string(group));
  for (const auto& [kind, row] : rows_)
    if (row.size != sizes[&row]) return std::string("size of row ").append(kind);
  return {};
}

}  // namespace woadridge::index
