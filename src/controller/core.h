// A core machine: what the members hold together (quorum), on its disk and lines; operators' calls; and the
// holder's work (duty_holder), which begins and ends with the duty.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/messages.h"
#include "common/settings.h"
#include "controller/answer_permit.h"
#include "controller/api_server.h"
#include "controller/duty_holder.h"
#include "controller/links.h"
#include "net/asio.h"
#include "quorum/member.h"
#include "quorum/store.h"

namespace woadridge::controller {

class Core {
 public:
  Core(net::Strand strand, common::Settings settings);
  common::Result<void> open();
  void reread(const common::Settings& settings);  // the file has changed
  void stop(std::function<void()> over);          // told to end: names a successor, answers what is open

  void put_configuration(const Request& request, ApiServer::Reply reply);
  void get_configuration(const Request& request, ApiServer::Reply reply);
  void replace_member(const Request& request, ApiServer::Reply reply);
  void get_status(const Request& request, ApiServer::Reply reply);

 private:
  using OnFinished = std::function<void(const quorum::Finished&)>;

  void serve(const Request& request, ApiServer::Reply reply);
  bool elsewhere(const std::string& path, const ApiServer::Reply& reply);  // answered: this machine can't
  Contact contact() const;
  std::optional<quorum::Machine> better_placed() const;  // another that can answer, as far as can be told
  Holding holding() const;
  void confirm();  // reads at a majority which configuration is in force
  void opened(quorum::Opened opened);
  void pump();
  void arm();
  void act();  // on a configuration that the holder hasn't been told yet
  void tell_holder();
  void look_over(std::function<void()> over, quorum::Micros since);
  void look_again(std::function<void()> over, quorum::Micros since);

  net::Strand strand_;
  common::Settings settings_;
  net::Timer timer_, stopping_timer_;
  quorum::Micros armed_ = 0;
  std::optional<quorum::Member> member_;
  std::optional<quorum::Store> store_;
  Links links_;
  DutyHolder duty_holder_;
  ApiServer api_server_;
  std::unordered_map<std::uint64_t, OnFinished> open_calls_;
  quorum::Bytes newest_;  // configuration in force, as far as this machine knows
  bool acted_on_ = true, holding_ = false, pumping_ = false, disk_good_ = true, stopping_ = false;
  std::uint64_t term_ = 0;
  bool confirming_ = false;
  std::uint64_t confirmed_term_ = 0;  // in which the configuration was confirmed
  common::Elsewhere told_elsewhere_;
  std::shared_ptr<const common::Plan> read_;  // the plan of the last one that was checked here
};

}  // namespace woadridge::controller
