// The disk of a member: rows in SQLite, written by a thread of its own so that the strand never waits for a
// disk. What is handed over while a write is under way goes together in the next one.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "quorum/register.h"

namespace woadridge::quorum {

struct Opened {
  Rows rows;
  bool lost = false;  // what was there can't be read; it was put aside
};

class Store {
 public:
  using OnOpen = std::function<void(Opened)>;
  using OnWritten = std::function<void(std::uint64_t token, bool good)>;
  using OnTrouble = std::function<void(std::string)>;  // one line for a person, each time that it changes

  // All are called on the store's thread; opening is tried again for as long as it fails. A file that turns
  // out to be damaged later is put aside too: `on_open` comes once more, and whoever wrote until then is not
  // to go on.
  Store(std::string folder, OnOpen on_open, OnWritten on_written, OnTrouble on_trouble);
  ~Store();  // what was not begun is dropped, as at a crash; one that the disk holds up is not waited for
             // long
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  void begin();  // of a member that goes by what on_open told: before this nothing is written
  void write(std::uint64_t token, Rows rows);

 private:
  struct Inside;
  std::shared_ptr<Inside> inside_;
};

}  // namespace woadridge::quorum
