// What may stand beside a dispatcher's serving, on the same strand: today the group (src/peer). None unless
// the program was asked for one by name.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/engine.h"

namespace woadridge::net {

class Companion {
 public:
  virtual ~Companion() = default;
  virtual std::string open() = 0;  // an empty text, or why it can't stand there
  virtual void moved(const Address& discovery) = 0;
  virtual void leave() = 0;  // the dispatcher was told to end: hand on what is held
  virtual bool has_left() const = 0;
  virtual void stop() = 0;
  virtual std::string status_line() = 0;  // for /status
  virtual std::string details() = 0;      // JSON
};

struct CompanionCall {
  int descriptors = 0;  // kept aside for it
  std::function<std::unique_ptr<Companion>(Strand, Engine&, const Config&)> make;
};

}  // namespace woadridge::net
