// The voter's folder, and the program's arguments, on real files and real processes.
#include "peer/store.h"

#include <gtest/gtest.h>
#include <sqlite3.h>

#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <limits>
#include <mutex>

#include "../net_rig.h"
#include "lab/process.h"

namespace woadridge::peer {
namespace {

class StoreTest : public ::testing::Test {
 protected:
  StoreTest() {
    options_.name = "n0";
    options_.folder = scratch_.path() + "/folder";
    for (const auto* name : {"n0", "n1", "n2"}) options_.voters.push_back({name, std::string(name) + ":1"});
  }
  std::variant<std::unique_ptr<Store>, std::string> open() {
    return Store::open(options_.folder, [this](std::uint64_t token, bool ok) {
      const std::lock_guard lock(guard_);
      done_ = token;
      ok_ = ok;
      told_.notify_all();
    });
  }
  std::unique_ptr<Store> good() { return std::move(std::get<std::unique_ptr<Store>>(open())); }
  std::string fault() { return std::get<std::string>(open()); }
  void write(Store& store, duty::Write w) {
    const std::uint64_t token = w.token;
    store.write({std::move(w)});
    std::unique_lock lock(guard_);
    ASSERT_TRUE(told_.wait_for(lock, std::chrono::seconds(20), [&] { return done_ == token; }));
    ASSERT_TRUE(ok_);
  }
  static duty::Write entries(std::uint64_t token, std::uint64_t from, std::uint64_t to) {
    duty::Write w;
    w.token = token;
    w.term = token;
    w.vote = "n1";
    for (; from <= to; ++from) {
      wire::LogEntry e;
      e.set_index(from);
      e.set_term(token);
      e.set_data(std::string(1, '\0') + "data");
      w.entries.push_back(e);
    }
    return w;
  }

