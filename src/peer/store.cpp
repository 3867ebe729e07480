#include "peer/store.h"

#include <fcntl.h>
#include <sqlite3.h>
#include <sys/stat.h>

#include <chrono>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <filesystem>
#include <mutex>
#include <random>
#include <thread>

#include "peer/faulty_disk.h"

namespace woadridge::peer {
namespace {

constexpr int kFormat = 1;                                  // of the tables
constexpr auto kTryAgain = std::chrono::milliseconds(200);  // a full disk may get room

struct Unusable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Statement {
 public:
  Statement(sqlite3* db, const char* sql) {
    if (sqlite3_prepare_v2(db, sql, -1, &s_, nullptr) != SQLITE_OK) throw Unusable(sqlite3_errmsg(db));
  }
  ~Statement() { sqlite3_finalize(s_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  Statement& bind(int at, std::uint64_t number) {
    sqlite3_bind_int64(s_, at, static_cast<sqlite3_int64>(number));
    return *this;
  }
  Statement& bind(int at, const std::string& bytes) {
    sqlite3_bind_blob64(s_, at, bytes.data(), bytes.size(), SQLITE_TRANSIENT);
    return *this;
  }
  int step() { return sqlite3_step(s_); }
  int run() {
    const int result = step();
    sqlite3_reset(s_);
    return result;
  }
  std::uint64_t number(int at) { return static_cast<std::uint64_t>(sqlite3_column_int64(s_, at)); }
  std::string bytes(int at) {
    const auto* data = static_cast<const char*>(sqlite3_column_blob(s_, at));
    return data == nullptr ? std::string()
                           : std::string(data, static_cast<std::size_t>(sqlite3_column_bytes(s_, at)));
  }

 private:
  sqlite3_stmt* s_ = nullptr;
};

class Database {
 public:
  explicit Database(const std::string& folder) {
    std::error_code fault;
    std::filesystem::create_directories(folder, fault);
    if (fault) throw Unusable(fault.message());
    const std::string path = folder + "/group.db";
    const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
    sqlite3* opened = nullptr;
    const int result = sqlite3_open_v2(path.c_str(), &opened, flags, faulty_disk(folder));
    db_.reset(opened);  // also of one that could not be opened: it holds why
    if (result != SQLITE_OK) fail();
    // One process for as long as it lives; each commit is on the disk when it returns.
    for (const char* sql :
         {"PRAGMA locking_mode=EXCLUSIVE", "PRAGMA journal_mode=WAL", "PRAGMA synchronous=FULL"})
      run(sql);
    run("BEGIN EXCLUSIVE");
    run("COMMIT");
    check();
  }

  sqlite3* get() { return db_.get(); }
  void run(const char* sql) {
    if (sqlite3_exec(get(), sql, nullptr, nullptr, nullptr) != SQLITE_OK) fail();
  }

 private:
  struct Close {
    void operator()(sqlite3* db) const { sqlite3_close(db); }
  };
  [[noreturn]] void fail() {
    throw Unusable(sqlite3_errcode(get()) == SQLITE_BUSY ? "in use by another process"
                                                         : sqlite3_errmsg(get()));
  }
  void check() {
    std::uint64_t format = 0;
    {
      Statement told(get(), "PRAGMA user_version");
      if (told.step() == SQLITE_ROW) format = told.number(0);
    }
    if (format > kFormat)
      throw Unusable("its format " + std::to_string(format) + " is newer than this program's");
    {
      Statement damage(get(), "PRAGMA quick_check(1)");
      if (damage.step() != SQLITE_ROW || damage.bytes(0) != "ok")
        throw Unusable("damaged: " + damage.bytes(0));
    }
    if (format == 0) {
      run("BEGIN");
      run("CREATE TABLE IF NOT EXISTS meta(name TEXT PRIMARY KEY, value) WITHOUT ROWID");
      run("CREATE TABLE IF NOT EXISTS log(place INTEGER PRIMARY KEY, term INTEGER, data BLOB)");
      run("PRAGMA user_version=1");
      run("COMMIT");
    }
  }

  std::unique_ptr<sqlite3, Close> db_;
};

void put(sqlite3* db, const char* name, std::uint64_t value, int& result) {
  Statement s(db, "INSERT OR REPLACE INTO meta VALUES(?1, ?2)");
  result = s.bind(1, std::string(name)).bind(2, value).run();
}
void put(sqlite3* db, const char* name, const std::string& value, int& result) {
  Statement s(db, "INSERT OR REPLACE INTO meta VALUES(?1, ?2)");
  result = s.bind(1, std::string(name)).bind(2, value).run();
}

// What tells this file from a copy of it: a copy is born later. Guards against a folder that is put back from
// a copy and would vote as if it had forgotten nothing. A disk that is set back as a whole is not seen by it.
std::string birth_of(const std::string& folder) {
  struct statx told {};
  const std::string path = folder + "/group.db";
  if (::statx(AT_FDCWD, path.c_str(), 0, STATX_INO | STATX_BTIME, &told) != 0)
    throw Unusable(std::strerror(errno));
  std::string birth = std::to_string(told.stx_ino);
  if ((told.stx_mask & STATX_BTIME) != 0)
    birth += "/" + std::to_string(told.stx_btime.tv_sec) + "." + std::to_string(told.stx_btime.tv_nsec);
  return birth;
}

std::string recorded_birth(sqlite3* db) {
  Statement s(db, "SELECT value FROM meta WHERE name = ?1");
  s.bind(1, std::string("birth"));
  return s.step() == SQLITE_ROW ? s.bytes(0) : std::string();
}

duty::Kept read_all(sqlite3* db) {
  duty::Kept kept;
  Statement meta(db, "SELECT name, value FROM meta");
  while (meta.step() == SQLITE_ROW) {
    const std::string name = meta.bytes(0);
    if (name == "disk") kept.disk = meta.number(1);
    if (name == "boot") kept.boot = meta.number(1);
    if (name == "term") kept.term = meta.number(1);
    if (name == "vote") kept.vote = meta.bytes(1);
    if (name == "snapshot_index") kept.snapshot_index = meta.number(1);
    if (name == "snapshot_term") kept.snapshot_term = meta.number(1);
    if (name == "snapshot") kept.snapshot = meta.bytes(1);
  }
  Statement log(db, "SELECT place, term, data FROM log WHERE place > ?1 ORDER BY place");
  log.bind(1, kept.snapshot_index);
  while (log.step() == SQLITE_ROW) {
    wire::LogEntry e;
    e.set_index(log.number(0));
    e.set_term(log.number(1));
    e.set_data(log.bytes(2));
    if (e.index() != kept.snapshot_index + kept.entries.size() + 1)
      throw Unusable("damaged: its log has a gap");
    kept.entries.push_back(std::move(e));
  }
  return kept;
}

int write_one(sqlite3* db, const duty::Write& w) {
  int result = SQLITE_DONE;
  const auto good = [&] { return result == SQLITE_DONE; };
  if (good()) put(db, "term", w.term, result);
  if (good()) put(db, "vote", w.vote, result);
  if (good() && w.cut_from != 0)
    result = Statement(db, "DELETE FROM log WHERE place >= ?1").bind(1, w.cut_from).run();
  if (good() && w.snapshot) {
    put(db, "snapshot_index", w.snapshot->snapshot_index, result);
    if (good()) put(db, "snapshot_term", w.snapshot->snapshot_term, result);
    if (good()) put(db, "snapshot", w.snapshot->snapshot, result);
  }
  if (good() && w.forget_up_to != 0)
    result = Statement(db, "DELETE FROM log WHERE place <= ?1").bind(1, w.forget_up_to).run();
  if (good() && !w.entries.empty()) {
    Statement insert(db, "INSERT OR REPLACE INTO log VALUES(?1, ?2, ?3)");
    for (const auto& e : w.entries) {
      result = insert.bind(1, e.index()).bind(2, e.term()).bind(3, e.data()).run();
      if (!good()) break;
    }
  }
  return result;
}

// All that waits in one commit. A full disk takes back the whole of it cleanly; after anything else nobody
// knows what the disk has.
int write_all(sqlite3* db, const std::vector<duty::Write>& writes) {
  int result = sqlite3_exec(db, "BEGIN", nullptr, nullptr, nullptr);
  if (result != SQLITE_OK) return result;
  for (const auto& w : writes) {
    result = write_one(db, w);
    if (result != SQLITE_DONE) break;
  }
  if (result == SQLITE_DONE) result = sqlite3_exec(db, "COMMIT", nullptr, nullptr, nullptr);
  if (result != SQLITE_OK) sqlite3_exec(db, "ROLLBACK", nullptr, nullptr, nullptr);
  return result;
}

}  // namespace

struct Store::Inside {
  explicit Inside(const std::string& folder, Done d) : db(folder), done(std::move(d)) {}

