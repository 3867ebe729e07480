// One connection that came in: its requests one after the other, their answers, its limits of time.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "net/http.h"
#include "proxy/front.h"

namespace woadridge::proxy {

class Front::Connection : public Asker, public std::enable_shared_from_this<Connection> {
 public:
  Connection(Front& front, Door door, net::Socket socket);

  void start();
  void reply(Reply reply) override;
  void close();
  void give_up();        // the process ends: what may run elsewhere gets an answer all the same
  void close_if_idle();  // a request that is there is taken, not cut off
  void check_times(Micros now);
  bool idle() const { return !waiting_ && !writing_ && reader_.untouched(); }
  Door door() const { return door_; }
  std::list<std::shared_ptr<Connection>>::iterator place;

 private:
  const common::Limits& limits_in_force() const;
  void go_by(const common::Limits& limits);
  void read();
  void arrived();
  void watch();
  void probe();
  void lost();
  void take();
  void turn_away(int status);
  void take_request();
  void count_busy();
  void count_idle();
  void wait();
  void take_passed(CallRef call);
  void rejoin(PassNumber number, Micros until, Micros now);
  Reply may_run_elsewhere() const;
  static Reply never_read();
  PassNumber pass_number() const;
  void take_readiness();
  void fill_common(Call& call);
  int fill(Call& call);
  int fill_from_peer(Call& call);
  void write(Reply reply);
  bool has_id() const;
  void flush();
  void written();

  Front& front_;
  Door door_;
  net::Socket socket_;
  net::HttpReader reader_;
  common::Limits limits_;  // that the request goes by: in force when it began, or wider ones since
  Micros rest_limit_ = 0;  // idle time until the next request, as the client was told
  std::string out_;
  std::size_t sent_ = 0;
  std::weak_ptr<Call> call_;        // whose answer is waited for
  std::shared_ptr<PeerCall> pass_;  // that it belongs to, if a peer has passed it on
  std::size_t probed_ = 0;          // bytes of the answer's start that are out already
  std::uint64_t requests_ = 0;
  std::uint32_t granted_ = 1;
  Micros since_ = 0;  // of the first byte of the request, or of what the connection does now
  bool reading_ = false, waiting_ = false, writing_ = false, lingering_ = false;
  bool counted_busy_ = false;  // from the whole request to the last byte of its answer
  bool close_after_ = false, closed_ = false, told_on_ = false;
};

}  // namespace woadridge::proxy
