#include "proxy/call.h"

#include <algorithm>
#include <array>

#include "net/http.h"

namespace woadridge::proxy {

bool goes_along(std::string_view header) {
  static constexpr std::array<std::string_view, 18> kStay = {"Connection",
                                                             "Content-Length",
                                                             "Transfer-Encoding",
                                                             "Keep-Alive",
                                                             "Expect",
                                                             "Upgrade",
                                                             "TE",
                                                             "Trailer",
                                                             "Proxy-Connection",
                                                             kDeadline,
                                                             kTarget,
                                                             kVia,
                                                             "Retry-After",
                                                             kUsed,
                                                             kBoot,
                                                             kPass,
                                                             kRejoin,
                                                             kNeverRead};
  return std::none_of(kStay.begin(), kStay.end(), [&](auto name) { return net::same_name(name, header); });
}

}  // namespace woadridge::proxy
