// Values that are handed on without copying, and rows of a store.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace woadridge::common {

using Bytes = std::shared_ptr<const std::string>;  // null: no value yet
using Rows = std::map<std::string, std::string>;   // of the store, by name

inline Bytes bytes_of(std::string text) {
  return std::make_shared<const std::string>(std::move(text));
}

}  // namespace woadridge::common
