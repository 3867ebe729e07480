#include "lab/platform/command.h"

#include <algorithm>
#include <thread>

namespace woadridge::lab::platform {

Command::Command(CLI::App& app) {
  // The programs stand one folder above the lab's.
  programs_ = std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path().string();
  auto& layout = call_.layout;
  platform_ =
      app.add_subcommand("platform", "the platform's programs, with stand-ins for what is round them");
  platform_->require_subcommand(0, 1);
  chain_.jobs = static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
  platform_->add_option("FILE", chain_.file,
                        "a scenario: plays the core machines in simulated time; status 1: a rule is broken");
  platform_->add_option("--seed", chain_.seed, "of the first run")->capture_default_str();
  platform_->add_option("--runs", chain_.runs, "in place of the scenario's")->check(CLI::Range(1, 1'000'000));
  platform_->add_option("--members", chain_.members, "in place of the scenario's")->check(CLI::Range(1, 25));
  platform_->add_option("--jobs", chain_.jobs, "runs at a time")
      ->check(CLI::Range(1, 256))
      ->capture_default_str();
  platform_->add_option("--out", chain_.out, "folder for report.json");
  platform_->add_flag("--shrink", chain_.shrinks, "the first schedule that breaks a rule is shortened");
  replacements_ = platform_->add_subcommand(
      "replacements", "one loss more at each moment of a replacement, in simulated time, as a table");
  replacement_call_.jobs = chain_.jobs;
  replacements_->add_option("--seeds", replacement_call_.seeds, "runs of each cell")
      ->check(CLI::Range(1, 10'000))
      ->capture_default_str();
  replacements_->add_option("--jobs", replacement_call_.jobs, "cells at a time")
      ->check(CLI::Range(1, 256))
      ->capture_default_str();
  add_soak();
  auto* up = up_ = platform_->add_subcommand(
      "up", "start all of it on loopback, with a configuration in force; Ctrl-C ends it");
  up->add_option("--core", layout.cores, "core machines")->check(CLI::Range(1, 9))->capture_default_str();
  up->add_option("--edges", layout.edges)->check(CLI::Range(1, Layout::kMostNodes))->capture_default_str();
  up->add_option("--workers", call_.workers, "machines for instances")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  up->add_option("--worker-mb", call_.memory_mb, "memory of each")->capture_default_str();
  up->add_option("--work-ms", call_.work_ms, "how long a request runs")
      ->check(CLI::Range(0.001, 3.6e6))
      ->capture_default_str();
  up->add_option("--configuration", call_.configuration, "what the operator sends")->capture_default_str();
  up->add_option(
      "--dir", folder_,
      "settings, logs and disks; disks that are there are used again (default: a folder of its own)");
  up->add_option("--net", layout.net, "the first three parts of all addresses: two trials need two")
      ->check(CLI::Validator(
          [](const std::string& text) {
            const bool good = text.starts_with("127.") && std::count(text.begin(), text.end(), '.') == 2;
            return good ? std::string() : "expected 127.x.y, not " + text;
          },
          "127.x.y"))
      ->capture_default_str();
  up->add_option("--port", layout.port, "the first port")
      ->check(CLI::Range(1024, 32'768 - Layout::kPorts))  // below those that the system deals out by itself
      ->capture_default_str();
  up->add_option("--programs", programs_, "the folder of proxy, agent and controller")->capture_default_str();
  up->add_flag("--debug", debug_, "the programs log all that they have");
  up->add_flag("--check", call_.check,
               "send a few requests, tell how long they took, and end; status 1: a fault");
}

void Command::add_soak() {
  auto& call = soak_call_;
  auto& nodes = call.nodes;
  // As a large fleet of thin machines is told.
  nodes.lag_ms = 800, nodes.drain_ms = 5000, nodes.contact_ms = 6000, nodes.apply_ms = 5000;
  nodes.rate_per_s = 54, nodes.duty_per_s = 510;
  nodes.edge_processor = 0.12, nodes.core_processor = 0.15, nodes.edge_link_mbps = 2;
  call.layout.edges = 8;
  call.layout.net = "127.0.2";
  auto* soak = soak_ = platform_->add_subcommand(
      "soak",
      "real processes through days of troubles that are drawn from a seed; status 1: a rule is broken");
  soak->add_option("--seed", call.day.seed, "of the first run")->required();
  soak->add_option("--runs", call.runs, "each with the next seed")->check(CLI::Range(1, 10'000));
  soak->add_option_function<int>(
          "--seconds", [&call](int seconds) { call.day.length = Millis(seconds * 1000); },
          "of a run, before all processes are killed (34)")
      ->check(CLI::Range(16, 3600));
  soak->add_option("--cores", call.layout.cores, "core machines")
      ->check(CLI::Range(3, 9))
      ->capture_default_str();
  soak->add_option("--edges", call.layout.edges)->check(CLI::Range(2, 74))->capture_default_str();
  soak->add_option("--functions", call.functions)->check(CLI::Range(3, 2000))->capture_default_str();
  soak->add_option("--rate", call.requests_per_s, "requests a second")
      ->check(CLI::Range(1.0, 5000.0))
      ->capture_default_str();
  soak->add_option("--grace", nodes.grace_s, "seconds from SIGTERM to SIGKILL")
      ->check(CLI::Range(1, 60))
      ->capture_default_str();
  soak->add_flag("!--core-only", call.day.edges_suffer, "no troubles of edges before the end");
  soak->add_flag("--planned", call.day.only_planned,
                 "operators' work alone, and no loss of everything at the end");
  static const std::map<std::string, soak::Action> edge_actions = {{"kill", soak::Action::kill},
                                                                   {"terminate", soak::Action::terminate},
                                                                   {"interrupt", soak::Action::interrupt},
                                                                   {"freeze", soak::Action::freeze},
                                                                   {"reload", soak::Action::reload}};
  soak->add_option_function<std::string>(
          "--edge-trouble",
          [&call](const std::string& name) { call.day.edge_action = edge_actions.at(name); },
          "the only one that strikes edges (default: any)")
      ->check(CLI::IsMember(edge_actions));
  soak->add_option("--core-share", nodes.core_processor, "part of a core that a core machine has")
      ->check(CLI::Range(0.01, 1.0))
      ->capture_default_str();
  soak->add_flag("--quotas", call.quotas, "each process gets the part of a core that its settings name");
  soak->add_flag("--keep", call.keep, "the logs of clean runs, too");
  soak->add_option("--dir", folder_, "of the logs (default: one under /tmp)");
  soak->add_option("--net", call.layout.net, "the first three parts of all addresses")->capture_default_str();
  soak->add_option("--programs", programs_, "the folder of proxy, agent and controller")
      ->capture_default_str();
  soak->add_flag("--debug", debug_, "the programs log all that they have");
}

int Command::run(const std::atomic<bool>& stop) {
  if (soak_->parsed()) {
    soak_call_.nodes.folder = folder_;
    soak_call_.nodes.programs = programs_;
    if (debug_) soak_call_.nodes.log_level = "debug";
    return soak::run_soak(soak_call_, stop);
  }
  if (replacements_->parsed()) return sim::run_replacements(replacement_call_);
  if (!up_->parsed()) {
    if (chain_.file.empty()) throw CLI::RequiredError("platform: a scenario, or up");
    return sim::run_chain(chain_, stop);
  }
  call_.nodes.folder = folder_;
  call_.nodes.programs = programs_;
  if (debug_) call_.nodes.log_level = "debug";
  return run_trial(call_, stop);
}

}  // namespace woadridge::lab::platform