  void work() {
    std::unique_lock lock(guard);
    while (true) {
      woken.wait(lock, [this] { return ending || !queue.empty(); });
      if (ending) return;
      const std::vector<duty::Write> batch(queue.begin(), queue.end());
      queue.clear();
      lock.unlock();
      int result = SQLITE_FULL;
      bool cut_short = false;
      while ((result = write_all(db.get(), batch)) == SQLITE_FULL && !cut_short) {
        lock.lock();
        cut_short = woken.wait_for(lock, kTryAgain, [this] { return ending; });
        lock.unlock();
      }
      if (cut_short) return;
      const bool ok = result == SQLITE_OK;
      done(batch.back().token, ok);
      lock.lock();
      if (!ok) return;  // holds nothing as safe any more
    }
  }

  Database db;
  Done done;
  duty::Kept kept;
  std::mutex guard;
  std::condition_variable woken;
  std::deque<duty::Write> queue;
  bool ending = false;
  bool was_copy = false;
  std::thread thread;
};

Store::Store(std::unique_ptr<Inside> inside) : inside_(std::move(inside)) {
  inside_->thread = std::thread([raw = inside_.get()] { raw->work(); });
}

Store::~Store() {
  {
    const std::lock_guard lock(inside_->guard);
    inside_->ending = true;
  }
  inside_->woken.notify_all();
  inside_->thread.join();
}

bool Store::was_copy() const {
  return inside_->was_copy;
}

const duty::Kept& Store::kept() const {
  return inside_->kept;
}

void Store::write(std::vector<duty::Write> writes) {
  {
    const std::lock_guard lock(inside_->guard);
    for (auto& w : writes) inside_->queue.push_back(std::move(w));
  }
  inside_->woken.notify_all();
}

std::variant<std::unique_ptr<Store>, std::string> Store::open(const std::string& folder, Done done) {
  try {
    auto inside = std::make_unique<Inside>(folder, std::move(done));
    duty::Kept& kept = inside->kept;
    const std::string birth = birth_of(folder), recorded = recorded_birth(inside->db.get());
    if (!recorded.empty() && recorded != birth) {
      inside->db.run("BEGIN");
      inside->db.run("DELETE FROM log");
      inside->db.run("DELETE FROM meta");
      inside->db.run("COMMIT");
      inside->was_copy = true;
    }
    kept = read_all(inside->db.get());
    if (kept.disk == 0) {  // blank: who it is, is drawn once
      std::random_device chance;
      kept.disk = (static_cast<std::uint64_t>(chance()) << 32 | chance()) | 1;
    }
    ++kept.boot;
    int result = SQLITE_DONE;
    put(inside->db.get(), "disk", kept.disk, result);
    if (result == SQLITE_DONE) put(inside->db.get(), "boot", kept.boot, result);
    if (result == SQLITE_DONE) put(inside->db.get(), "birth", birth, result);
    if (result != SQLITE_DONE) throw Unusable(sqlite3_errmsg(inside->db.get()));
    return std::unique_ptr<Store>(new Store(std::move(inside)));
  } catch (const Unusable& fault) {
    return "folder " + folder + ": " + fault.what();
  }
}

std::string found_folder(const group::Options& options) {
  try {
    Database db(options.folder);
    if (read_all(db.get()).disk != 0) return "folder " + options.folder + ": is there already";
    const duty::Kept kept = duty::founded(options);
    int result = SQLITE_DONE;
    db.run("BEGIN");
    put(db.get(), "disk", kept.disk, result);
    if (result == SQLITE_DONE) put(db.get(), "birth", birth_of(options.folder), result);
    if (result == SQLITE_DONE) put(db.get(), "term", kept.term, result);
    if (result == SQLITE_DONE) put(db.get(), "snapshot_index", kept.snapshot_index, result);
    if (result == SQLITE_DONE) put(db.get(), "snapshot_term", kept.snapshot_term, result);
    if (result == SQLITE_DONE) put(db.get(), "snapshot", kept.snapshot, result);
    if (result != SQLITE_DONE) throw Unusable(sqlite3_errmsg(db.get()));
    db.run("COMMIT");
    return {};
  } catch (const Unusable& fault) {
    return "folder " + options.folder + ": " + fault.what();
  }
}

}  // namespace woadridge::peer
