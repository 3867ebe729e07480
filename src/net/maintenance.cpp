#include "net/maintenance.h"

#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>

#include "net/percent.h"

namespace woadridge::net {
namespace {

constexpr std::string_view kFirstLine = "woadridge bans 1";  // the form's number
constexpr std::string_view kLastLine = "end ";               // and how many lines lie between

class File {  // a descriptor that is closed with its scope
 public:
  File(const std::string& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
  ~File() {
    if (fd_ >= 0) ::close(fd_);
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }

 private:
  int fd_;
};

std::string why(const std::string& path) {
  return path + ": " + std::strerror(errno);
}

// Nothing: the text is torn or not of this form.
std::optional<std::set<WorkerId>> ids_in(const std::string& text) {
  std::istringstream lines(text);
  std::string line;
  std::set<WorkerId> ids;
  if (!std::getline(lines, line) || line != kFirstLine) return std::nullopt;
  while (std::getline(lines, line)) {
    if (line.starts_with(kLastLine)) {
      const bool whole = line == std::string(kLastLine) + std::to_string(ids.size()) && text.ends_with('\n');
      return whole ? std::optional(ids) : std::nullopt;
    }
    const auto id = percent_decoded(line);
    if (!id || id->empty()) return std::nullopt;
    ids.insert(*id);
  }
  return std::nullopt;
}

std::optional<std::set<WorkerId>> ids_at(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return ids_in({std::istreambuf_iterator<char>(file), {}});
}

std::string text_of(const std::set<WorkerId>& ids) {
  std::string text = std::string(kFirstLine) + "\n";
  for (const auto& id : ids) text += percent_encoded(id) + "\n";
  return text + std::string(kLastLine) + std::to_string(ids.size()) + "\n";
}

bool write_all(int fd, std::string_view text) {
  while (!text.empty()) {
    const auto wrote = ::write(fd, text.data(), text.size());
    if (wrote < 0) return false;
    text.remove_prefix(static_cast<std::size_t>(wrote));
  }
  return true;
}

}  // namespace

Bans::Stamp Bans::stamp() const {
  struct stat state {};
  if (::stat(path_.c_str(), &state) != 0) return {};
  return {state.st_ino, state.st_mtim.tv_sec, state.st_mtim.tv_nsec};
}

std::vector<Bans::News> Bans::read() {
  const Stamp now = stamp();
  if (now == read_) return {};
  read_ = now;
  if (now == Stamp{}) return {};  // no file: nobody was ever taken out, or it was removed under us
  const auto ids = ids_at(path_);
  if (!ids) {
    spdlog::error("{} is spoilt: {} bans stay as they were", path_, out_.size());
    return {};
  }
  std::vector<News> news;
  for (const auto& id : *ids)
    if (!out_.contains(id)) news.push_back({id, true});
  for (const auto& id : out_)
    if (!ids->contains(id)) news.push_back({id, false});
  out_ = *ids;
  return news;
}

// Under a lock, as two processes may write during an upgrade: what the other has put there stays.
std::string Bans::put(const WorkerId& worker, bool out) {
  if (out) out_.insert(worker);
  const File lock(path_ + ".lock", O_RDWR | O_CREAT);
  if (!lock.is_open() || ::flock(lock.fd(), LOCK_EX) != 0) return why(path_ + ".lock");
  Ids ids = ids_at(path_).value_or(out_);
  if (out) ids.insert(worker);
  else ids.erase(worker);
  std::string fault = write(ids);
  if (fault.empty() && !out) out_.erase(worker);
  return fault;  // what differs from the file is news at the next read
}

// Whole or not at all.
std::string Bans::write(const Ids& ids) const {
  const std::string fresh = path_ + ".new";
  {
    const File file(fresh, O_WRONLY | O_CREAT | O_TRUNC);
    if (!file.is_open() || !write_all(file.fd(), text_of(ids)) || ::fsync(file.fd()) != 0) return why(fresh);
  }
  if (::rename(fresh.c_str(), path_.c_str()) != 0) return why(path_);
  const auto folder = path_.substr(0, path_.rfind('/') + 1);
  const File held(folder, O_RDONLY | O_DIRECTORY);
  if (!held.is_open() || ::fsync(held.fd()) != 0) return why(folder);
  return {};
}

}  // namespace woadridge::net
