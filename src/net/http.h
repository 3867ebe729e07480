// HTTP/1.1: an incremental reader whose messages are slices of its buffer, and what writes heads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "net/budget.h"

namespace woadridge::net {

struct HttpLimits {
  std::size_t head = 16 * 1024;  // bytes: ten times what our own heads take
  std::size_t body = 64 * 1024;  // bytes: the protocol's limit
};

enum class HttpFault { none, bad_message, head_too_large, body_too_large, no_space };

// Reads the messages of one connection, one at a time. The caller reads from its socket into room() and calls
// arrived(). A message's slices stay valid for as long as someone keeps held(), also once the next is read.
class HttpReader {
 public:
  enum class Side { requests, answers };
  enum class State { head, body, complete, failed };

  // `space`, if any, must outlive the reader and all that holds its messages.
  explicit HttpReader(Side side, HttpLimits limits = {}, BufferSpace* space = nullptr);

  // Empty: nothing more fits while this message is kept, or the space of all buffers is used up: it has
  // failed.
  std::span<char> room();
  void arrived(std::size_t bytes);
  void ended();  // the peer has closed: that is the end of an answer without a length
  // Answers only. Interim ones (1xx but 101) are read away: RFC 9110, section 15.2.
  void pass_over_interim() { passes_interim_ = true; }
  // Answers only. Those from now on end with their heads, as those to HEAD do: RFC 9112, section 6.3.
  void no_body_follows(bool none) { bodiless_ = none; }
  // What came before was judged by those before: nothing that has been read is judged anew.
  void change_limits(HttpLimits limits) { limits_ = limits; }
  void next();  // forgets the message that is complete, and looks at what came behind it

  State state() const { return state_; }
  HttpFault fault() const { return fault_; }
  bool untouched() const { return end_ == 0; }          // nothing of a next message has come
  bool nothing_behind() const { return raw_ == end_; }  // behind the message that is complete
  bool only_line_ends_behind() const { return raw().find_first_not_of("\r\n") == std::string_view::npos; }

  std::string_view method() const { return at(first_); }
  std::string_view target() const { return at(second_); }
  int status() const { return status_; }
  bool keep_alive() const { return keep_alive_; }
  std::string_view header(std::string_view name) const;  // empty: absent
  bool repeats(std::string_view name) const;             // there is more than one such header
  template <typename Take>
  void each_header(Take take) const {  // name, value: in their order
    for (const auto& h : headers_) take(at(h.name), at(h.value));
  }
  std::string_view body() const { return {block_->data() + body_begin_, body_end_ - body_begin_}; }
  void drop_body(std::size_t bytes) { body_begin_ += bytes; }  // of a stream, once it was used
  std::shared_ptr<const void> held() const { return block_; }

 private:
  struct Slice {  // by offset: the buffer may move while a message is coming
    std::size_t from = 0;
    std::size_t size = 0;
  };
  struct Header {
    Slice name;
    Slice value;
  };
  enum class Framing { none, length, chunked, until_end };
  enum class Chunk { size, data, data_end, trailer };

  std::string_view at(Slice s) const { return {block_->data() + s.from, s.size}; }
  std::string_view raw() const { return {block_->data() + raw_, end_ - raw_}; }
  void digest();
  void fail(HttpFault fault);
  void begin_message();
  bool digest_head();
  bool interim() const;
  void pass_over();
  bool parse_head(std::size_t from, std::size_t to);
  bool parse_request_line(Slice line);
  bool parse_status_line(Slice line);
  bool parse_header(Slice line);
  bool choose_framing();
  bool read_length(std::string_view text);
  void digest_length();
  void digest_chunks();
  bool digest_chunk_size();
  bool digest_chunk_data();
  bool digest_trailer();
  bool take_line(std::string_view& line, std::size_t longest);
  void take_body(std::size_t bytes);
  void compact();
  void grow();
  std::shared_ptr<std::vector<char>> make_block(std::size_t size) const;

  Side side_;
  HttpLimits limits_;
  BufferSpace* space_;
  std::shared_ptr<std::vector<char>> block_;
  std::size_t end_ = 0;      // of what has come
  std::size_t raw_ = 0;      // first byte not yet looked at; behind the body that was decoded in place
  std::size_t scanned_ = 0;  // how far the head's end was looked for
  std::size_t head_end_ = 0;
  std::size_t body_begin_ = 0;
  std::size_t body_end_ = 0;
  std::size_t left_ = 0;     // bytes of the body or of the chunk that are to come
  std::size_t trailer_ = 0;  // bytes of trailers seen
  State state_ = State::head;
  HttpFault fault_ = HttpFault::none;
  Framing framing_ = Framing::none;
  Chunk chunk_ = Chunk::size;
  Slice first_, second_;
  std::vector<Header> headers_;
  int status_ = 0;
  bool keep_alive_ = true;
  bool passes_interim_ = false, bodiless_ = false;
};

bool same_name(std::string_view a, std::string_view b);  // header names: letters' case does not count

std::string_view reason(int status);

// Appends a head. `more` holds whole header lines, each with its line end.
void write_answer_head(std::string& out, int status, std::string_view more, std::size_t length, bool keep);
void write_header(std::string& out, std::string_view name, std::string_view value);

}  // namespace woadridge::net
