// The leader's side of the sessions, with voters whose frames and writes the test carries at once.
#include "duty/registrar.h"

#include <gtest/gtest.h>

#include <memory>

namespace woadridge::duty {
namespace {

class RegistrarTest : public ::testing::Test {
 protected:
  RegistrarTest() {
    for (const auto* name : {"n0", "n1", "n2"}) voters_.push_back({name, std::string(name) + ":1"});
    for (std::size_t i = 0; i < 3; ++i) {
      options_[i].name = voters_[i].name;
      options_[i].voters = voters_;
      all_[i] = std::make_unique<Consensus>(options_[i], founded(options_[i]), i + 1);
      ledgers_[i].load(founded(options_[i]).snapshot, 1);
      all_[i]->take_snapshot();
      all_[i]->voters(ledgers_[i].voters());
      all_[i]->start(now_);
    }
    registrar_ = std::make_unique<Registrar>(options_[0], ledgers_[0], *all_[0], [](const std::string& name) {
      return std::optional(name + ":1");
    });
    while (!all_[0]->serves()) step(10'000, true);
  }

  void settle(std::size_t i, Out out) {
    for (bool some = true; some;) {
      some = false;
      for (auto& w : all_[i]->take_writes()) {
        last_[i] = w.token;
        if (i != 0 && held_back_) continue;
        all_[i]->stored(w.token, true, now_, out);
        some = true;
      }
    }
    for (const auto& e : all_[i]->take_committed()) {
      ledgers_[i].apply(e);
      all_[i]->voters(ledgers_[i].voters());
      all_[i]->applied(e.index(), [this, i] { return ledgers_[i].state(); });
    }
    for (auto& s : out) {
      s.frame.set_from(options_[i].name);
      s.frame.set_run(1);
      s.frame.set_disk(all_[i]->disk());
      for (std::size_t j = 0; j < 3; ++j)
        if (s.frame.to() == options_[j].name && !s.frame.has_kept()) {
          Out back;
          all_[j]->receive(s.frame, now_, back);
          settle(j, std::move(back));
        }
      if (s.frame.has_kept()) answers_.push_back(s.frame.kept());
    }
  }
  void step(Micros span, bool only_first = false) {
    now_ += span;
    for (std::size_t i = 0; i < 3; ++i) {
      if (only_first && i != 0 && !all_[0]->leads()) continue;  // the first is to lead
      Out out;
      all_[i]->tick(now_, out);
      settle(i, std::move(out));
    }
    look();
  }
  // The others' folders are slow: rounds are answered, entries are not agreed on.
  void hold_back(bool yes) {
    held_back_ = yes;
    for (std::size_t i = 1; i < 3 && !yes; ++i) {
      Out out;
      all_[i]->stored(last_[i], true, now_, out);
      settle(i, std::move(out));
    }
    for (int i = 0; i < 3 && !yes; ++i) step(10'000);
  }
  void look() {
    Out out;
    registrar_->look(now_, out);
    settle(0, std::move(out));
  }
  void keep_alive(std::uint64_t number, const char* from = "m") {
    wire::Frame frame;
    frame.set_from(from);
    frame.set_run(7);
    auto* k = frame.mutable_keep_alive();
    k->set_number(number);
    k->set_zone("z");
    Out out;
    registrar_->receive(frame, now_, out);
    settle(0, std::move(out));
  }
  bool kept(std::uint64_t number) const {
    return std::any_of(answers_.begin(), answers_.end(),
                       [number](const auto& k) { return k.known() && k.number() == number; });
  }
  bool is_open() const { return ledgers_[0].sessions().contains({"m", 7}); }

  Micros now_ = 1'000'000;
  bool held_back_ = false;
  std::uint64_t last_[3] = {};
  std::vector<group::Voter> voters_;
  group::Options options_[3];
  Ledger ledgers_[3];
  std::unique_ptr<Consensus> all_[3];
  std::unique_ptr<Registrar> registrar_;
  std::vector<wire::Kept> answers_;
};

TEST_F(RegistrarTest, AKeepAliveIsAnsweredOnlyByARoundThatBeganAfterIt) {
  keep_alive(1);
  for (int i = 0; i < 5; ++i) step(10'000);
  ASSERT_TRUE(is_open());
  keep_alive(2);
  look();
  EXPECT_FALSE(kept(2));
  for (int i = 0; i < 30 && !kept(2); ++i) step(10'000);
  EXPECT_TRUE(kept(2));
}

// Found with 300 real processes: an entry that closed a session and opened it again, as its member had asked
// twice meanwhile, left it marked as closing. Its member was never answered again (four of 300 after a
// restart of all).
TEST_F(RegistrarTest, ASessionThatOneEntryClosesAndOpensAgainIsKeptAlive) {
  hold_back(true);
  keep_alive(1);
  look();         // its opening is on its way ...
  keep_alive(2);  // ... when it asks again, and another does
  keep_alive(1, "b");
  held_back_ = false;
  Out out;
  for (std::size_t i = 1; i < 3; ++i) {
    all_[i]->stored(last_[i], true, now_, out);
    settle(i, std::exchange(out, {}));
  }
  held_back_ = true;
  for (int i = 0; i < 50 + options_[0].lease / 10'000; ++i)
    step(10'000);  // b's opening takes longer than a lease
  ASSERT_TRUE(is_open());
  hold_back(false);
  std::uint64_t number = 10;
  for (int i = 0; i < 200 && !kept(number); ++i) {
    if (i % 10 == 0) keep_alive(++number);
    step(10'000);
  }
  EXPECT_TRUE(kept(number));
}

}  // namespace
}  // namespace woadridge::duty
