#include "proxy/exchange.h"

#include <algorithm>
#include <charconv>

#include "proxy/call.h"

namespace woadridge::proxy {
namespace {

using net::HttpReader;

constexpr int kMostExtras = 3;  // answers of other requests that are read away before ours is given up
constexpr std::size_t kMostUnsettled = 8;  // ids remembered for one connection, which then is closed

double seconds(std::string_view text) {
  double value = 0;
  const auto [stop, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
  return bad == std::errc() && stop == text.data() + text.size() && value >= 0 ? value : 0;
}

template <typename Number>
std::optional<Number> whole(std::string_view text) {
  Number value = 0;
  const auto [stop, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || bad != std::errc() || stop != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

Exchange::Exchange(net::HttpLimits limits, net::BufferSpace* space)
    : reader_(HttpReader::Side::answers, limits, space) {
  reader_.pass_over_interim();
}

void Exchange::begin(std::string_view id, Sizes sizes, bool asks_head) {
  state_ = reusable_ ? State::waiting : State::failed;
  id_ = id;
  sizes_ = sizes;
  sent_ = 0;
  extras_ = 0;
  reader_.no_body_follows(asks_head);
}

Exchange::State Exchange::arrived(std::size_t bytes) {
  reader_.arrived(bytes);
  if (state_ == State::waiting) return digest();
  spoil();  // nobody asked
  return state_ = State::failed;
}

Exchange::State Exchange::ended() {
  spoil();
  if (state_ != State::waiting) return state_ = State::failed;
  // Only the end says that such an answer is whole, and an end comes early too.
  if (planted(Planted::truncated_is_whole)) reader_.ended();
  return state_ = reader_.state() == HttpReader::State::complete ? State::answered : State::failed;
}

Exchange::State Exchange::digest() {
  while (true) {
    if (reader_.state() == HttpReader::State::failed) return spoil(), state_ = State::failed;
    if (reader_.state() != HttpReader::State::complete) return state_;
    const auto id = reader_.header(kAttemptId);
    const bool ours = id == id_ && !reader_.repeats(kAttemptId);
    if (ours || (id.empty() && planted(Planted::matched_without_id))) return state_ = State::answered;
    if (!planted(Planted::extra_answer_kept)) spoil();
    if (id.empty() || ++extras_ > kMostExtras || !reader_.keep_alive())
      return spoil(), state_ = State::failed;
    reader_.next();
  }
}

OutboundResult Exchange::take() {
  OutboundResult end;
  end.how = OutboundResult::How::answered;
  end.status = reader_.status();
  end.named = true;
  end.sealed = !reader_.header(kSeal).empty();
  end.not_executed = !reader_.header(kNotExecuted).empty();
  end.encoded = !reader_.header("Content-Encoding").empty();
  end.retry_after_s = seconds(reader_.header("Retry-After"));
  end.never_read = !reader_.header(kNeverRead).empty();
  end.used = whole<std::uint32_t>(reader_.header(kUsed));
  end.boot = whole<std::uint64_t>(reader_.header(kBoot)).value_or(0);
  end.body = std::string(reader_.body());
  reader_.each_header([&](auto name, auto value) {
    if (goes_along(name)) net::write_header(end.head, name, value);
  });
  idle_said_ = reader_.header("Keep-Alive");
  // An early answer: what is left of the request would be read as the next one.
  if (!all_sent() || !reader_.keep_alive() || !reader_.nothing_behind()) spoil();
  if (!end.sealed || end.not_executed) unsettled_.push_back(id_);
  if (unsettled_.size() >= kMostUnsettled) spoil();
  if (reusable_) reader_.next();
  state_ = State::idle;
  return end;
}

OutboundResult::How Exchange::unanswered() const {
  const bool some = planted(Planted::partial_is_unsent) ? all_sent() : sent_ >= sizes_.head;
  return some ? OutboundResult::How::broken : OutboundResult::How::unsent;
}

bool Exchange::may_carry(std::string_view id) const {
  if (!reusable_ || state_ != State::idle) return false;
  if (planted(Planted::resent_on_the_line)) return true;
  return std::find(unsettled_.begin(), unsettled_.end(), id) == unsettled_.end();
}

}  // namespace woadridge::proxy
