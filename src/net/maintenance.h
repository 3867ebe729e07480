// Who is taken out by staff, and the file that says so: it outlives the process.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decide.h"

namespace woadridge::net {

class Bans {
 public:
  explicit Bans(std::string path) : path_(std::move(path)) {}

  struct News {
    WorkerId worker;
    bool out = false;
  };
  // What the file says now and did not when it was read last: another process of this dispatcher may write
  // too. Costs one look at the file's state while it is unchanged. A spoilt file changes nothing.
  std::vector<News> read();
  // In force and in the file; an empty text, or why it could not be written. Then only what takes a worker
  // out is in force.
  std::string put(const WorkerId& worker, bool out);
  bool has(const WorkerId& worker) const { return out_.contains(worker); }

 private:
  using Ids = std::set<WorkerId>;
  struct Stamp {  // tells one state of the file from another
    std::uint64_t inode = 0;
    std::int64_t seconds = 0, nanoseconds = 0;
    bool operator==(const Stamp&) const = default;
  };
  Stamp stamp() const;
  std::string write(const Ids& ids) const;

  std::string path_;
  Ids out_;
  Stamp read_;
};

}  // namespace woadridge::net
