#include "lab/platform/model/choice.h"

#include <array>

namespace woadridge::lab::model {

const char* name_of(Kind kind) {
  static constexpr std::array<const char*, kKinds> kNames = {
      "after_others", "hold",      "lose",         "freeze",    "crash",
      "down",         "crash_all", "crash_others", "lose_disk", "lose_disk_all_down",
      "cut",          "deaf",      "mute",         "end",       "replace",
      "join",         "put_same",  "put_other",    "read"};
  return kNames.at(static_cast<std::size_t>(kind));
}

bool is_delay(Kind kind) {
  return kind == Kind::after_others || kind == Kind::hold;
}

bool is_call(Kind kind) {
  return kind == Kind::put_same || kind == Kind::put_other || kind == Kind::read;
}

}  // namespace woadridge::lab::model
