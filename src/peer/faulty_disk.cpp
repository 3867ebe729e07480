#include "peer/faulty_disk.h"

#ifdef WOADRIDGE_PLANTED
#include <sqlite3.h>

#include <chrono>
#include <cstring>
#include <fstream>
#include <thread>

namespace woadridge::peer {
namespace {

constexpr auto kSlow = std::chrono::seconds(2);

std::string faults_file;  // one folder a process

std::string fault_now() {
  std::ifstream file(faults_file);
  std::string word;
  file >> word;
  return word;
}

struct File {
  sqlite3_file base;
  sqlite3_file* real;  // lies behind this one, in the space that SQLite gives
};

sqlite3_file* real_of(sqlite3_file* f) {
  return reinterpret_cast<File*>(f)->real;
}

int on_sync(sqlite3_file* f, int flags) {
  const std::string fault = fault_now();
  if (fault == "slow") std::this_thread::sleep_for(kSlow);
  if (fault == "fail") return SQLITE_IOERR_FSYNC;
  return real_of(f)->pMethods->xSync(real_of(f), flags);
}
int on_write(sqlite3_file* f, const void* bytes, int count, sqlite3_int64 at) {
  if (fault_now() == "full") return SQLITE_FULL;
  return real_of(f)->pMethods->xWrite(real_of(f), bytes, count, at);
}
int on_close(sqlite3_file* f) {
  return real_of(f)->pMethods->xClose(real_of(f));
}
int on_read(sqlite3_file* f, void* bytes, int count, sqlite3_int64 at) {
  return real_of(f)->pMethods->xRead(real_of(f), bytes, count, at);
}
int on_truncate(sqlite3_file* f, sqlite3_int64 size) {
  return real_of(f)->pMethods->xTruncate(real_of(f), size);
}
int on_size(sqlite3_file* f, sqlite3_int64* size) {
  return real_of(f)->pMethods->xFileSize(real_of(f), size);
}
int on_lock(sqlite3_file* f, int how) {
  return real_of(f)->pMethods->xLock(real_of(f), how);
}
int on_unlock(sqlite3_file* f, int how) {
  return real_of(f)->pMethods->xUnlock(real_of(f), how);
}
int on_check(sqlite3_file* f, int* out) {
  return real_of(f)->pMethods->xCheckReservedLock(real_of(f), out);
}
int on_control(sqlite3_file* f, int what, void* arg) {
  return real_of(f)->pMethods->xFileControl(real_of(f), what, arg);
}
int on_sector(sqlite3_file* f) {
  return real_of(f)->pMethods->xSectorSize(real_of(f));
}
int on_device(sqlite3_file* f) {
  return real_of(f)->pMethods->xDeviceCharacteristics(real_of(f));
}

// Version 1: no shared memory, which a database that one process holds alone does without.
const sqlite3_io_methods kMethods{1,       on_close,  on_read,  on_write,   on_truncate, on_sync,   on_size,
                                  on_lock, on_unlock, on_check, on_control, on_sector,   on_device, nullptr,
                                  nullptr, nullptr,   nullptr,  nullptr,    nullptr};

sqlite3_vfs* base_vfs() {
  return sqlite3_vfs_find(nullptr);
}

int on_open(sqlite3_vfs*, const char* name, sqlite3_file* f, int flags, int* out) {
  auto* file = reinterpret_cast<File*>(f);
  file->real = reinterpret_cast<sqlite3_file*>(file + 1);
  const int result = base_vfs()->xOpen(base_vfs(), name, file->real, flags, out);
  file->base.pMethods = result == SQLITE_OK ? &kMethods : nullptr;
  return result;
}

}  // namespace

const char* faulty_disk(const std::string& folder) {
  static sqlite3_vfs layer;
  faults_file = folder + "/faults";
  if (layer.zName == nullptr) {
    layer = *base_vfs();
    layer.zName = "faulty";
    layer.szOsFile = static_cast<int>(sizeof(File)) + base_vfs()->szOsFile;
    layer.xOpen = on_open;
    sqlite3_vfs_register(&layer, 0);
  }
  return "faulty";
}

}  // namespace woadridge::peer
#endif
