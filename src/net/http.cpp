#include "net/http.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace woadridge::net {
namespace {

constexpr std::size_t kFirstBlock = 4096;    // bytes: holds an ordinary message whole
constexpr std::size_t kMostHeaders = 64;     // our own messages have about ten
constexpr std::size_t kChunkLine = 256;      // bytes of a chunk's size and extensions
constexpr std::size_t kMostTrailers = 4096;  // bytes

bool is_token(char c) {
  if ((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')) return true;
  return c != '\0' && std::strchr("!#$%&'*+-.^_`|~", c) != nullptr;
}

bool all_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token);
}

bool is_control(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}

std::string_view trimmed(std::string_view text) {
  const auto blank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && blank(text.back())) text.remove_suffix(1);
  return text;
}

// Whether a comma-separated header value names the option.
bool lists(std::string_view value, std::string_view option) {
  while (!value.empty()) {
    const auto comma = value.find(',');
    if (same_name(trimmed(value.substr(0, comma)), option)) return true;
    if (comma == std::string_view::npos) break;
    value.remove_prefix(comma + 1);
  }
  return false;
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

HttpReader::HttpReader(Side side, HttpLimits limits, BufferSpace* space)
    : side_(side), limits_(limits), space_(space), block_(make_block(kFirstBlock)) {}

// A first block is always had: their number is that of the connections, which has its own limit.
std::shared_ptr<std::vector<char>> HttpReader::make_block(std::size_t size) const {
  if (space_ == nullptr) return std::make_shared<std::vector<char>>(size);
  auto block = std::make_unique<std::vector<char>>(size);
  space_->take(size);
  return {block.release(), [space = space_, size](std::vector<char>* bytes) {
            space->give_back(size);
            delete bytes;
          }};
}

std::span<char> HttpReader::room() {
  if (end_ == block_->size()) compact();
  if (end_ == block_->size()) grow();
  return {block_->data() + end_, block_->size() - end_};
}

// Closes the gaps that used chunk lines and used parts of a stream have left. Never under someone's slices.
void HttpReader::compact() {
  if (state_ != State::body || block_.use_count() > 1) return;
  char* bytes = block_->data();
  const std::size_t body = body_end_ - body_begin_;
  std::memmove(bytes + head_end_, bytes + body_begin_, body);
  std::memmove(bytes + head_end_ + body, bytes + raw_, end_ - raw_);
  end_ = head_end_ + body + (end_ - raw_);
  body_begin_ = head_end_;
  body_end_ = raw_ = head_end_ + body;
}

void HttpReader::grow() {
  const std::size_t most = limits_.head + limits_.body + kChunkLine + kMostTrailers;
  if (state_ == State::complete || state_ == State::failed || block_->size() >= most) return;
  const std::size_t size = std::min(most, 2 * block_->size());
  if (space_ != nullptr && !space_->has(size)) return fail(HttpFault::no_space);
  auto wider = make_block(size);
  std::memcpy(wider->data(), block_->data(), end_);
  block_ = std::move(wider);
}

void HttpReader::arrived(std::size_t bytes) {
  end_ += bytes;
  digest();
}

void HttpReader::ended() {
  if (state_ == State::body && framing_ == Framing::until_end) state_ = State::complete;
}

void HttpReader::next() {
  while (raw().starts_with("\r\n")) raw_ += 2;  // old clients end a body so; that begins no message
  // Someone still needs the message, or it was a rare large one: what came behind it moves to a block of its
  // own.
  const bool large = block_->size() > 4 * kFirstBlock && end_ - raw_ <= kFirstBlock;
  if (block_.use_count() > 1 || large) {
    auto fresh = make_block(std::max(kFirstBlock, end_ - raw_));
    std::memcpy(fresh->data(), block_->data() + raw_, end_ - raw_);
    block_ = std::move(fresh);
  } else {
    std::memmove(block_->data(), block_->data() + raw_, end_ - raw_);
  }
  end_ -= raw_;
  begin_message();
  digest();
}

void HttpReader::begin_message() {
  raw_ = scanned_ = head_end_ = body_begin_ = body_end_ = left_ = trailer_ = 0;
  state_ = State::head;
  framing_ = Framing::none;
  chunk_ = Chunk::size;
  headers_.clear();
  status_ = 0;
  keep_alive_ = true;
}

void HttpReader::fail(HttpFault fault) {
  state_ = State::failed;
  fault_ = fault;
}

void HttpReader::digest() {
  if (state_ == State::head && !digest_head()) return;
  if (state_ != State::body) return;
  if (framing_ == Framing::chunked) return digest_chunks();
  if (framing_ == Framing::length) return digest_length();
  take_body(end_ - raw_);
}

bool HttpReader::digest_head() {
  std::size_t from = 0;
  const auto all = std::string_view(block_->data(), end_);
  while (all.substr(from, 2) == "\r\n") from += 2;  // empty lines before a message are allowed
  const auto found = all.find("\r\n\r\n", std::max(from, scanned_ < 3 ? 0 : scanned_ - 3));
  if (found == std::string_view::npos) {
    scanned_ = end_;
    if (end_ > limits_.head) fail(HttpFault::head_too_large);
    return false;
  }
  if (found + 4 > limits_.head) return fail(HttpFault::head_too_large), false;
  if (!parse_head(from, found + 2)) return fail(HttpFault::bad_message), false;
  head_end_ = raw_ = body_begin_ = body_end_ = found + 4;
  if (interim()) {
    pass_over();
    return digest_head();
  }
  state_ = State::body;
  if (!choose_framing()) {
    if (state_ != State::failed) fail(HttpFault::bad_message);
    return false;
  }
  if (framing_ == Framing::none) state_ = State::complete;
  return state_ == State::body;
}

bool HttpReader::interim() const {
  constexpr int kSwitching = 101;  // what follows it is no HTTP
  return passes_interim_ && status_ >= 100 && status_ < 200 && status_ != kSwitching;
}

void HttpReader::pass_over() {
  std::memmove(block_->data(), block_->data() + raw_, end_ - raw_);
  end_ -= raw_;
  begin_message();
}

bool HttpReader::parse_head(std::size_t from, std::size_t to) {
  bool first = true;
  while (from < to) {
    const auto line_end = std::string_view(block_->data(), to).find("\r\n", from);
    const Slice line{from, line_end - from};
    if (std::any_of(at(line).begin(), at(line).end(), is_control)) return false;
    if (first && !(side_ == Side::requests ? parse_request_line(line) : parse_status_line(line)))
      return false;
    if (!first && !parse_header(line)) return false;
    first = false;
    from = line_end + 2;
  }
  return !first;
}

bool HttpReader::parse_request_line(Slice line) {
  const auto text = at(line);
  const auto one = text.find(' ');
  const auto two = one == std::string_view::npos ? one : text.find(' ', one + 1);
  if (two == std::string_view::npos) return false;
  first_ = {line.from, one};
  second_ = {line.from + one + 1, two - one - 1};
  const auto version = text.substr(two + 1);
  keep_alive_ = version == "HTTP/1.1";
  return all_token(at(first_)) && !at(second_).empty() && (keep_alive_ || version == "HTTP/1.0");
}

bool HttpReader::parse_status_line(Slice line) {
  const auto text = at(line);
  if (!text.starts_with("HTTP/1.1 ") && !text.starts_with("HTTP/1.0 ")) return false;
  keep_alive_ = text[7] == '1';
  const auto digits = text.substr(9, 3);
  const auto [stop, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), status_);
  const bool ends = text.size() == 12 || (text.size() > 12 && text[12] == ' ');
  return fault == std::errc() && stop == digits.data() + 3 && ends && (status_ >= 200 || interim());
}

