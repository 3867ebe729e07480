// Reading of names, numbers and lists from text, for the settings and the wires. Translates only.
#pragma once

#include <charconv>
#include <cmath>
#include <cstdint>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace woadridge {

// Text that can't be read; what() says what is wrong with it.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

template <typename Number>
Number parse_number(std::string_view key, std::string_view value) {
  Number number{};
  const char* end = value.data() + value.size();
  const auto [stop, fault] = std::from_chars(value.data(), end, number);
  if (fault != std::errc() || stop != end)
    throw Malformed(std::string(key) + " is not a number: " + std::string(value));
  return number;
}

double parse_real(std::string_view key, std::string_view value);  // finite
bool parse_flag(std::string_view key, std::string_view value);
std::vector<std::string_view> split(std::string_view text, char mark);

// FNV-1a over the bytes, from a start of the caller's: the same number in every process.
constexpr std::uint64_t fnv1a(std::string_view text, std::uint64_t from = 0xcbf29ce484222325ULL) {
  for (const char c : text) from = (from ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return from;
}

template <typename Value>
Value choose(std::string_view what, std::string_view word,
             std::initializer_list<std::pair<std::string_view, Value>> options) {
  for (const auto& [name, value] : options)
    if (name == word) return value;
  throw Malformed("unknown " + std::string(what) + ": " + std::string(word));
}

// Names with their values: views into text that someone else keeps.
struct Fields {
  std::vector<std::pair<std::string_view, std::string_view>> fields;

  const std::string_view* find(std::string_view key) const;
  std::string_view text(std::string_view key) const;  // required
  std::string_view text_or(std::string_view key, std::string_view fallback) const;
  std::int64_t whole(std::string_view key) const;  // required
  std::int64_t whole_or(std::string_view key, std::int64_t fallback) const;
  std::uint64_t natural(std::string_view key) const;  // required, never negative
  double number_or(std::string_view key, double fallback) const;
  bool flag_or(std::string_view key, bool fallback) const;
};

}  // namespace woadridge
