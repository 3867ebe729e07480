// A stream of cereal frames over TCP, on one strand: four bytes of length (little endian), then the message.
// Junk closes that connection and nothing else.
#pragma once

#include <boost/asio/coroutine.hpp>
#include <cereal/archives/binary.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>

#include "net/asio.h"
#include "toolbox/settings.h"

namespace woadridge::toolbox {

using Code = net::Fault;  // an error of the system's; Fault is the layer's own
using net::Acceptor;
using net::Socket;
using net::Strand;
using net::Tcp;
using net::Timer;

template <class Message>
std::string pack(const Message& message) {
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(message);
  return std::move(out).str();
}

template <class Message>
std::optional<Message> unpack(std::string_view bytes) {  // none: not such a message
  struct View : std::streambuf {
    explicit View(std::string_view b) {
      char* at = const_cast<char*>(b.data());  // a stream buffer never writes to what it reads
      setg(at, at, at + b.size());
    }
  } view(bytes);
  std::istream in(&view);
  try {
    Message message;
    cereal::BinaryInputArchive{in}(message);
    if (in.peek() != std::istream::traits_type::eof()) return std::nullopt;
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

class Wire : public std::enable_shared_from_this<Wire> {  // one connection
 public:
  using OnFrame = std::function<void(std::string_view)>;  // the bytes are gone when it returns
  using OnEnd = std::function<void()>;                    // once; not after close()

  static std::shared_ptr<Wire> accepted(Socket socket);
  // Comes up in its own time; frames sent before wait. `silence_ms`: a peer without power ends it after so long.
  static std::shared_ptr<Wire> to(Strand strand, const Place& place, std::uint32_t silence_ms);
  void start(OnFrame on_frame, OnEnd on_end);
  void send(std::string bytes);
  template <class Message>
  void say(const Message& message) {
    send(pack(message));
  }
  void close();
  bool is_open() const { return open_; }
  std::size_t unsent() const { return unsent_; }  // bytes: a peer that does not read
  std::string peer_ip() const;

 private:
  explicit Wire(Socket socket);
  void connect(const Place& place, std::uint32_t silence_ms);
  void begin();
  void read();
  void write();
  void end();

  Socket socket_;
  Timer limit_;
  OnFrame on_frame_;
  OnEnd on_end_;
  std::string in_;
  std::deque<std::string> out_;
  std::size_t unsent_ = 0;
  bool open_ = true, connected_ = false, started_ = false, writing_ = false;
};

class Gate {  // takes connections on one place
 public:
  using OnWire = std::function<void(std::shared_ptr<Wire>)>;
  Gate(Strand strand, OnWire on_wire);
  Result<void> open(const Place& place);
  void close();

 private:
  void accept();
  Acceptor acceptor_;
  Timer again_;
  OnWire on_wire_;
};

// What a silent peer costs: sent bytes unanswered or an idle link without a sign of life for about so long end it.
void watch_for_silence(Socket& socket, std::uint32_t silence_ms);
Tcp::endpoint endpoint_of(const Place& place);

}  // namespace woadridge::toolbox
