#include "quorum/store.h"

#include <fcntl.h>
#include <sqlite3.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace woadridge::quorum {
namespace {

constexpr auto kTryAgain = std::chrono::milliseconds(200);

struct Closer {
  void operator()(sqlite3* db) const { sqlite3_close(db); }
  void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
};
using Database = std::unique_ptr<sqlite3, Closer>;
using Statement = std::unique_ptr<sqlite3_stmt, Closer>;

bool run(sqlite3* db, const char* sql) {
  return sqlite3_exec(db, sql, nullptr, nullptr, nullptr) == SQLITE_OK;
}

Statement prepare(sqlite3* db, const char* sql) {
  sqlite3_stmt* statement = nullptr;
  sqlite3_prepare_v2(db, sql, -1, &statement, nullptr);
  return Statement(statement);
}

bool damaged(int code) {
  return (code & 0xff) == SQLITE_CORRUPT || (code & 0xff) == SQLITE_NOTADB;
}

void sync_folder(const std::string& folder) {  // a rename survives a loss of power only after this
  const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return;
  ::fsync(fd);
  ::close(fd);
}

// Each folder that is made stands in its parent for sure.
bool make_folder(const std::filesystem::path& folder) {
  std::error_code fault;
  if (folder.empty() || std::filesystem::is_directory(folder, fault)) return true;
  const auto parent = folder.has_filename() ? folder.parent_path() : folder.parent_path().parent_path();
  if (!make_folder(parent)) return false;
  std::filesystem::create_directory(folder, fault);
  if (fault) return false;
  sync_folder(parent.empty() ? "." : parent.string());
  return true;
}

enum class Found { good, damaged, unreachable };

// The whole file in one process, a write-ahead log whose index stays in this process's own memory, no
// mapping.
Found open_file(const std::string& path, Database& db, Rows& rows) {
  sqlite3* raw = nullptr;
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  int code = sqlite3_open_v2(path.c_str(), &raw, flags, nullptr);
  db.reset(raw);
  if (code != SQLITE_OK) return Found::unreachable;
  for (const char* sql :
       {"PRAGMA locking_mode=EXCLUSIVE", "PRAGMA mmap_size=0", "PRAGMA cache_size=-512",
        "PRAGMA temp_store=MEMORY", "PRAGMA journal_mode=WAL", "PRAGMA synchronous=FULL",
        "PRAGMA wal_autocheckpoint=512", "PRAGMA journal_size_limit=4194304",
        "CREATE TABLE IF NOT EXISTS held(name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID"}) {
    if (run(db.get(), sql)) continue;
    return damaged(sqlite3_errcode(db.get())) ? Found::damaged : Found::unreachable;
  }
  const Statement check = prepare(db.get(), "PRAGMA quick_check(1)");
  if (check && sqlite3_step(check.get()) == SQLITE_ROW &&
      std::string(reinterpret_cast<const char*>(sqlite3_column_text(check.get(), 0))) != "ok")
    return Found::damaged;
  const Statement all = prepare(db.get(), "SELECT name, value FROM held");
  if (!all) return damaged(sqlite3_errcode(db.get())) ? Found::damaged : Found::unreachable;
  while ((code = sqlite3_step(all.get())) == SQLITE_ROW) {
    const auto bytes = [&](int at) {
      const auto* data = static_cast<const char*>(sqlite3_column_blob(all.get(), at));
      return data == nullptr
                 ? std::string()
                 : std::string(data, static_cast<std::size_t>(sqlite3_column_bytes(all.get(), at)));
    };
    std::string name = bytes(0);
    rows[std::move(name)] = bytes(1);
  }
  if (code == SQLITE_DONE) return Found::good;
  return damaged(code) ? Found::damaged : Found::unreachable;
}

int write_rows(sqlite3* db, const Rows& rows) {  // SQLite's code
  if (!run(db, "BEGIN IMMEDIATE")) return sqlite3_errcode(db);
  int code = SQLITE_OK;
  {
    const Statement put = prepare(db, "INSERT OR REPLACE INTO held VALUES(?1, ?2)");
    if (!put) code = sqlite3_errcode(db);
    for (const auto& [name, value] : rows) {
      if (code != SQLITE_OK) break;
      sqlite3_bind_text(put.get(), 1, name.data(), static_cast<int>(name.size()), SQLITE_STATIC);
      sqlite3_bind_blob64(put.get(), 2, value.data(), value.size(), SQLITE_STATIC);
      if (const int done = sqlite3_step(put.get()); done != SQLITE_DONE) code = done;
      sqlite3_reset(put.get());
    }
  }
  if (code == SQLITE_OK && !run(db, "COMMIT")) code = sqlite3_errcode(db);
  if (code != SQLITE_OK) run(db, "ROLLBACK");
  return code;
}

}  // namespace

