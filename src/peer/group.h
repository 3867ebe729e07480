// The group beside a dispatcher: its node (src/duty), the transport and, of a voter, the folder, on the
// dispatcher's strand. Translates between them and the engine; decides nothing.
#pragma once

#include <memory>
#include <string>

#include "duty/list_share.h"
#include "duty/prober.h"
#include "net/companion.h"
#include "peer/store.h"
#include "peer/transport.h"

namespace woadridge::peer {

class Group : public net::Companion, private net::Sharing {
 public:
  static constexpr std::size_t kMostConnections =
      320;  // in each direction; operations/group.md has the sizing
  static constexpr int kDescriptors = 2 * static_cast<int>(kMostConnections) + 16;

  Group(net::Strand strand, net::Engine& engine, const net::Config& config, group::Options options);
  ~Group() override;

  std::string open() override;
  void moved(const net::Address& discovery) override;
  void leave() override;
  bool has_left() const override { return node_ == nullptr || node_->has_left(); }
  void stop() override;
  std::string status_line() override;
  std::string details() override;

 private:
  bool watches_list() override;
  void list_heard(const net::Members& news) override;
  void probed(const WorkerId& worker, Micros age, bool ok) override;

  std::string start();
  void try_again(const std::string& fault);
  void take(wire::Frame frame);
  void stored(std::uint64_t token, bool ok);
  void pump();
  void pump_once(Micros now);
  void carry_out(const duty::ProbeOrder& order);
  void tell_staff();
  void arm(Micros now);
  void sweep();
  Micros now() const { return engine_.clock().now(); }

  net::Strand strand_;
  net::Engine& engine_;
  const net::Config& config_;
  const group::Options options_;
  std::unique_ptr<Transport> transport_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<duty::Node> node_;
  std::unique_ptr<duty::ListShare> share_;
  std::unique_ptr<duty::Prober> prober_;
  net::Timer timer_, sweeper_;
  std::shared_ptr<Group*> alive_;  // what comes late from the store's thread finds nobody
  bool pumping_ = false, again_ = false;
  bool list_changed_ = false;
  bool watched_ = true;  // as the engine does by itself
  bool leaving_ = false, stopped_ = false;
  std::map<std::string, std::string> why_;  // duty: why it last came or went
};

}  // namespace woadridge::peer
