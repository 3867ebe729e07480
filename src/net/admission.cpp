#include "net/admission.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace woadridge::net {
namespace {

constexpr std::int64_t kLongestTimeoutMs = 24 * 3600 * 1000;  // guards sums of times against nonsense
constexpr std::size_t kLongestName = 256;                     // bytes of an id, key, class or tenant
constexpr double kMostHint =
    10;  // times the class's deadline: a larger guess would spoil what is learnt of hints
constexpr double kMostSlots = 1e6;

// Each of these has one meaning only: of two that differ we and the worker could read different ones.
constexpr std::array<std::string_view, 9> kOnce = {"Request-Id",         "Request-Class",   "Tenant",
                                                   "Request-Timeout-Ms", "Idempotency-Key", "Work-Hint",
                                                   "Request-Info",       "Client-Retry",    "Affinity-Key"};

bool visible(std::string_view text) {  // printable ASCII, no blanks: safe in a head that we write
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

bool is_name(std::string_view text) {
  return !text.empty() && text.size() <= kLongestName && visible(text);
}

std::optional<std::int64_t> whole(std::string_view text) {
  std::int64_t value = 0;
  const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || fault != std::errc() || stop != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<double> positive(std::string_view text) {
  double value = 0;
  const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool read = fault == std::errc() && stop == text.data() + text.size();
  return read && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

// The figure of that name in "name=value,name=value"; nothing where it can't be used.
std::optional<double> info_figure(std::string_view info, std::string_view name, double fallback) {
  for (auto pair : split(info, ',')) {
    while (pair.starts_with(' ')) pair.remove_prefix(1);
    const auto mark = pair.find('=');
    if (mark == std::string_view::npos || pair.substr(0, mark) != name) continue;
    const auto value = positive(pair.substr(mark + 1));
    return value && *value <= kMostSlots ? value : std::nullopt;
  }
  return fallback;
}

// The same number at every dispatcher: they have to agree on who keeps what the key's jobs need.
std::optional<std::uint64_t> key_of(std::string_view text) {
  return text.empty() ? std::nullopt : std::optional(fnv1a(text));
}

bool names_are_good(const HttpReader& message) {
  const auto repeated = [&](auto name) { return message.repeats(name); };
  if (std::any_of(kOnce.begin(), kOnce.end(), repeated)) return false;
  const auto key = message.header("Idempotency-Key");
  const auto about = message.header("Affinity-Key");
  if (!about.empty() && !is_name(about)) return false;
  return is_name(message.header("Request-Id")) && (key.empty() || is_name(key)) && visible(message.target());
}

}  // namespace

std::variant<Job, int> job_of(const HttpReader& message, const Engine& engine, Micros on_the_way) {
  const auto path = message.target().substr(0, message.target().find('?'));
  if (path != "/api") return 404;
  if (message.method() != "POST") return 405;
  if (!names_are_good(message)) return 400;
  Job job;
  job.method = message.method();
  job.target = message.target();
  job.request_id = message.header("Request-Id");
  job.idempotency_key = message.header("Idempotency-Key");
  job.class_name = message.header("Request-Class");
  job.key = key_of(message.header("Affinity-Key"));
  job.tenant = message.header("Tenant");
  job.body = message.body();
  job.held = message.held();
  const ClassSettings* of = engine.class_named(job.class_name);
  if (of == nullptr || (of->effect == Effect::keyed && job.idempotency_key.empty())) return 400;
  if (!engine.knows_tenant(job.tenant)) return 400;
  const auto timeout_ms = whole(message.header("Request-Timeout-Ms"));
  if (!timeout_ms || *timeout_ms <= 0) return 400;
  // Its time counts from when the client sent it: some has passed.
  Micros told = std::min(*timeout_ms, kLongestTimeoutMs) * 1000;
  if (of->deadline > 0) told = std::min(told, of->deadline);
  job.time_left = time_to_answer(told, on_the_way);
  if (const auto text = message.header("Work-Hint"); !text.empty()) {
    const auto hint = positive(text);
    if (!hint) return 400;
    const double most = kMostHint * static_cast<double>(of->deadline > 0 ? of->deadline : told);
    if (*hint >= 1) job.hint = static_cast<Micros>(std::min(*hint, most));
  }
  const auto slots = info_figure(message.header("Request-Info"), "slots", 1);
  if (!slots) return 400;
  job.slots = *slots;
  job.repeated = message.header("Client-Retry") == "1";
  // Another client's: neither may get the other's answer.
  if (engine.has_open(job.request_id)) return 409;
  return job;
}

}  // namespace woadridge::net
