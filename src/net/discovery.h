// The list of workers: one watch on discovery at a time, from the version that is held.
#pragma once

#include <boost/asio/coroutine.hpp>
#include <memory>
#include <string>

#include "net/asio.h"
#include "net/http.h"

namespace woadridge::net {

class DiscoveryEvents {  // implemented by the engine
 public:
  virtual ~DiscoveryEvents() = default;
  virtual void listed(Members news) = 0;
  // The call was refused, or the watch has ended or fallen silent. Unreachable: there was no connection at
  // all.
  virtual void watch_failed(bool unreachable) = 0;
};

// One call to discovery. It ends once: by failing. Until then it hands over what it is told.
class Watch : public std::enable_shared_from_this<Watch>, private boost::asio::coroutine {
 public:
  Watch(Strand strand, const Clock& clock, const Address& discovery, std::int64_t since,
        DiscoveryEvents& events);
  void start();
  void stop();  // reports nothing more
  void check_silence();
  bool ended() const { return ended_; }
  Micros heard() const { return answered_ ? heard_ : 0; }
  bool rests() const;  // it was taken up, and all that has come is told

 private:
  void run(Fault fault, std::size_t bytes);
  void digest();
  void digest_lines();
  void fail(const char* why, bool unreachable = false);
  template <typename Step>
  void guarded(Step step);

  Socket socket_;
  const Clock& clock_;
  Tcp::endpoint peer_;
  DiscoveryEvents& events_;
  HttpReader reader_;
  std::string head_;
  std::size_t sent_ = 0;
  Micros heard_ = 0;
  bool answered_ = false;
  bool ended_ = false;
};

class Discovery {
 public:
  Discovery(Strand strand, const Clock& clock, Address address, DiscoveryEvents& events);
  void watch(std::int64_t since);  // in place of an earlier watch
  void move(Address address);      // ends the watch, reports nothing; the next one goes there
  bool watching() const { return watch_ != nullptr && !watch_->ended(); }
  Micros last_heard() const { return watch_ == nullptr ? 0 : watch_->heard(); }  // 0: not yet
  // Discovery has answered, and for so long it has had nothing to tell.
  bool has_nothing_newer(Micros rest) const;
  void sweep();  // now and then: a watch that misses its beats has failed
  void stop();

 private:
  Strand strand_;
  const Clock& clock_;
  Address address_;
  DiscoveryEvents& events_;
  std::shared_ptr<Watch> watch_;
};

}  // namespace woadridge::net
