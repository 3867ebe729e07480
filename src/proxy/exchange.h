// One outgoing connection as bytes: which answer on it is whose, and whether it may be used again. No socket,
// no clock. An answer belongs to a request by its id and by the connection that the request went out on.
// Framing: RFC 9112, sections 6.3 (length of a message), 8 (incomplete messages) and 9.3.2 (no pipelining
// here); interim answers: RFC 9110, section 15.2.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "net/http.h"
#include "proxy/planted.h"

namespace woadridge::proxy {

struct OutboundResult {
  // refused: no connection, as nobody listens there: the process that did has ended;
  // unsent: not even its head was taken whole by the system, so nobody can have read it as a request;
  // broken: it may have run.
  enum class How { no_connection, refused, unsent, broken, answered };
  bool connected() const { return how != How::no_connection && how != How::refused; }
  How how = How::no_connection;
  int status = 0;
  std::string head, body;                                                     // of an answer
  bool sealed = false, not_executed = false, encoded = false, named = false;  // what its head says
  double retry_after_s = 0;
  bool never_read = false;            // a peer's word: the passing wasn't read and never will run
  std::optional<std::uint32_t> used;  // a peer's word: instances that it may have run on, in all
  std::uint64_t boot = 0;             // a peer's word: which life of its process answers; 0: not said
};

class Exchange {
 public:
  enum class State { idle, waiting, answered, failed };

  explicit Exchange(net::HttpLimits limits, net::BufferSpace* space = nullptr);

  struct Sizes {  // bytes of the request
    std::size_t head = 0;
    std::size_t whole = 0;
  };
  void begin(std::string_view id, Sizes sizes, bool asks_head);
  void sent(std::size_t bytes) { sent_ += bytes; }
  std::size_t sent() const { return sent_; }
  bool all_sent() const { return sent_ == sizes_.whole; }

  // Where the next bytes go; empty: nothing more fits.
  std::span<char> room() { return reader_.room(); }
  State arrived(std::size_t bytes);
  State ended();  // the other end has closed its side
  State state() const { return state_; }

  // The answer, once. Afterwards the exchange is idle, and only reusable() says whether for another request.
  OutboundResult take();
  bool reusable() const { return reusable_; }
  // What a request comes to whose connection is lost now.
  OutboundResult::How unanswered() const;
  // A late second copy of an earlier answer would be taken for the answer to the same request's next try.
  bool may_carry(std::string_view id) const;
  std::string_view keep_alive_header() const { return idle_said_; }

 private:
  State digest();
  void spoil() { reusable_ = false; }

  net::HttpReader reader_;
  State state_ = State::idle;
  std::string id_;
  Sizes sizes_;
  std::size_t sent_ = 0;
  int extras_ = 0;
  bool reusable_ = true;
  std::string idle_said_;
  std::vector<std::string> unsettled_;  // ids that were answered here and may be sent once more
};

}  // namespace woadridge::proxy
