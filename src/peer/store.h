// A voter's folder: what it may not forget, in SQLite, written by a thread of its own so that the strand
// never waits for a disk. Whoever hands a write over hears of it once it is safe, or that it is not.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "duty/consensus.h"

namespace woadridge::peer {

// Makes the folder of a founding voter; an empty text, or why not. One that is there already is left alone.
std::string found_folder(const group::Options& options);

class Store {
 public:
  using Done = std::function<void(std::uint64_t token, bool ok)>;  // called on the store's thread

  // Opens the folder, or makes a blank one. Else one plain line that names it: in use, newer, damaged.
  static std::variant<std::unique_ptr<Store>, std::string> open(const std::string& folder, Done done);
  ~Store();  // what was handed over and not begun is dropped, as at a crash
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  const duty::Kept& kept() const;  // as it was found; its start is counted already
  bool was_copy() const;  // the folder was put back from a copy: it has begun anew, as nobody that was known
  void write(std::vector<duty::Write> writes);

 private:
  struct Inside;
  explicit Store(std::unique_ptr<Inside> inside);
  std::unique_ptr<Inside> inside_;
};

}  // namespace woadridge::peer
