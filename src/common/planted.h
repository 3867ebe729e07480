// The switch of planted faults: faults that a test build can turn on, to prove that its runs find them. Each
// package names its own in an enum whose first entry is `none`. In the programs no fault is ever on, and no
// code remains of them.
#pragma once

namespace woadridge::common {

#ifdef WOADRIDGE_PLANTED
/// The fault of that package that is on now; a test build alone has it.
template <class Fault>
inline Fault planted_fault = Fault::none;

template <class Fault>
bool planted(Fault fault) {
  return planted_fault<Fault> == fault;
}
#else
template <class Fault>
constexpr bool planted(Fault) {
  return false;
}
#endif

}  // namespace woadridge::common
