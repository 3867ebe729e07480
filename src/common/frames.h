// A stream of cereal frames over TCP, on one strand: four bytes of length (little endian), then the message.
// Junk closes that connection and nothing else.
#pragma once

#include <cereal/archives/binary.hpp>
#include <cereal/types/common.hpp>
#include <cstring>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

#include "common/settings.h"
#include "net/asio.h"

namespace woadridge::common {

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

class Input;

}  // namespace woadridge::common

template <>  // what writes for it
struct cereal::traits::detail::get_output_from_input<woadridge::common::Input> {
  using type = cereal::BinaryOutputArchive;
};

namespace woadridge::common {

// Reads what pack() wrote. Guards against junk whose lengths ask for more memory than there is: no length is
// believed that the bytes behind it can't fill.
class Input : public cereal::InputArchive<Input, cereal::AllowEmptyClassElision> {
 public:
  explicit Input(std::string_view bytes) : InputArchive(this), left_(bytes) {}
  void loadBinary(void* to, std::size_t size) {
    if (size > left_.size()) throw cereal::Exception("cut short");
    if (size == 0) return;  // of nothing there may be no place either
    std::memcpy(to, left_.data(), size);
    left_.remove_prefix(size);
  }
  std::size_t left() const { return left_.size(); }

 private:
  std::string_view left_;
};

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(Input& in, T& value) {
  if constexpr (std::is_same_v<T, bool>) {  // other bytes than 0 and 1 would be no bool
    std::uint8_t byte = 0;
    in.loadBinary(&byte, sizeof byte);
    value = byte != 0;
  } else {
    in.loadBinary(std::addressof(value), sizeof value);
  }
}
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(Input& in, cereal::SizeTag<T>& tag) {
  in(tag.size);
  if (tag.size > in.left()) throw cereal::Exception("a length beyond the message");
}
template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(Input& in, cereal::NameValuePair<T>& pair) {
  in(pair.value);
}
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(Input& in, cereal::BinaryData<T>& data) {
  in.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

template <class Message>
std::optional<Message> unpack(std::string_view bytes) {  // none: not such a message
  Input in(bytes);
  try {
    Message message;
    in(message);
    if (in.left() > 0) return std::nullopt;
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// A message as it goes over the wire, its length before it. Shared, so that what is told to many peers takes
// the memory of one.
using Frame = std::shared_ptr<const std::string>;
Frame frame_of(std::string_view bytes);

class FrameConnection : public std::enable_shared_from_this<FrameConnection> {  // one connection
 public:
  using OnFrame = std::function<void(std::string_view)>;  // the bytes are gone when it returns
  using OnEnd = std::function<void()>;                    // once; not after close()

  static std::shared_ptr<FrameConnection> accepted(Socket socket);
  // Comes up in its own time, `connect_ms` at most; frames sent before wait. `silence_ms`: a peer without
  // power ends it after so long. 0: no limit.
  static std::shared_ptr<FrameConnection> to(Strand strand, const Endpoint& place, std::uint32_t silence_ms) {
    return to(strand, place, silence_ms, silence_ms);
  }
  static std::shared_ptr<FrameConnection> to(Strand strand, const Endpoint& place, std::uint32_t silence_ms,
                                             std::uint32_t connect_ms);
  void start(OnFrame on_frame, OnEnd on_end);
  void send(std::string_view bytes) { send(frame_of(bytes)); }
  void send(Frame frame);  // one frame may go to many connections: its bytes are held once
  template <class Message>
  void say(const Message& message) {
    send(pack(message));
  }
  void close();
  bool is_open() const { return open_; }
  std::size_t unsent() const { return unsent_; }  // bytes: a peer that does not read
  std::string peer_ip() const;

 private:
  explicit FrameConnection(Socket socket);
  void connect(const Endpoint& place, std::uint32_t silence_ms, std::uint32_t connect_ms);
  void begin();
  void read();
  void write();
  void end();

  Socket socket_;
  Timer limit_;
  OnFrame on_frame_;
  OnEnd on_end_;
  std::string in_;
  std::deque<Frame> out_;
  std::size_t sent_of_first_ = 0;  // bytes of out_.front() that are on their way
  std::size_t unsent_ = 0;
  bool open_ = true, connected_ = false, started_ = false, writing_ = false;
};

class FrameListener {  // takes connections on one place
 public:
  using OnWire = std::function<void(std::shared_ptr<FrameConnection>)>;
  FrameListener(Strand strand, OnWire on_wire);
  Result<void> open(const Endpoint& place);
  void close();

 private:
  void accept();
  Acceptor acceptor_;
  Timer again_;
  OnWire on_wire_;
};

// What a silent peer costs: sent bytes unanswered or an idle link without a sign of life for about so long
// end it.
void watch_for_silence(Socket& socket, std::uint32_t silence_ms);
Tcp::endpoint endpoint_of(const Endpoint& place);

}  // namespace woadridge::common
