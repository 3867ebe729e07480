// Reading scenarios of faults: what all of them have in common.
#pragma once

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>
#include <variant>

namespace woadridge::lab {

// `into(Scenario&, const toml::table&)` tells a fault, or nothing. A fault is one line that names the file.
template <class Scenario, class Into>
std::variant<Scenario, std::string> read_toml(const std::string& text, const std::string& source,
                                              const Into& into) {
  try {
    Scenario scenario;
    if (auto fault = into(scenario, toml::parse(text, source)); !fault.empty()) return source + ": " + fault;
    return scenario;
  } catch (const toml::parse_error& fault) {
    return source + ":" + std::to_string(fault.source().begin.line) + ": " + std::string(fault.description());
  }
}

template <class Read>
auto load_toml(const std::string& path, const Read& read) -> decltype(read(path, path)) {
  const std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file.is_open()) return path + ": cannot be read";
  return read(text.str(), path);
}

// A table of kinds, by the names that stand in `names` in the kinds' order.
template <class Names, class Take>
std::string read_weights(const toml::table& table, const std::string& called, const Names& names,
                         const Take& take) {
  for (const auto& [key, node] : table) {
    const auto found =
        std::find_if(std::begin(names), std::end(names), [&k = key](const auto* n) { return k.str() == n; });
    const std::string name = called + "." + std::string(key.str());
    if (found == std::end(names)) return name + " is no kind of fault";
    const auto weight = node.template value<double>();
    if (!weight || !(*weight >= 0)) return name + " is no weight";
    take(static_cast<int>(found - std::begin(names)), *weight);
  }
  return {};
}

}  // namespace woadridge::lab
