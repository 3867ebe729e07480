// An upgrade without a gap: the listener that both processes inherit, and how each knows of the other.
#pragma once

#include <optional>
#include <string>

namespace woadridge::net {

// A descriptor that is a listening socket; else an empty text is not what comes back.
std::string check_listening(int descriptor);

// A file whose locks tell which processes of one dispatcher are there. The system drops the locks of a
// process that ends, however it ends.
class Presence {
 public:
  Presence() = default;
  ~Presence();
  Presence(const Presence&) = delete;
  Presence& operator=(const Presence&) = delete;

  std::string open(const std::string& path);  // from now on others see this one; an empty text, or why not
  std::string serve();                        // and from now on that it serves ...
  void leave();                               // ... until now
  bool another_is_there() const;
  bool another_serves() const;

 private:
  bool lock(long long at) const;
  bool locked_by_another(long long from, long long bytes) const;

  int file_ = -1;
  long long place_ = -1;  // this process's byte
};

}  // namespace woadridge::net
