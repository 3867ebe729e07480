#include "net/metrics.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>

namespace woadridge::net {
namespace {

// Guards against a class whose name holds what separates a line's parts: it must not look like another
// figure.
std::string plain(std::string_view name) {
  std::string text(name);
  const auto separates = [](char c) { return c <= ' ' || c == ':' || c == '|' || c == '@' || c == '\x7f'; };
  std::replace_if(text.begin(), text.end(), separates, '_');
  return text;
}

void add(std::string& text, std::string_view name, std::uint64_t value, char type) {
  fmt::format_to(std::back_inserter(text), "edge_edge.{}:{}|{}\n", name, value, type);
}

}  // namespace

ClassCounts& Metrics::of_class(std::string_view name) {
  const auto found = classes_.find(name);
  return found != classes_.end() ? found->second : classes_[std::string(name)];
}

ClassCounts Metrics::total() const {
  ClassCounts all;
  for (const auto& [name, counts] : classes_) {
    all.success += counts.success;
    all.overload += counts.overload;
    all.error += counts.error;
  }
  return all;
}

std::string Metrics::text(const Gauges& gauges) const {
  std::string text;
  for (const auto& [name, counts] : classes_) {
    add(text, "success." + plain(name), counts.success, 'c');
    add(text, "overload." + plain(name), counts.overload, 'c');
    add(text, "error." + plain(name), counts.error, 'c');
  }
  add(text, "dispatches", dispatches, 'c');
  add(text, "reload_success", reload_success, 'c');
  add(text, "reload_failure", reload_failure, 'c');
  add(text, "concurrent", gauges.concurrent, 'g');
  add(text, "targets", gauges.targets, 'g');
  add(text, "targets_disabled", gauges.targets_disabled, 'g');
  return text;
}

}  // namespace woadridge::net
