// An agent's link with the holder of the duty: whom to dial, when to ask, and when to leave. No I/O and no
// clock: times come in, and what is to be done goes out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "agent/seek.h"

namespace woadridge::agent {

/// ms: a connection whose other machine gives no sign of life for so long, for want of power or behind a cut,
/// has ended; a process that stands still is another matter (patience).
inline constexpr std::uint32_t kConnectionSilent = 1200;
/// ms: one that hasn't come up by then hasn't a machine at its other end. The system itself answers, however
/// busy the process is; several machines in turn may be gone.
inline constexpr std::uint32_t kConnectLimit = 800;

class Link {
 public:
  enum class Act {
    nothing,
    dial,     // place(), and ask
    ask,      // on the connection that stands
    hang_up,  // the other end is silent
  };

  // `patience`: an answer that takes longer is silence.
  explicit Link(std::uint64_t seed, Millis patience = Seek::kPatience) : seek_(seed, patience) {}

  void start(Millis now, Millis wait) { dial_at_ = now + wait; }
  void seeds(const std::vector<Endpoint>& places) { seek_.seeds(places); }
  void core(const std::vector<std::string>& places) { seek_.core(places); }

  Act tick(Millis now);
  Millis due() const;  // when tick() is wanted

  void ask_now(Millis now);   // the question on the wire is superseded, as it names what has changed since
  void dial_now(Millis now);  // nothing, while a connection stands
  void news(Millis now, bool new_to_us);
  void elsewhere(Millis now, const std::string& holder);
  void stale(Millis now) { elsewhere(now, {}); }  // its term is over, and it hasn't noticed yet
  void ended(Millis now);                         // the connection has

  bool up() const { return up_; }
  bool linked() const { return up_ && linked_; }
  bool was_linked() const { return was_linked_; }  // when the last connection went down
  const Endpoint& place() const { return place_; }
  Millis dialed_at() const { return dialed_at_; }
  std::size_t known() const { return seek_.known(); }

 private:
  void asked(Millis now);
  void down(Millis now, Millis wait);

  Seek seek_;
  Endpoint place_;
  bool up_ = false, linked_ = false, was_linked_ = false,
       waits_ = false;  // waits_: for an answer; else for ask_at_
  Millis dial_at_ = 0, dialed_at_ = 0, asked_at_ = 0, ask_at_ = 0, answer_by_ = 0;
};

// Of a machine that must be in touch within `contact_ms`.
Millis patience_of(std::uint32_t contact_ms);

}  // namespace woadridge::agent
