// What playing faults needs whoever they strike: weighted kinds, many seeds at once, shortening.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <thread>
#include <utility>
#include <vector>

namespace woadridge::lab {

// Leaves out items as long as what remains is still `broken`: large parts first, then one by one.
template <class Item, class Broken>
std::vector<Item> shorten(std::vector<Item> items, const Broken& broken) {
  for (std::size_t part = items.size(); part > 0; part /= 2) {
    for (std::size_t at = 0; at < items.size();) {
      std::vector<Item> fewer = items;
      const auto from = fewer.begin() + static_cast<std::ptrdiff_t>(at);
      fewer.erase(from, from + static_cast<std::ptrdiff_t>(std::min(part, fewer.size() - at)));
      if (broken(fewer)) items = std::move(fewer);
      else at += part;
    }
  }
  return items;
}

// Of kinds with weights, the one that `share` (in [0, 1)) of their sum falls on.
template <class Kind>
Kind weighted(const std::vector<std::pair<Kind, double>>& kinds, double share) {
  double sum = 0;
  for (const auto& [kind, weight] : kinds) sum += weight;
  double at = share * sum;
  for (const auto& [kind, weight] : kinds)
    if ((at -= weight) < 0) return kind;
  return kinds.back().first;
}

// Calls work(0), work(1), ... from several threads; how many were begun before it was told to stop.
template <class Work>
int in_threads(int count, int jobs, const std::atomic<bool>& stop, const Work& work) {
  std::atomic<int> next = 0, begun = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < jobs; ++t)
    threads.emplace_back([&] {
      for (int i = next++; i < count && !stop; i = next++) ++begun, work(i);
    });
  for (auto& thread : threads) thread.join();
  return begun;
}

}  // namespace woadridge::lab
