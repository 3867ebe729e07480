// Which route a request takes: of its host's routes the one with the longest prefix of the path.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "common/messages.h"

namespace woadridge::proxy {

class Router {
 public:
  void take(const common::Plan& plan);
  const common::Route* route(std::string_view host, std::string_view target) const;  // null: none

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
  };
  // By prefix. Prefixes end with a slash, so each slash of a path is a place to look.
  using Routes = std::unordered_map<std::string, common::Route, Hash, std::equal_to<>>;
  std::unordered_map<std::string, Routes> hosts_;  // by the host's normal form
};

}  // namespace woadridge::proxy
