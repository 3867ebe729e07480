// The lab's own way between members: it stands at the address that the others are told, knows who sends by
// the address from which a connection comes, and does to each direction of each link what the run asks for.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "lab/random.h"
#include "net/asio.h"

namespace woadridge::lab {

struct LinkFault {
  int cut = 0;          // nothing passes; what is on its way waits, as behind a lost packet
  int silent = 0;       // connections are taken, and what comes is swallowed
  int slow = 0;         // each frame waits 50 to 800 ms
  int lossy = 0;        // a third of the frames is lost
  int repeat = 0;       // half of the frames come twice
  int reorder = 0;      // frames overtake one another
  int thin = 0;         // 8 KB a second
  int break_frame = 0;  // connections end in the middle of a frame
};

class Relay {
 public:
  // Member i listens at inner[i] and is told to the others as outer[i]; all at the same port.
  Relay(net::Strand strand, std::vector<std::string> inner, std::vector<std::string> outer,
        std::uint16_t port, std::uint64_t seed);
  ~Relay();

  std::string open();  // an empty text, or which address can't be listened on
  void stop();
  LinkFault& link(int from, int to);
  void changed();  // a link has another fault: what waited may pass
  std::uint64_t frames() const { return frames_; }

 private:
  class Way;
  class Door;

  void accepted(int to, net::Socket socket);
  int member_at(const std::string& address) const;

  net::Strand strand_;
  std::vector<std::string> inner_, outer_;
  std::uint16_t port_;
  Stream chance_;
  std::vector<LinkFault> links_;
  std::vector<std::unique_ptr<Door>> doors_;
  std::list<std::shared_ptr<Way>> ways_;
  std::uint64_t frames_ = 0;
  bool stopped_ = false;
};

}  // namespace woadridge::lab
