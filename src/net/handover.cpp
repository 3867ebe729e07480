#include "net/handover.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace woadridge::net {
namespace {

constexpr long long kPlaces = 64;     // processes of one dispatcher at a time; an upgrade has two
constexpr long long kServing = 1024;  // where the bytes of those that serve begin

struct flock region(long long from, long long bytes) {
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  lock.l_start = from;
  lock.l_len = bytes;
  return lock;
}

}  // namespace

std::string check_listening(int descriptor) {
  int yes = 0;
  socklen_t size = sizeof yes;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &yes, &size) != 0) return std::strerror(errno);
  return yes != 0 ? std::string() : "not a listening socket";
}

Presence::~Presence() {
  if (file_ >= 0) ::close(file_);
}

std::string Presence::open(const std::string& path) {
  file_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file_ < 0) return path + ": " + std::strerror(errno);
  for (place_ = 0; place_ < kPlaces; ++place_)
    if (lock(place_)) return {};
  return path + ": " + std::strerror(errno);
}

std::string Presence::serve() {
  if (file_ < 0 || lock(kServing + place_)) return {};
  return std::strerror(errno);
}

void Presence::leave() {
  struct flock given = region(kServing + place_, 1);
  given.l_type = F_UNLCK;
  if (file_ >= 0) ::fcntl(file_, F_OFD_SETLK, &given);
}

bool Presence::another_is_there() const {
  return locked_by_another(0, kPlaces);
}

bool Presence::another_serves() const {
  return locked_by_another(kServing, kPlaces);
}

// Locks of the open file, not of the process: a second dispatcher in the same process counts as another.
bool Presence::lock(long long at) const {
  struct flock wanted = region(at, 1);
  return ::fcntl(file_, F_OFD_SETLK, &wanted) == 0;
}

bool Presence::locked_by_another(long long from, long long bytes) const {
  if (file_ < 0) return false;
  struct flock asked = region(from, bytes);
  return ::fcntl(file_, F_OFD_GETLK, &asked) == 0 && asked.l_type != F_UNLCK;
}

}  // namespace woadridge::net
