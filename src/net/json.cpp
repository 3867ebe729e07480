#include "net/json.h"

#include <charconv>
#include <cmath>

namespace woadridge::net {
namespace {

constexpr int kDeepest = 32;  // levels of nesting: guards the stack against "[[[[..."

bool is_space(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}
bool is_digit(char c) {
  return c >= '0' && c <= '9';
}

int hex_value(char c) {
  if (is_digit(c)) return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}

  bool document(Json& out) {
    if (!value(out, 0)) return false;
    skip_space();
    return rest_.empty();
  }

 private:
  void skip_space() {
    while (!rest_.empty() && is_space(rest_.front())) rest_.remove_prefix(1);
  }

  bool take(char wanted) {
    skip_space();
    if (rest_.empty() || rest_.front() != wanted) return false;
    rest_.remove_prefix(1);
    return true;
  }

  bool word(std::string_view wanted, Json& out, Json::Kind kind) {
    if (!rest_.starts_with(wanted)) return false;
    out.kind = kind;
    out.raw = rest_.substr(0, wanted.size());
    rest_.remove_prefix(wanted.size());
    return true;
  }

  bool value(Json& out, int depth) {
    skip_space();
    if (rest_.empty() || depth > kDeepest) return false;
    switch (rest_.front()) {
      case '{':
        return object(out, depth);
      case '[':
        return list(out, depth);
      case '"':
        out.kind = Json::Kind::text;
        return text(out.raw, out.escaped);
      case 't':
        return word("true", out, Json::Kind::flag);
      case 'f':
        return word("false", out, Json::Kind::flag);
      case 'n':
        return word("null", out, Json::Kind::null);
      default:
        return number(out);
    }
  }

  bool object(Json& out, int depth) {
    out.kind = Json::Kind::object;
    rest_.remove_prefix(1);
    if (take('}')) return true;
    do {
      skip_space();
      std::string_view name;
      bool escaped = false;
      if (!text(name, escaped) || !take(':')) return false;
      if (!value(out.members.emplace_back(name, Json{}).second, depth + 1)) return false;
    } while (take(','));
    return take('}');
  }

  bool list(Json& out, int depth) {
    out.kind = Json::Kind::list;
    rest_.remove_prefix(1);
    if (take(']')) return true;
    do {
      if (!value(out.items.emplace_back(), depth + 1)) return false;
    } while (take(','));
    return take(']');
  }

  bool text(std::string_view& out, bool& escaped) {
    if (rest_.empty() || rest_.front() != '"') return false;
    for (std::size_t i = 1; i < rest_.size(); ++i) {
      const char c = rest_[i];
      if (c == '"') {
        out = rest_.substr(1, i - 1);
        rest_.remove_prefix(i + 1);
        return true;
      }
      if (static_cast<unsigned char>(c) < 0x20) return false;
      if (c != '\\') continue;
      escaped = true;
      if (!escape(i)) return false;
    }
    return false;
  }

  bool escape(std::size_t& at) {  // leaves `at` on its last character
    if (++at >= rest_.size()) return false;
    if (rest_[at] != 'u') return std::string_view("\"\\/bfnrt").find(rest_[at]) != std::string_view::npos;
    for (int i = 0; i < 4; ++i)
      if (++at >= rest_.size() || hex_value(rest_[at]) < 0) return false;
    return true;
  }

  bool digits(std::size_t& at) const {
    const std::size_t from = at;
    while (at < rest_.size() && is_digit(rest_[at])) ++at;
    return at > from;
  }

  bool number(Json& out) {
    std::size_t at = rest_.front() == '-' ? 1 : 0;
    const std::size_t first = at;
    if (!digits(at) || (rest_[first] == '0' && at - first > 1)) return false;
    if (at < rest_.size() && rest_[at] == '.' && !digits(++at)) return false;
    if (at < rest_.size() && (rest_[at] == 'e' || rest_[at] == 'E')) {
      ++at;
      if (at < rest_.size() && (rest_[at] == '+' || rest_[at] == '-')) ++at;
      if (!digits(at)) return false;
    }
    out.kind = Json::Kind::number;
    out.raw = rest_.substr(0, at);
    rest_.remove_prefix(at);
    return true;
  }

