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
  void look() {
    Out out;
    registrar_->look(now_, out);
    settle(0, std::move(out));
  }
  void keep_alive(std::uint64_t number) {
    wire::Frame frame;
    frame.set_from("m");
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

}  // namespace
}  // namespace woadridge::duty