  net::test::Scratch scratch_;
  group::Options options_;
  std::mutex guard_;
  std::condition_variable told_;
  std::uint64_t done_ = 0;
  bool ok_ = false;
};

TEST_F(StoreTest, WhatWasWrittenIsThereAtTheNextStart) {
  ASSERT_EQ(found_folder(options_), "");
  {
    const auto store = good();
    EXPECT_EQ(store->kept().boot, 1u);
    EXPECT_EQ(store->kept().disk, duty::founding_disk(options_.group, "n0"));
    write(*store, entries(1, 2, 5));
    duty::Write cut = entries(2, 4, 4);
    cut.cut_from = 4;
    write(*store, cut);
  }
  const auto store = good();
  EXPECT_EQ(store->kept().boot, 2u);
  EXPECT_EQ(store->kept().term, 2u);
  EXPECT_EQ(store->kept().vote, "n1");
  ASSERT_EQ(store->kept().entries.size(), 3u);
  EXPECT_EQ(store->kept().entries.back().index(), 4u);
  EXPECT_EQ(store->kept().entries.back().term(), 2u);
  EXPECT_EQ(store->kept().entries.back().data(), std::string(1, '\0') + "data");
}

TEST_F(StoreTest, ABlankFolderIsNobodyThatWasKnown) {
  const auto store = good();
  EXPECT_NE(store->kept().disk, duty::founding_disk(options_.group, "n0"));
  EXPECT_TRUE(store->kept().snapshot.empty());
}

TEST_F(StoreTest, AFolderThatIsFoundedIsNotFoundedAgain) {
  ASSERT_EQ(found_folder(options_), "");
  EXPECT_EQ(found_folder(options_), "folder " + options_.folder + ": is there already");
}

// Found by the simulation (seed 5391): an older copy of a voter's folder, put back while the group was in two
// halves, voted a second time in one term.
TEST_F(StoreTest, AFolderPutBackFromACopyBeginsAnewAndIsNobodyThatWasKnown) {
  ASSERT_EQ(found_folder(options_), "");
  { write(*good(), entries(1, 2, 5)); }
  std::filesystem::copy(options_.folder, options_.folder + "-copy", std::filesystem::copy_options::recursive);
  std::filesystem::remove_all(options_.folder);
  std::filesystem::copy(options_.folder + "-copy", options_.folder, std::filesystem::copy_options::recursive);
  std::uint64_t drawn = 0;
  {
    const auto store = good();
    EXPECT_TRUE(store->was_copy());
    EXPECT_NE(store->kept().disk, duty::founding_disk(options_.group, "n0"));
    EXPECT_TRUE(store->kept().snapshot.empty());
    EXPECT_TRUE(store->kept().entries.empty());
    drawn = store->kept().disk;
  }
  const auto store = good();  // and from then on it is who it has become
  EXPECT_FALSE(store->was_copy());
  EXPECT_EQ(store->kept().disk, drawn);
}

TEST_F(StoreTest, AFolderInUseIsToldInASentence) {
  const auto store = good();
  EXPECT_EQ(fault(), "folder " + options_.folder + ": in use by another process");
}

TEST_F(StoreTest, ANewerFormatIsNotTouched) {
  good().reset();
  sqlite3* db = nullptr;
  sqlite3_open((options_.folder + "/group.db").c_str(), &db);
  sqlite3_exec(db, "PRAGMA user_version=9", nullptr, nullptr, nullptr);
  sqlite3_close(db);
  EXPECT_EQ(fault(), "folder " + options_.folder + ": its format 9 is newer than this program's");
}

TEST_F(StoreTest, DamageIsToldAndNotServed) {
  ASSERT_EQ(found_folder(options_), "");
  {
    const auto store = good();
    write(*store, entries(1, 2, 400));
  }
  std::fstream file(options_.folder + "/group.db", std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(4096 + 8);
  file << std::string(2'000, 'x');
  file.close();
  EXPECT_TRUE(fault().starts_with("folder " + options_.folder + ": ")) << "served from a damaged folder";
}

TEST_F(StoreTest, ALogWithAGapIsDamaged) {
  ASSERT_EQ(found_folder(options_), "");
  {
    const auto store = good();
    write(*store, entries(1, 2, 6));
  }
  sqlite3* db = nullptr;
  sqlite3_open((options_.folder + "/group.db").c_str(), &db);
  sqlite3_exec(db, "DELETE FROM log WHERE place=4", nullptr, nullptr, nullptr);
  sqlite3_close(db);
  EXPECT_EQ(fault(), "folder " + options_.folder + ": damaged: its log has a gap");
}

class OffTest : public ::testing::Test {
 protected:
  // What the program says and its status, for arguments with which it does not come up.
  std::string says(const std::vector<std::string>& words, const std::string& config) {
    lab::Process p;
    const std::string log = scratch_.path() + "/said";
    std::filesystem::remove(log);
    p.start(WOADRIDGE_PROGRAM, config, log, words);
    while (p.running()) std::this_thread::sleep_for(std::chrono::milliseconds(2));
    std::ifstream file(log);
    return std::string((std::istreambuf_iterator<char>(file)), {});
  }
  std::string config(const net::Address& listen, const std::string& limits) {
    const std::string path = scratch_.path() + "/config.json";
    std::ofstream(path)
        << R"({"name":"n0","listen":")" << net::to_text(listen)
        << R"(","discovery":"127.0.0.1:9","seed":"7","limits":{"sockets":400},"settings":{)"
        << R"("tick":2000,"fleet-size":1,"az":"a","membership-mode":"ask","grades":[{"name":)"
        << R"("safe","effect":"repeatable","target":9000000,"hard-limit":3000000}],"limits":{)"
        << R"("dial-timeout":2000000,"max-attempts":3)" << limits << R"(},"obligations":{)"
        << R"("drain-grace":1000000,"cold-from":1.0,"warm-after":0,"overload-factor":0,)"
        << R"("overload-for":0}},"known":{"index":1,"snapshot":true,"endpoints":[{"name":"w",)"
        << R"("address":"127.0.0.1:9","status":"ready"}]}})";
    return path;
  }
  std::string group_file() {
    const std::string path = scratch_.path() + "/group.toml";
    std::ofstream file(path);
    file << "name = \"n9\"\nzone = \"a\"\nmachine = \"m\"\nlisten = \"127.0.0.1:" << lab::free_port()
         << "\"\n";
    for (const auto* name : {"n0", "n1", "n2"})
      file << "[[voters]]\nname = \"" << name << "\"\naddress = \"127.0.0.1:" << lab::free_port() << "\"\n";
    return path;
  }
  std::set<std::string> files() {
    std::set<std::string> names;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(scratch_.path()))
      names.insert(entry.path().filename());
    return names;
  }
  int descriptors_when_serving(const std::vector<std::string>& words, int& threads) {
    const net::Address listen{"127.0.0.1", lab::free_port()};
    ::setenv("TMPDIR", scratch_.path().c_str(), 1);
    lab::Process p;
    p.start(WOADRIDGE_PROGRAM, config(listen, R"(,"peers":true)"), scratch_.path() + "/said", words);
    ::unsetenv("TMPDIR");
    for (int i = 0; i < 2'000 && !lab::healthy(listen); ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    // Connections of the health calls may still be open: its own descriptors are there at every look.
    int fewest = std::numeric_limits<int>::max();
    for (int i = 0; i < 20; ++i) {
      double cpu = 0, memory = 0;
      int descriptors = 0;
      EXPECT_TRUE(p.look(cpu, memory, descriptors));
      fewest = std::min(fewest, descriptors);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    threads = p.threads();
    return fewest;
  }
  net::test::Scratch scratch_;
};

// Off is off: a group's file that lies there, or a variable of that name, changes nothing; there is one
// thread, no further descriptor and no file. With the argument the very same look shows the difference.
TEST_F(OffTest, WithoutTheArgumentThereIsNoSocketThreadOrFileOfIt) {
  const std::string file = group_file();
  ::setenv("WOADRIDGE_GROUP", file.c_str(), 1);
  int threads = 0, with_threads = 0;
  const auto before = [&] {
    int ignored = 0;
    return descriptors_when_serving({}, ignored);
  }();
  const auto there = files();
  const int off = descriptors_when_serving({}, threads);
  EXPECT_EQ(off, before);
  EXPECT_EQ(threads, 1);
  EXPECT_EQ(files(), there);
  const int on = descriptors_when_serving({"--group", file}, with_threads);
  EXPECT_GT(on, off);
  ::unsetenv("WOADRIDGE_GROUP");
}

TEST_F(OffTest, WhereThePlatformForbidsTrafficBetweenDispatchersTheArgumentIsRefused) {
  const std::string path = config({"127.0.0.1", lab::free_port()}, R"(,"peers":false)");
  EXPECT_EQ(says({"--group", group_file()}, path),
            "woadridge: --group: " + path +
                " does not allow traffic between dispatchers (settings.limits.peers)\n");
}

TEST_F(OffTest, AGroupsFileAtFaultIsToldInOneLine) {
  EXPECT_EQ(says({"--group", "/nowhere/g.toml"}, "x"), "woadridge: /nowhere/g.toml: cannot be read\n");
  EXPECT_EQ(says({"group", "found", "--group", group_file()}, "x"),
            "woadridge: n9 is none of the voters: it needs no folder\n");
}

}  // namespace
}  // namespace woadridge::peer