bool HttpReader::parse_header(Slice line) {
  const auto text = at(line);
  const auto colon = text.find(':');
  if (headers_.size() == kMostHeaders || colon == std::string_view::npos) return false;
  if (!all_token(text.substr(0, colon)))
    return false;  // also refuses folded lines and a blank before the colon
  const auto value = trimmed(text.substr(colon + 1));
  const auto from = static_cast<std::size_t>(value.data() - block_->data());
  headers_.push_back({{line.from, colon}, {value.empty() ? line.from : from, value.size()}});
  return true;
}

std::string_view HttpReader::header(std::string_view name) const {
  for (const auto& h : headers_)
    if (same_name(at(h.name), name)) return at(h.value);
  return {};
}

bool HttpReader::repeats(std::string_view name) const {
  const auto named = [&](const Header& h) { return same_name(at(h.name), name); };
  return std::count_if(headers_.begin(), headers_.end(), named) > 1;
}

// Two lengths, or a length and chunks, would let two readers see two different messages: refused.
bool HttpReader::choose_framing() {
  int lengths = 0;
  int codings = 0;
  for (const auto& h : headers_) {
    if (same_name(at(h.name), "Connection") && lists(at(h.value), "close")) keep_alive_ = false;
    if (same_name(at(h.name), "Content-Length")) ++lengths;
    if (same_name(at(h.name), "Transfer-Encoding")) ++codings;
  }
  if (lengths + codings > 1) return false;
  const bool empty = side_ == Side::answers && (status_ == 204 || status_ == 304);
  if (bodiless_) {
    framing_ = Framing::none;
    return true;
  }
  if (codings == 1) {
    framing_ = Framing::chunked;
    return same_name(header("Transfer-Encoding"), "chunked");
  }
  if (lengths == 1) return read_length(header("Content-Length"));
  framing_ = side_ == Side::requests || empty ? Framing::none : Framing::until_end;
  if (framing_ == Framing::until_end) keep_alive_ = false;
  return true;
}

