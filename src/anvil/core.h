// A core machine: what the members hold together (vise), on its disk and lines; operators' calls; and the
// holder's work (foreman), which begins and ends with the duty.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "anvil/desk.h"
#include "anvil/foreman.h"
#include "anvil/links.h"
#include "net/asio.h"
#include "toolbox/messages.h"
#include "toolbox/settings.h"
#include "vise/member.h"
#include "vise/store.h"

namespace woadridge::anvil {

class Core {
 public:
  Core(net::Strand strand, toolbox::Settings settings);
  toolbox::Result<void> open();
  void reread(const toolbox::Settings& settings);  // the file has changed
  void stop(std::function<void()> over);           // told to end: names a successor, answers what is open

  void put_configuration(const Request& request, Desk::Reply reply);
  void get_configuration(const Request& request, Desk::Reply reply);
  void get_status(const Request& request, Desk::Reply reply);

 private:
  using OnFinished = std::function<void(const vise::Finished&)>;

  void serve(const Request& request, Desk::Reply reply);
  bool elsewhere(const std::string& path, const Desk::Reply& reply);  // answered: this machine can't
  void opened(vise::Opened opened);
  void pump();
  void arm();
  void act();  // on a configuration that the holder hasn't been told yet
  void tell_holder();
  void look_over(std::function<void()> over, vise::Micros since);

  net::Strand strand_;
  toolbox::Settings settings_;
  net::Timer timer_, stopping_timer_;
  vise::Micros armed_ = 0;
  std::optional<vise::Member> member_;
  std::optional<vise::Store> store_;
  Links links_;
  Foreman foreman_;
  Desk desk_;
  std::unordered_map<std::uint64_t, OnFinished> open_calls_;
  vise::Bytes newest_;  // configuration in force, as far as this machine knows
  bool acted_on_ = true, holding_ = false, pumping_ = false, disk_good_ = true, stopping_ = false;
  std::uint64_t term_ = 0;
  std::string told_holder_;
  std::shared_ptr<const toolbox::Plan> read_;  // the plan of the last one that was checked here
};

}  // namespace woadridge::anvil
