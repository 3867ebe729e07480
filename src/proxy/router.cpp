#include "proxy/router.h"

#include "common/host.h"

namespace woadridge::proxy {

void Router::take(const common::Plan& plan) {
  hosts_.clear();
  for (const auto& route : plan.routes) hosts_[common::normal_host(route.host)].emplace(route.prefix, route);
}

const common::Route* Router::route(std::string_view host, std::string_view target) const {
  const auto at = hosts_.find(common::normal_host(host));
  if (at == hosts_.end()) return nullptr;
  std::string_view path = target.substr(0, target.find_first_of("?#"));
  for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/')) {
    const auto found = at->second.find(path.substr(0, slash + 1));
    if (found != at->second.end()) return &found->second;
    path = path.substr(0, slash);
  }
  return nullptr;
}

}  // namespace woadridge::proxy
