// Percent-encoding (RFC 3986, section 2.1): of ids in paths, and in files of lines.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace woadridge::net {

std::string percent_encoded(std::string_view text);  // all but letters, digits and - . _ ~
std::optional<std::string> percent_decoded(
    std::string_view text);  // nothing where a % is not followed by two digits

}  // namespace woadridge::net