bool HttpReader::read_length(std::string_view text) {
  std::uint64_t length = 0;
  const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), length);
  if (fault == std::errc::result_out_of_range) return fail(HttpFault::body_too_large), false;
  if (text.empty() || fault != std::errc() || stop != text.data() + text.size()) return false;
  if (length > limits_.body) return fail(HttpFault::body_too_large), false;
  framing_ = length == 0 ? Framing::none : Framing::length;
  left_ = length;
  return true;
}

void HttpReader::digest_length() {
  const std::size_t here = std::min(left_, end_ - raw_);
  left_ -= here;
  take_body(here);
  if (left_ == 0 && state_ == State::body) state_ = State::complete;
}

// Moves the next raw bytes behind the body that is there.
void HttpReader::take_body(std::size_t bytes) {
  if (bytes == 0) return;
  if (body_end_ - body_begin_ + bytes > limits_.body) return fail(HttpFault::body_too_large);
  if (raw_ != body_end_) std::memmove(block_->data() + body_end_, block_->data() + raw_, bytes);
  body_end_ += bytes;
  raw_ += bytes;
}

void HttpReader::digest_chunks() {
  bool went_on = true;
  while (went_on && state_ == State::body) {
    if (chunk_ == Chunk::size) went_on = digest_chunk_size();
    else if (chunk_ == Chunk::trailer) went_on = digest_trailer();
    else went_on = digest_chunk_data();
  }
}

bool HttpReader::take_line(std::string_view& line, std::size_t longest) {
  const auto found = raw().find("\r\n");
  if (found == std::string_view::npos ? raw().size() > longest : found > longest) {
    fail(HttpFault::bad_message);
    return false;
  }
  if (found == std::string_view::npos) return false;
  line = raw().substr(0, found);
  raw_ += found + 2;
  return true;
}

bool HttpReader::digest_chunk_size() {
  std::string_view line;
  if (!take_line(line, kChunkLine)) return false;
  const auto digits = line.substr(0, line.find(';'));
  std::uint64_t size = 0;
  const auto [stop, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
  const bool whole =
      !digits.empty() && trimmed({stop, static_cast<std::size_t>(digits.end() - stop)}).empty();
  if (fault == std::errc::result_out_of_range) return fail(HttpFault::body_too_large), false;
  if (fault != std::errc() || !whole) return fail(HttpFault::bad_message), false;
  if (size > limits_.body) return fail(HttpFault::body_too_large), false;
  left_ = size;
  chunk_ = size == 0 ? Chunk::trailer : Chunk::data;
  return true;
}

bool HttpReader::digest_chunk_data() {
  if (chunk_ == Chunk::data) {
    const std::size_t here = std::min(left_, end_ - raw_);
    take_body(here);
    left_ -= here;
    if (left_ > 0 || state_ != State::body) return false;
    chunk_ = Chunk::data_end;
  }
  if (raw().size() < 2) return false;
  if (!raw().starts_with("\r\n")) return fail(HttpFault::bad_message), false;
  raw_ += 2;
  chunk_ = Chunk::size;
  return true;
}

bool HttpReader::digest_trailer() {
  std::string_view line;
  if (!take_line(line, kMostTrailers)) return false;
  trailer_ += line.size() + 2;
  if (trailer_ > kMostTrailers) return fail(HttpFault::bad_message), false;
  if (line.empty()) state_ = State::complete;
  return !line.empty();
}

std::string_view reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Other";
  }
}

void write_header(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

void write_answer_head(std::string& out, int status, std::string_view more, std::size_t length, bool keep) {
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason(status)).append("\r\n");
  write_header(out, "Content-Length", std::to_string(length));
  if (!keep) write_header(out, "Connection", "close");
  out.append(more).append("\r\n");
}

}  // namespace woadridge::net
