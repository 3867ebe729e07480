#include "net/percent.h"

#include <charconv>

namespace woadridge::net {
namespace {

bool unreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.' ||
         c == '_' || c == '~';
}

}  // namespace

std::string percent_encoded(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    if (unreserved(c)) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kDigits[byte >> 4];
    encoded += kDigits[byte & 15];
  }
  return encoded;
}

std::optional<std::string> percent_decoded(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    unsigned byte = 0;
    const char* digits = text.data() + i + 1;
    if (text.size() - i < 3) return std::nullopt;
    const auto [stop, fault] = std::from_chars(digits, digits + 2, byte, 16);
    if (fault != std::errc() || stop != digits + 2) return std::nullopt;
    decoded += static_cast<char>(byte);
    i += 2;
  }
  return decoded;
}

}  // namespace woadridge::net
