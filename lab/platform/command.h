// The lab's command `platform`.
#pragma once

#include <CLI/CLI.hpp>
#include <atomic>

#include "lab/platform/sim/chain.h"
#include "lab/platform/soak/soak.h"
#include "lab/platform/trial.h"

namespace woadridge::lab::platform {

class Command {
 public:
  explicit Command(CLI::App& app);
  bool called() const { return platform_->parsed(); }
  int run(const std::atomic<bool>& stop);

 private:
  void add_soak();

  CLI::App *platform_, *up_, *replacements_, *soak_;
  sim::ChainCall chain_;
  sim::ReplacementsCall replacement_call_;
  TrialCall call_;
  soak::SoakCall soak_call_;
  std::string folder_, programs_;
  bool debug_ = false;
};

}  // namespace woadridge::lab::platform
