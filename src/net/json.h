// A parser of JSON into a tree whose texts are slices of what was parsed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace woadridge::net {

struct Json {
  enum class Kind { null, flag, number, text, list, object };

  Kind kind = Kind::null;
  std::string_view raw;  // a flag's or number's own text, or what stands between a text's quotes
  bool escaped = false;  // the text holds escapes: decoded() has a copy without them
  std::vector<Json> items;
  std::vector<std::pair<std::string_view, Json>> members;  // names as they stand, escapes included

  const Json* find(std::string_view name) const;  // a member; null if this is no object or has none such
  bool is_text() const { return kind == Kind::text; }
  std::string decoded() const;
  // Whether a text needs no decoding: its slice can be used as it stands.
  std::optional<std::string_view> plain() const;
  std::optional<std::int64_t> whole() const;
  std::optional<double> number() const;
};

// Nothing for anything that is not exactly one JSON value. `bytes` must outlive the result.
std::optional<Json> parse_json(std::string_view bytes);

}  // namespace woadridge::net
