// The name of a value that the chain holds.
#pragma once

#include <cstdint>

namespace woadridge::chain {

struct Mark {  // of a value: its version, and which of those that were sent under that number
  std::uint64_t version = 0, digest = 0;
  bool operator==(const Mark&) const = default;
  template <class A>
  void serialize(A& a) {
    a(version, digest);
  }
};

}  // namespace woadridge::chain
