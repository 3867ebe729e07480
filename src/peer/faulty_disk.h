// In test builds a layer under SQLite whose syncs are slow or fail and whose disk is full, as the file
// `faults` in the folder says (slow, fail, full, or nothing). In the program itself there is none.
#pragma once

#ifdef WOADRIDGE_NEVER_PLANTED
#error "this file is built once for both programs: take it out of CMakeLists.txt's shared objects"
#endif

#include <string>

namespace woadridge::peer {

#ifdef WOADRIDGE_PLANTED
const char* faulty_disk(const std::string& folder);  // the name of a layer for that folder
#else
inline const char* faulty_disk(const std::string&) {
  return nullptr;
}  // SQLite's own
#endif

}  // namespace woadridge::peer
