// The log: JSON lines on standard error. Quiet in calm, as writing costs processor time.
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace woadridge::common {

enum class Level { debug, info, warning, error };
using Fields = std::initializer_list<std::pair<std::string_view, std::string>>;

std::optional<Level> level_named(std::string_view word);
void open_log(const std::string& program, const std::string& node, Level least);
bool logs(Level level);
void log(Level level, std::string_view what, Fields fields = {});
inline void debug(std::string_view what, Fields fields = {}) {
  if (logs(Level::debug)) log(Level::debug, what, fields);
}
inline void info(std::string_view what, Fields fields = {}) {
  log(Level::info, what, fields);
}
inline void warning(std::string_view what, Fields fields = {}) {
  log(Level::warning, what, fields);
}
inline void error(std::string_view what, Fields fields = {}) {
  log(Level::error, what, fields);
}
std::string in_json(std::string_view text);  // with its quotes

}  // namespace woadridge::common
