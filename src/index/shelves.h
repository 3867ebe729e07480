// Where the decision module finds workers without walking the fleet: ordered shelves by lane, kind, zone and
// group, kept up to date as workers change. Holds no decision: who is usable, open or in which lane is told.
//
// A worker lives on up to five sets of shelves (any kind or its own, any zone or its own, its group). In
// each, while it is usable, it is on the shelf of its lane and room: open if a job may find room there, full
// if only one more than it has shown could be tried, else on none; the open and idle are on a second shelf
// too. Shelves are ordered by the dispatcher's own hash, the rows of the big lane by the common one; ids
// break ties. Moving a worker costs O(log n) and no allocation. Walks are in order; nothing may move during
// one.
#pragma once

#include <array>
#include <boost/intrusive/set.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace woadridge::index {

struct Shelved;

struct Spot : boost::intrusive::set_base_hook<boost::intrusive::optimize_size<true>> {
  std::uint64_t hash = 0;
  Shelved* owner = nullptr;
};

struct Before {
  bool operator()(const Spot& a, const Spot& b) const;
};

class Shelf {
 public:
  Shelf() = default;
  Shelf(const Shelf&) = delete;
  Shelf& operator=(const Shelf&) = delete;
  ~Shelf() { spots_.clear(); }

  auto begin() const { return spots_.begin(); }
  auto end() const { return spots_.end(); }
  auto from(std::uint64_t hash) const {  // the first there or after it
    return spots_.lower_bound(hash, [](const auto& a, const auto& b) { return place(a) < place(b); });
  }
  std::size_t size() const { return spots_.size(); }
  bool empty() const { return spots_.empty(); }
  void put(Spot& spot) { spots_.insert(spot); }
  void take(Spot& spot) { spots_.erase(spots_.iterator_to(spot)); }

 private:
  static std::uint64_t place(const Spot& spot) { return spot.hash; }
  static std::uint64_t place(std::uint64_t hash) { return hash; }
  boost::intrusive::set<Spot, boost::intrusive::compare<Before>> spots_;
};

enum class Room : std::uint8_t { shut, full, open };  // that a job may find at a worker

struct Home {  // of one kind, zone or group; each by lane: small, big
  std::array<Shelf, 2> open, full, idle;
  std::array<std::size_t, 2> usable{};  // on any of them or none
  std::size_t members = 0;              // usable or not
  double closed(bool big) const { return static_cast<double>(usable[big] - open[big].size()); }
};

// The usable workers that a kind of class may run on, in the order in which the big lane takes them.
struct Row {
  Shelf workers;
  std::int64_t size = 0;  // of them all, in kSizeUnit: whole numbers add up to the same in any order
};
inline constexpr double kSizeUnit = 1.0 / (1 << 20);  // fine enough for any weight, and exact for usual ones

struct Stand {  // how a worker stands now
  bool usable = false;
  Room room = Room::shut;  // of a usable one
  bool idle = false;       // of an open one: no own job is there
  bool big = false;        // in the lane for big jobs
  bool operator==(const Stand&) const = default;
};

struct Shelved {  // what the index knows of a worker; its owner derives from this and never copies it
  std::string_view name;
  std::uint64_t own_hash = 0;
  std::uint64_t lane_hash = 0;
  std::int64_t size = 0;  // in kSizeUnit

  Shelved() = default;
  Shelved(const Shelved&) = delete;
  Shelved& operator=(const Shelved&) = delete;

 private:
  friend class Shelves;
  static constexpr std::size_t kHomes = 5;  // kind x zone, and the group
  std::array<Home*, kHomes> homes_{};
  std::array<Row*, 2> rows_{};
  std::array<Spot, kHomes> spot_, idle_;
  std::array<Spot, 2> row_;
  std::int64_t group_ = 0;
  Stand stand_;
  bool known_ = false;
};

// Is destroyed before the workers that stand on it.
class Shelves {
 public:
  // Starts anew, with no worker known. The kinds that classes need; an empty name stands for any.
  void begin(const std::vector<std::string>& kinds);
  // A worker's place by what it is; takes it off its shelves until `stand` is told again.
  void settle(Shelved& worker, const std::string& kind, const std::string& zone, std::int64_t group);
  void stand(Shelved& worker, const Stand& now);
  void forget(Shelved& worker);

  // Those of the kind (empty: any) and zone (empty: any); null if none was ever there.
  const Home* find(std::string_view kind, std::string_view zone) const;
  const Home* group(std::int64_t group) const;
  const std::map<std::string, Row>& rows() const { return rows_; }

  // For tests: an empty text, or what does not fit together.
  std::string fault(const std::vector<const Shelved*>& workers) const;

 private:
  struct Less {
    using is_transparent = void;
    bool operator()(const auto& a, const auto& b) const {
      const int by_kind = std::string_view(a.first).compare(b.first);
      return by_kind != 0 ? by_kind < 0 : std::string_view(a.second) < std::string_view(b.second);
    }
  };
  static void move(Shelved& worker, std::size_t i, const Stand& now);
  void leave_group(std::int64_t group);

  std::map<std::pair<std::string, std::string>, Home, Less> homes_;
  std::unordered_map<std::int64_t, Home> groups_;
  std::map<std::string, Row> rows_;
};

}  // namespace woadridge::index
