#include "lab/platform/ledger.h"

#include <algorithm>
#include <cstdio>

namespace woadridge::lab::platform {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr std::size_t kLongestNonce = 64;

}  // namespace

Ledger::Ledger(LedgerOptions options, std::vector<Machine> machines, std::vector<std::string> addresses)
    : options_(options), machines_(std::move(machines)), addresses_(std::move(addresses)) {}

bool Ledger::Window::take(Micros now, double most) {
  while (!taken.empty() && taken.front() <= now - kSecond) taken.pop_front();
  if (static_cast<double>(taken.size()) >= most) return false;
  taken.push_back(now);
  return true;
}

bool Ledger::fenced(std::uint64_t token) {
  if (token < token_) return true;
  token_ = token;
  return false;
}

Ledger::Begun Ledger::begin(Micros now, const std::string& service, const std::string& on,
                            const std::string& nonce) {
  const Function* wanted = function(service);
  if (wanted == nullptr) return {400, "no such service", nullptr, false};
  if (on.empty()) return {400, "no machine is named", nullptr, false};
  if (nonce.empty() || nonce.size() > kLongestNonce)
    return {400, "the nonce has to have 1 to 64 bytes", nullptr, false};
  if (const auto seen = nonces_.find({service, nonce}); seen != nonces_.end())
    return {200, {}, life(seen->second), false};
  const Machine* at = machine(on);
  if (at == nullptr) return {409, "no such machine", nullptr, false};
  if (at->draining_at <= now) return {409, "the machine is draining", nullptr, false};
  if (spare(*at, now) < wanted->memory_mb) return {409, "the machine has no room", nullptr, false};
  Life born;
  born.address = free_address(now);
  if (born.address.empty()) return {409, "no address is free", nullptr, false};
  char number[16];
  std::snprintf(number, sizeof number, "i-%06d", ++numbers_);
  born.id = number;
  born.service = service;
  born.machine = on;
  born.zone = at->zone;
  born.memory_mb = wanted->memory_mb;
  born.capacity = wanted->concurrency;
  born.begun = now;
  born.up = now + static_cast<Micros>(wanted->startup_ms) * 1000;
  nonces_[{service, nonce}] = born.id;
  const auto& kept = lives_[born.id] = born;
  return {200, {}, &kept, true};
}

const Life* Ledger::life(const std::string& id) const {
  const auto found = lives_.find(id);
  return found == lives_.end() ? nullptr : &found->second;
}

void Ledger::left(Micros now, const std::string& id) {
  if (const auto found = lives_.find(id); found != lives_.end())
    found->second.left = std::min(found->second.left, now);
}

void Ledger::freed(Micros now, const std::string& id) {
  left(now, id);
  if (const auto found = lives_.find(id); found != lives_.end())
    found->second.freed = std::min(found->second.freed, now);
}

std::optional<std::vector<std::string>> Ledger::drain(Micros now, const std::string& name) {
  const auto at = std::find_if(machines_.begin(), machines_.end(), [&](auto& m) { return m.name == name; });
  if (at == machines_.end()) return std::nullopt;
  at->draining_at = std::min(at->draining_at, now);
  std::vector<std::string> leaving;
  for (auto& [id, life] : lives_) {
    if (life.machine != name || life.left != kNever) continue;
    life.draining_at = std::min(life.draining_at, now);
    leaving.push_back(id);
  }
  return leaving;
}

Ledger::Page Ledger::list(Micros now, const std::string& zone, const std::string& token) const {
  const Micros then = now - options_.lag;
  Page page;
  for (const auto& [id, life] : lives_) {
    if (id <= token || life.up > then || life.left <= then) continue;
    if (!zone.empty() && life.zone != zone) continue;
    if (page.lives.size() == options_.page) {
      page.next = page.lives.back().first->id;
      break;
    }
    page.lives.emplace_back(&life, life.draining_at <= then);
  }
  return page;
}

std::vector<Ledger::Shown> Ledger::fleet(Micros now) const {
  const Micros then = now - options_.lag;
  std::vector<Shown> shown;
  for (const auto& machine : machines_)
    shown.push_back({&machine, spare(machine, then), machine.draining_at <= then});
  return shown;
}

std::size_t Ledger::alive() const {
  return static_cast<std::size_t>(
      std::count_if(lives_.begin(), lives_.end(), [](const auto& l) { return l.second.left == kNever; }));
}

const Function* Ledger::function(const std::string& name) const {
  const auto at =
      std::find_if(functions_.begin(), functions_.end(), [&](const auto& f) { return f.name == name; });
  return at == functions_.end() ? nullptr : &*at;
}

const Machine* Ledger::machine(const std::string& name) const {
  const auto at =
      std::find_if(machines_.begin(), machines_.end(), [&](const auto& m) { return m.name == name; });
  return at == machines_.end() ? nullptr : &*at;
}

std::uint32_t Ledger::spare(const Machine& machine, Micros at) const {
  std::uint32_t used = 0;
  for (const auto& [id, life] : lives_)
    if (life.machine == machine.name && life.begun <= at && at < life.freed) used += life.memory_mb;
  return used < machine.memory_mb ? machine.memory_mb - used : 0;
}

// The one that has been free for the longest.
std::string Ledger::free_address(Micros now) const {
  std::map<std::string, Micros> free_since;
  for (const auto& [id, life] : lives_) {
    Micros& since = free_since[life.address];
    since = std::max(since, life.freed);
  }
  const std::string* best = nullptr;
  Micros best_since = kNever;
  for (const auto& address : addresses_) {
    const auto used = free_since.find(address);
    if (used == free_since.end()) return address;
    if (used->second == kNever || used->second + options_.reuse_after > now || used->second >= best_since)
      continue;
    best = &address;
    best_since = used->second;
  }
  return best == nullptr ? std::string() : *best;
}

}  // namespace woadridge::lab::platform
