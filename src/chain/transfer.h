// Carries values between the links of the chain in bounded pieces. A message with a large value goes without
// it, as an offer that names the value's mark and size; the receiver takes the value from what it holds
// already, or asks for the pieces that it lacks, and is handed the message only when all of them are there
// and the digest is right. What was received stays under its mark when a connection breaks, and is gone on
// with from whoever offers the same mark. What is sent for a value is therefore bounded by its size, however
// often a message is repeated. No I/O, no clock.
//
// A change on its way along the chain is new to its receiver: the first pieces of it go out behind the offer,
// once to each machine for each mark, so that no round trip is lost at each link. How much may be under way
// adapts to the way there: it doubles while what was asked for comes quickly, as in TCP's slow start
// (Jacobson, "Congestion avoidance and control", 1988), and halves when it is slow.
//
// Published source: resuming by offset and checking the whole by its digest follow the chunked
// InstallSnapshot of Raft (Ongaro 2014, section 5.1).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chain/messages.h"

namespace woadridge::chain {

inline constexpr std::size_t kInlineBytes = 32 << 10;  // a value up to this size goes with its message
inline constexpr std::size_t kPieceBytes = 16 << 10;   // of a value; the last one may be shorter
inline constexpr std::size_t kLeastWindow = 64 << 10;  // asked for and not received yet: at first, and ...
inline constexpr std::size_t kMostWindow = 1 << 20;    // ... at most, of a way that is quick
inline constexpr std::size_t kLargestValue = 5 << 20;  // bytes: above the largest configuration that is taken
inline constexpr std::size_t kMostIncoming = 4;        // values under way to this machine
inline constexpr std::size_t kMostOffered = 4;         // values that others may still ask pieces of
inline constexpr std::size_t kMostDeferred = 16;       // messages that wait for one value

class Transfer {
 public:
  struct Environment {
    std::function<void(const std::string& to, Message message)> post;
    std::function<void(const std::string& from, Message& message)> deliver;  // with its value whole
    std::function<Bytes(const Mark& mark)> find;  // a value that this machine holds, else null
    std::function<void(const std::string& from, const std::string& why)> refuse;  // the sender is at fault
    std::function<Micros()> now;
  };
  explicit Transfer(Environment environment) : environment_(std::move(environment)) {}
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  // Posts the message, or an offer of it where its value is large.
  void send(const std::string& to, Message message);
  // Delivers the message at once, later, or never: of a wrong digest, or one that this machine has no room
  // for (its sender repeats it).
  void receive(const std::string& from, Message& message);
  void tick();
  Micros due() const;

  std::size_t incoming_bytes() const;  // held of values that aren't whole yet
  std::size_t incoming() const { return incoming_.size(); }
  std::uint64_t bytes_sent() const { return bytes_sent_; }  // of pieces, since the start

 private:
  struct Deferred {
    std::string from;
    std::string message;  // packed, without its value
  };
  struct Incoming {
    Mark mark;
    std::uint64_t total = 0;
    std::map<std::uint64_t, std::string> pieces;  // by offset
    std::uint64_t received = 0;                   // bytes of them
    std::uint64_t asked_to = 0;                   // an offset
    std::string source;                           // who is asked
    Micros heard = 0, ask_again = 0, patience = 0;
    std::uint64_t timed_to = 0;     // an offset: when all before it is there, the way is judged by ...
    Micros timed_from = 0;          // ... the time since then, and ...
    std::uint64_t timed_bytes = 0;  // ... how much was missing of it
    bool active = false;            // it is asked for; else another value of this source comes first
    std::vector<Deferred> deferred;
  };
  struct Offered {
    Mark mark;
    Bytes value;
    Micros used = 0;
  };

  struct Way {                           // to or from another machine
    std::size_t window = kLeastWindow;   // of what is asked of it
    std::size_t it_asks = kLeastWindow;  // at once, as its last questions show
    Mark pushed;                         // the last one whose first pieces went there unasked
  };
  std::uint64_t push_size(const std::string& to, const Mark& mark, std::uint64_t total, bool is_new);
  void post_pieces(const std::string& to, const Mark& mark, const std::string& value, std::uint64_t begin,
                   std::uint64_t end);
  void judge_way(Incoming& incoming);
  void begin_timing(Incoming& incoming);
  void receive(const std::string& from, Offer& offer);
  void receive(const std::string& from, const Need& need);
  void receive(const std::string& from, Piece& piece);
  void defer(Incoming& incoming, const std::string& from, std::string message);
  Incoming* make_room(const Offer& offer);
  Incoming* find_incoming(const Mark& mark);
  void activate(const std::string& source);
  void ask(Incoming& incoming);
  void ask_missing(Incoming& incoming);
  void complete(const Mark& mark);
  void abandon(const Mark& mark);
  void deliver(const std::string& from, const std::string& packed, const Mark& mark, const Bytes& value);
  void offer_later(const Mark& mark, Bytes value);
  Bytes offered(const Mark& mark);
  Bytes held(const Mark& mark) const;

  Environment environment_;
  std::vector<Incoming> incoming_;
  std::vector<Offered> offered_;
  std::map<std::string, Way> ways_;  // by machine
  Mark received_mark_;               // the last value that became whole: repeated offers are answered from it
  Bytes received_;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace woadridge::chain