  std::string_view rest_;
};

void append_utf8(std::string& out, std::uint32_t code) {
  const auto put = [&out](std::uint32_t byte) { out.push_back(static_cast<char>(byte)); };
  if (code < 0x80) return put(code);
  if (code < 0x800) {
    put(0xc0 | (code >> 6));
  } else if (code < 0x10000) {
    put(0xe0 | (code >> 12));
    put(0x80 | ((code >> 6) & 0x3f));
  } else {
    put(0xf0 | (code >> 18));
    put(0x80 | ((code >> 12) & 0x3f));
    put(0x80 | ((code >> 6) & 0x3f));
  }
  put(0x80 | (code & 0x3f));
}

std::uint32_t four_hex(std::string_view digits) {
  std::uint32_t code = 0;
  for (char c : digits) code = code * 16 + static_cast<std::uint32_t>(hex_value(c));
  return code;
}

// The character of the escape at `at` (behind "\u"), which may be a pair; a half pair is the mark for
// "unknown".
std::uint32_t unicode(std::string_view raw, std::size_t& at) {
  constexpr std::uint32_t kUnknown = 0xfffd;
  const std::uint32_t high = four_hex(raw.substr(at, 4));
  at += 4;
  if (high < 0xd800 || high > 0xdfff) return high;
  if (high > 0xdbff || raw.substr(at, 2) != "\\u") return kUnknown;
  const std::uint32_t low = four_hex(raw.substr(at + 2, 4));
  if (low < 0xdc00 || low > 0xdfff) return kUnknown;
  at += 6;
  return 0x10000 + ((high - 0xd800) << 10) + (low - 0xdc00);
}

}  // namespace

const Json* Json::find(std::string_view name) const {
  for (const auto& [key, value] : members)
    if (key == name) return &value;
  return nullptr;
}

std::string Json::decoded() const {
  if (!escaped) return std::string(raw);
  std::string out;
  for (std::size_t at = 0; at < raw.size();) {
    const char c = raw[at++];
    if (c != '\\') {
      out.push_back(c);
      continue;
    }
    const char mark = raw[at++];
    if (mark == 'u') append_utf8(out, unicode(raw, at));
    else if (mark == 'b') out.push_back('\b');
    else if (mark == 'f') out.push_back('\f');
    else if (mark == 'n') out.push_back('\n');
    else if (mark == 'r') out.push_back('\r');
    else if (mark == 't') out.push_back('\t');
    else out.push_back(mark);
  }
  return out;
}

std::optional<std::string_view> Json::plain() const {
  if (kind != Kind::text || escaped) return std::nullopt;
  return raw;
}

std::optional<std::int64_t> Json::whole() const {
  if (kind != Kind::number) return std::nullopt;
  std::int64_t value = 0;
  const char* end = raw.data() + raw.size();
  const auto [stop, fault] = std::from_chars(raw.data(), end, value);
  if (fault == std::errc() && stop == end) return value;
  const auto real = number();
  constexpr double kExact = 9e15;  // below 2^53 a whole number written as 1.0 or 1e3 is exact
  if (!real || std::floor(*real) != *real || std::abs(*real) > kExact) return std::nullopt;
  return static_cast<std::int64_t>(*real);
}

std::optional<double> Json::number() const {
  if (kind != Kind::number) return std::nullopt;
  double value = 0;
  const auto [stop, fault] = std::from_chars(raw.data(), raw.data() + raw.size(), value);
  if (fault != std::errc() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<Json> parse_json(std::string_view bytes) {
  Json out;
  if (!Reader(bytes).document(out)) return std::nullopt;
  return out;
}

}  // namespace woadridge::net
