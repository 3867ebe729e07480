#include "common/host.h"

#include <arpa/inet.h>

#include <algorithm>
#include <optional>

namespace woadridge::common {
namespace {

std::string small_letters(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  return out;
}

// In brackets and its shortest form; none: it is no such address.
std::optional<std::string> normal_ipv6(std::string_view address) {
  in6_addr bytes{};
  if (::inet_pton(AF_INET6, std::string(address).c_str(), &bytes) != 1) return std::nullopt;
  char text[INET6_ADDRSTRLEN];
  ::inet_ntop(AF_INET6, &bytes, text, sizeof text);
  return '[' + std::string(text) + ']';
}

bool is_port(std::string_view text) {  // with its colon; may be empty
  if (text.empty()) return true;
  return text.front() == ':' &&
         std::all_of(text.begin() + 1, text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::optional<std::string> normal_in_brackets(std::string_view host) {
  const auto end = host.find(']');
  if (!host.starts_with('[') || end == std::string_view::npos || !is_port(host.substr(end + 1)))
    return std::nullopt;
  const auto address = host.substr(1, end - 1);
  if (auto normal = normal_ipv6(address)) return normal;
  return small_letters(host.substr(0, end + 1));
}

}  // namespace

std::string normal_host(std::string_view host) {
  if (auto bracketed = normal_in_brackets(host)) return *bracketed;
  const auto colon = host.find(':');
  const bool several = colon != std::string_view::npos && host.find(':', colon + 1) != std::string_view::npos;
  if (several) {
    if (auto address = normal_ipv6(host)) return *address;
    return small_letters(host);
  }
  auto name = host.substr(0, colon);
  if (name.ends_with('.')) name.remove_suffix(1);
  return small_letters(name);
}

}  // namespace woadridge::common
