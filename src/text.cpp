#include "text.h"

namespace woadridge {

double parse_real(std::string_view key, std::string_view value) {
  const auto number = parse_number<double>(key, value);
  if (!std::isfinite(number)) throw Malformed(std::string(key) + " is not finite");
  return number;
}

bool parse_flag(std::string_view key, std::string_view value) {
  if (value == "1" || value == "true") return true;
  if (value == "0" || value == "false") return false;
  throw Malformed(std::string(key) + " is not a truth value: " + std::string(value));
}

std::vector<std::string_view> split(std::string_view text, char mark) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const auto at = text.find(mark);
    parts.push_back(text.substr(0, at));
    if (at == std::string_view::npos) break;
    text.remove_prefix(at + 1);
  }
  return parts;
}

const std::string_view* Fields::find(std::string_view key) const {
  for (const auto& field : fields)
    if (field.first == key) return &field.second;
  return nullptr;
}

std::string_view Fields::text(std::string_view key) const {
  const auto* value = find(key);
  if (value == nullptr || value->empty()) throw Malformed("missing " + std::string(key));
  return *value;
}

std::string_view Fields::text_or(std::string_view key, std::string_view fallback) const {
  const auto* value = find(key);
  return value == nullptr ? fallback : *value;
}

std::int64_t Fields::whole(std::string_view key) const {
  return parse_number<std::int64_t>(key, text(key));
}

std::int64_t Fields::whole_or(std::string_view key, std::int64_t fallback) const {
  const auto* value = find(key);
  return value == nullptr ? fallback : parse_number<std::int64_t>(key, *value);
}

std::uint64_t Fields::natural(std::string_view key) const {
  return parse_number<std::uint64_t>(key, text(key));
}

double Fields::number_or(std::string_view key, double fallback) const {
  const auto* value = find(key);
  return value == nullptr ? fallback : parse_real(key, *value);
}

bool Fields::flag_or(std::string_view key, bool fallback) const {
  const auto* value = find(key);
  return value == nullptr ? fallback : parse_flag(key, *value);
}

}  // namespace woadridge
