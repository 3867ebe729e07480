// The one normal form of a host's name: the check of a configuration and the router compare by it.
#pragma once

#include <string>
#include <string_view>

namespace woadridge::common {

/// The host of a `Host` header or of a route (RFC 3986, section 3.2.2; RFC 9110, section 7.2), without its
/// port and without the dot that ends a fully qualified name, in small letters. An IPv6 address comes in
/// brackets and in its shortest form (RFC 5952), also where it was written without brackets. What is neither
/// a name nor an address comes back as it is, but for the letters' case. Normal forms are their own normal
/// form.
std::string normal_host(std::string_view host);

}  // namespace woadridge::common
