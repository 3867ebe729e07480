// The group's file (TOML): who this member is, whom it asks first, who votes, and the times that all hold to.
// Read once, at the start, and only if --group names it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace woadridge::group {

using Micros = std::int64_t;

struct Voter {
  std::string name;
  std::string address;  // where other members reach it
  bool operator==(const Voter&) const = default;
};

struct Options {
  std::string group = "woadridge";
  std::string name;  // of this member
  std::string zone;
  std::string machine;  // members of one machine fail together
  std::string listen;   // address:port
  std::string address;  // what the others are told; `listen` if the file doesn't say
  std::string folder;   // of a voter: what it may not forget
  std::vector<std::string> seeds;
  std::vector<Voter> voters;

  Micros probe_every = 500'000;    // failure detection: one member is asked in each period
  Micros probe_timeout = 200'000;  // ... and has this long to answer
  Micros election = 600'000;  // a voter that has heard no leader for so long (up to twice) asks for votes
  Micros heartbeat = 100'000;
  Micros lease = 3'000'000;
  double drift = 0.01;              // two members' clocks part by this share of a time at most
  int snapshot_entries = 1'024;     // of the voters' log, until it is cut; some 100 bytes each
  bool share_list = true;           // duty: reader of the list
  Micros list_silence = 3'000'000;  // a member that has heard nothing for so long asks discovery itself ...
  Micros list_spread = 2'000'000;   // ... within so long after that
  Micros probe_workers = 0;         // duty: prober; a worker is probed so often, 0: never

  bool votes() const;
};

// The options, or one plain line that names the file and the setting at fault.
std::variant<Options, std::string> read_options(std::string_view text, const std::string& source);
std::variant<Options, std::string> load_options(const std::string& path);

}  // namespace woadridge::group