struct Store::Inside {
  std::string folder;
  OnOpen on_open;
  OnWritten on_written;
  OnTrouble on_trouble;
  std::mutex guard;
  std::condition_variable woken;
  Rows rows;                          // that wait
  std::vector<std::uint64_t> tokens;  // of them
  bool begun = false, ending = false, over = false;

  bool rest() {  // false: the end
    std::unique_lock lock(guard);
    return !woken.wait_for(lock, kTryAgain, [this] { return ending; });
  }

  // None that can be used: not now. `again`: this process has had it open already.
  bool open(Database& db, Opened& opened, bool again) {
    std::error_code fault;
    if (!make_folder(folder)) return false;
    const std::string path = folder + "/quorum.db", aside = folder + "/quorum.broken";
    opened = {};
    db.reset();
    Found found = open_file(path, db, opened.rows);
    if (found == Found::good && again && !opened.rows.contains("state")) found = Found::damaged;
    if (found == Found::damaged) {
      // What it had promised is gone. It comes back as one that lost its disk, never as one that had not
      // voted.
      trouble("the store is damaged and was put aside: " + path);
      db.reset();
      std::filesystem::rename(path, aside, fault);
      if (fault) return false;
      // The log goes only once the file is aside for sure: without its log it might be read as an older
      // state.
      sync_folder(folder);
      for (const char* end : {"-wal", "-journal"}) std::filesystem::remove(path + end, fault);
      sync_folder(folder);
      opened = {};
      found = open_file(path, db, opened.rows);
      opened.lost = true;
    }
    // Until the new file has its mark, the one put aside is the mark.
    if (!opened.rows.contains("state") && std::filesystem::exists(aside, fault)) opened.lost = true;
    return found == Found::good;
  }

  // After a write that failed nobody knows what of it is in the log of the file: that is brought to an end
  // first.
  bool open_again(Database& db) {
    Opened opened;
    if (!open(db, opened, true)) return false;
    if (!opened.lost) return run(db.get(), "PRAGMA wal_checkpoint(TRUNCATE)");
    const std::lock_guard lock(guard);
    begun = false;
    rows.clear();
    tokens.clear();
    on_open(std::move(opened));
    return false;
  }

  void work() {
    Database db;
    Opened opened;
    while (!open(db, opened, false)) {
      db.reset();
      trouble("the store can't be opened: " + folder);
      if (!rest()) return;
    }
    std::unique_lock lock(guard);
    if (ending) return;
    on_open(std::move(opened));
    while (true) {
      woken.wait(lock, [this] { return ending || !tokens.empty(); });
      if (ending) return;
      const Rows batch = std::exchange(rows, {});
      const auto done = std::exchange(tokens, {});
      lock.unlock();
      const int code = db || open_again(db) ? write_rows(db.get(), batch) : SQLITE_CANTOPEN;
      const bool good = code == SQLITE_OK;
      if (!good) {
        trouble(std::string("a write to the store failed: ") + sqlite3_errstr(code));
        if (!rest()) return;  // guards against a loop of failures that eats the processor
        lock.lock();
        if (begun && (code & 0xff) != SQLITE_FULL) db.reset();
      } else {
        told_.clear();
        lock.lock();
      }
      if (ending) return;
      if (!begun) continue;
      for (const auto token : done) on_written(token, good);
    }
  }

 private:
  void trouble(const std::string& what) {
    if (what != told_) on_trouble(what);
    told_ = what;
  }
  std::string told_;
};

Store::Store(std::string folder, OnOpen on_open, OnWritten on_written, OnTrouble on_trouble)
    : inside_(std::make_shared<Inside>()) {
  inside_->folder = std::move(folder);
  inside_->on_open = std::move(on_open);
  inside_->on_written = std::move(on_written);
  inside_->on_trouble = std::move(on_trouble);
  std::thread([inside = inside_] {
    inside->work();
    const std::lock_guard lock(inside->guard);
    inside->over = true;
    inside->woken.notify_all();
  }).detach();  // a disk that stands still must not hold up the end of the process
}

Store::~Store() {
  std::unique_lock lock(inside_->guard);
  inside_->ending = true;
  inside_->woken.notify_all();
  inside_->woken.wait_for(lock, kTryAgain, [this] { return inside_->over; });
}

void Store::begin() {
  const std::lock_guard lock(inside_->guard);
  inside_->begun = true;
}

void Store::write(std::uint64_t token, Rows rows) {
  const std::lock_guard lock(inside_->guard);
  if (!inside_->begun) return;
  rows.merge(inside_->rows);  // the newer row of each name stays
  inside_->rows = std::move(rows);
  inside_->tokens.push_back(token);
  inside_->woken.notify_all();
}

}  // namespace woadridge::quorum
