#include "lab/platform/model/search.h"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_set>

#include "lab/platform/model/mix.h"

namespace woadridge::lab::model {
namespace {

struct Left {  // of the bounds
  std::size_t faults = 0, delays = 0, calls = 0, total = 0;
  std::size_t& of(Kind kind) {
    if (is_delay(kind)) return delays;
    return is_call(kind) ? calls : faults;
  }
  std::uint64_t number() const { return ((faults * 8 + delays) * 8 + calls) * 8 + total; }
};

Left left_after(const Bounds& bounds, const Path& path) {
  Left left{bounds.faults, bounds.delays, bounds.calls, bounds.total};
  for (const auto& deviation : path) {
    --left.of(deviation.choice.kind);
    --left.total;
  }
  return left;
}

class Seen {  // by fingerprints of 64 bits
 public:
  bool add(std::uint64_t fingerprint) {
    Part& part = parts_[fingerprint % kParts];
    const std::lock_guard lock(part.guard);
    return part.known.insert(fingerprint).second;
  }
  std::uint64_t size() const {
    std::uint64_t all = 0;
    for (const Part& part : parts_) all += part.known.size();
    return all;
  }

 private:
  static constexpr std::size_t kParts = 256;
  struct Part {
    std::mutex guard;
    std::unordered_set<std::uint64_t> known;
  };
  std::array<Part, kParts> parts_;
};

class Search {
 public:
  Search(const Situation& situation, const Bounds& bounds, const std::atomic<bool>& stop)
      : situation_(situation), bounds_(bounds), stop_(stop) {}

  Result run(int jobs) {
    waiting_.push_back({});
    std::vector<std::thread> threads;
    for (int i = 0; i < jobs; ++i) threads.emplace_back([this] { work(); });
    for (auto& thread : threads) thread.join();
    result_.states = seen_.size();
    result_.whole = !result_.found && !stop_;
    return std::move(result_);
  }

 private:
  void work() {
    std::unique_lock lock(guard_);
    while (true) {
      ready_.wait(lock, [this] { return !waiting_.empty() || busy_ == 0 || ends(); });
      if (waiting_.empty() || ends()) break;
      const Path path = std::move(waiting_.back());
      waiting_.pop_back();
      ++busy_;
      lock.unlock();
      std::vector<Path> more;
      go(path, more);
      lock.lock();
      --busy_;
      for (auto& next : more) waiting_.push_back(std::move(next));
      ready_.notify_all();
    }
    ready_.notify_all();
  }

  bool ends() const { return result_.found.has_value() || stop_; }

  // Plays the path, then the usual order; each step of the latter where something else may be done is the end
  // of longer paths.
  void go(const Path& path, std::vector<Path>& more) {
    System system(situation_);
    if (!replay(system, path)) return count(system);
    const Left left = left_after(bounds_, path);
    bool open = true;
    while (!system.over() && !stop_) {
      if (open && !seen_.add(mix(system.fingerprint(), left.number()))) break;
      open = system.open();
      std::vector<Path> longer;
      if (open && left.total > 0) branch(system, path, left, longer);
      // Of a timer that does nothing the next step can be left as well.
      if (system.step()) more.insert(more.end(), longer.begin(), longer.end());
    }
    count(system);
    if (const auto& broken = system.judge().broken()) {
      const std::lock_guard lock(guard_);
      if (!result_.found) result_.found = Found{path, *broken};
    }
  }

  static bool replay(System& system, const Path& path) {
    for (const auto& deviation : path) {
      while (system.steps() < deviation.step && !system.over()) system.step();
      if (system.over() || !system.apply(deviation.choice)) return false;
    }
    return true;
  }

  void branch(const System& system, const Path& path, Left left, std::vector<Path>& more) const {
    for (const auto& choice : system.choices()) {
      if (left.of(choice.kind) == 0 || !wanted(choice.kind)) continue;
      Path longer = path;
      longer.push_back({system.steps(), choice});
      more.push_back(std::move(longer));
    }
  }

  bool wanted(Kind kind) const {
    return bounds_.kinds.empty() ||
           std::find(bounds_.kinds.begin(), bounds_.kinds.end(), kind) != bounds_.kinds.end();
  }

  void count(const System& system) {
    const std::lock_guard lock(guard_);
    ++result_.paths;
    result_.steps += system.steps();
  }

  const Situation& situation_;
  const Bounds& bounds_;
  const std::atomic<bool>& stop_;
  Seen seen_;
  std::mutex guard_;
  std::condition_variable ready_;
  std::vector<Path> waiting_;
  int busy_ = 0;
  Result result_;
};

// Without the deviation at `at`; those after it keep their distance.
Path without(const Path& path, std::size_t at) {
  Path fewer = path;
  fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(at));
  for (std::size_t i = at; i < fewer.size(); ++i) --fewer[i].step;
  return fewer;
}

}  // namespace

Result search(const Situation& situation, const Bounds& bounds, int jobs, const std::atomic<bool>& stop) {
  return Search(situation, bounds, stop).run(jobs);
}

std::optional<Broken> play(const Situation& situation, const Path& path) {
  System system(situation);
  for (const auto& deviation : path) {
    while (system.steps() < deviation.step && !system.over()) system.step();
    if (system.over()) break;
    system.apply(deviation.choice);
  }
  while (!system.over()) system.step();
  return system.judge().broken();
}

Path shortest(const Situation& situation, const Found& found) {
  Path path = found.path;
  for (std::size_t at = 0; at < path.size();) {
    const Path fewer = without(path, at);
    const auto broken = play(situation, fewer);
    if (broken && broken->rule == found.broken.rule) path = fewer;
    else ++at;
  }
  return path;
}

std::vector<std::string> lines_of(const Situation& situation, const Path& path) {
  std::vector<std::string> lines;
  System system(situation);
  for (const auto& deviation : path) {
    while (system.steps() < deviation.step && !system.over()) system.step();
    if (system.over()) break;
    lines.push_back("step " + std::to_string(system.steps()) + ": " + name_of(deviation.choice.kind) + " " +
                    std::to_string(deviation.choice.machine) + ", before: " + system.text());
    system.apply(deviation.choice);
  }
  return lines;
}

}  // namespace woadridge::lab::model
