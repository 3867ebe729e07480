#include "chain/transfer.h"

#include <algorithm>
#include <limits>
#include <type_traits>
#include <utility>

#include "chain/planted.h"
#include "chain/replica.h"
#include "common/frames.h"

namespace woadridge::chain {
namespace {

constexpr Micros kPatience = 600'000;    // without a piece, before the missing ones are asked for again
constexpr Micros kFirstPiece = 250'000;  // ... and where they come unasked, without the first of them
constexpr Micros kLongestPatience = 4'800'000;  // it doubles: a thin link isn't filled with repetitions
constexpr Micros kSourceSilent = 1'000'000;     // then whoever else offers the same value is asked
constexpr Micros kOfferStands = 10'000'000;     // since a piece of it was last asked for
constexpr Micros kNever = std::numeric_limits<Micros>::max();
// For a whole window of pieces: quicker, and more may be under way; slower, and it must be less. On a link
// of 2 Mbit/s the least window takes a quarter of a second.
constexpr double kQuick = 200'000, kSlow = 600'000;  // microseconds

template <class M>
constexpr bool kCarries = std::is_same_v<M, Put> || std::is_same_v<M, Pass> || std::is_same_v<M, Told> ||
                          std::is_same_v<M, Sealed> || std::is_same_v<M, Stage> || std::is_same_v<M, Have>;
template <class M>
constexpr bool kIsNews = std::is_same_v<M, Put> || std::is_same_v<M, Pass>;  // its receiver lacks the value
template <class M>
constexpr bool kMayLeaveOut = std::is_same_v<M, Told> || std::is_same_v<M, Sealed>;  // the receiver has it

struct Carried {  // by a message
  const Mark* mark = nullptr;
  std::string* value = nullptr;  // null: such a message carries none
  bool may_leave_out = false;
  bool is_news = false;
};

Carried carried_by(Message& message) {
  return std::visit(
      [](auto& m) -> Carried {
        using M = std::decay_t<decltype(m)>;
        if constexpr (kCarries<M>) return {&m.mark, &m.value, kMayLeaveOut<M>, kIsNews<M>};
        else return {};
      },
      message);
}

// A message without its value, or one whose value is what its mark says.
bool intact(const Carried& carried) {
  if (carried.value == nullptr) return true;
  if (carried.value->empty() && carried.may_leave_out) return true;
  return mark_of(carried.mark->version, *carried.value) == *carried.mark || planted(Planted::any_digest);
}

std::string named(const Mark& mark) {
  return "version " + std::to_string(mark.version) + ", digest " + std::to_string(mark.digest);
}

std::uint64_t piece_size(std::uint64_t total, std::uint64_t offset) {
  return std::min<std::uint64_t>(kPieceBytes, total - offset);
}

}  // namespace

// ---- sending

void Transfer::send(const std::string& to, Message message) {
  const Carried carried = carried_by(message);
  if (carried.value == nullptr || carried.value->size() <= kInlineBytes)
    return environment_.post(to, std::move(message));
  Offer offer{*carried.mark, carried.value->size(), {}, 0};
  std::string whole = std::exchange(*carried.value, {});
  offer.message = common::pack(message);
  offer.pushed = push_size(to, offer.mark, offer.total, carried.is_news);
  Bytes value = offered(offer.mark);
  if (!value) {
    value = bytes_of(std::move(whole));
    offer_later(offer.mark, value);
  }
  const Mark mark = offer.mark;
  const std::uint64_t pushed = offer.pushed;
  environment_.post(to, std::move(offer));
  post_pieces(to, mark, *value, 0, pushed);
}

// Once for each mark: an offer that is repeated goes alone.
std::uint64_t Transfer::push_size(const std::string& to, const Mark& mark, std::uint64_t total, bool is_new) {
  Way& way = ways_[to];
  if (!is_new || way.pushed == mark) return 0;
  way.pushed = mark;
  return std::min<std::uint64_t>(total, way.it_asks / kPieceBytes * kPieceBytes);
}

void Transfer::post_pieces(const std::string& to, const Mark& mark, const std::string& value,
                           std::uint64_t begin, std::uint64_t end) {
  for (std::uint64_t offset = begin; offset < end; offset += kPieceBytes) {
    const std::uint64_t size = piece_size(value.size(), offset);
    bytes_sent_ += size;
    environment_.post(to, Piece{mark, value.size(), offset, value.substr(offset, size)});
  }
}

Bytes Transfer::offered(const Mark& mark) {
  for (auto& offered : offered_) {
    if (!(offered.mark == mark)) continue;
    offered.used = environment_.now();
    return offered.value;
  }
  return nullptr;
}

void Transfer::offer_later(const Mark& mark, Bytes value) {
  const Micros now = environment_.now();
  std::erase_if(offered_, [&](const Offered& o) { return now - o.used >= kOfferStands; });
  if (offered_.size() >= kMostOffered) {
    const auto by_use = [](const Offered& a, const Offered& b) { return a.used < b.used; };
    offered_.erase(std::min_element(offered_.begin(), offered_.end(), by_use));
  }
  offered_.push_back({mark, std::move(value), now});
}

void Transfer::receive(const std::string& from, const Need& need) {
  Bytes value = offered(need.mark);
  if (!value) {
    value = environment_.find(need.mark);
    if (value) offer_later(need.mark, value);
  }
  if (!value) return environment_.post(from, Piece{need.mark, 0, 0, {}});
  const std::uint64_t total = value->size();
  if (need.offset >= total || need.offset % kPieceBytes != 0) return;
  const std::uint64_t length = std::min<std::uint64_t>(need.length, kMostWindow);
  ways_[from].it_asks = std::max<std::size_t>(kLeastWindow, need.window);
  post_pieces(from, need.mark, *value, need.offset, std::min(total, need.offset + length));
}

// ---- receiving

void Transfer::receive(const std::string& from, Message& message) {
  if (auto* offer = std::get_if<Offer>(&message)) return receive(from, *offer);
  if (const auto* need = std::get_if<Need>(&message)) return receive(from, *need);
  if (auto* piece = std::get_if<Piece>(&message)) return receive(from, *piece);
  const Carried carried = carried_by(message);
  if (!intact(carried))
    return environment_.refuse(from, "a value of a wrong digest, " + named(*carried.mark));
  environment_.deliver(from, message);
}

Bytes Transfer::held(const Mark& mark) const {
  if (received_ && received_mark_ == mark) return received_;
  return environment_.find(mark);
}

void Transfer::receive(const std::string& from, Offer& offer) {
  if (offer.total == 0 || offer.total > kLargestValue)
    return environment_.refuse(from, "an offer of " + std::to_string(offer.total) + " bytes");
  if (const Bytes value = held(offer.mark)) return deliver(from, offer.message, offer.mark, value);
  Incoming* incoming = find_incoming(offer.mark);
  if (incoming == nullptr) incoming = make_room(offer);
  if (incoming == nullptr) return;  // it is offered again
  if (incoming->total != offer.total)
    return environment_.refuse(from, "two sizes of one value, " + named(offer.mark));
  defer(*incoming, from, std::move(offer.message));
  if (incoming->pieces.empty()) incoming->asked_to = std::max(incoming->asked_to, offer.pushed);
  const Micros now = environment_.now();
  if (incoming->source == from) {
    // It is there, so it doesn't take longer than usual any more.
    incoming->patience = kPatience;
    if (incoming->active) incoming->ask_again = std::min(incoming->ask_again, now + kPatience);
  } else if (incoming->source.empty() || now - incoming->heard >= kSourceSilent) {
    incoming->source = from;
    incoming->active = false;
    incoming->heard = now;
  }
  activate(from);
}

Transfer::Incoming* Transfer::find_incoming(const Mark& mark) {
  for (auto& incoming : incoming_)
    if (incoming.mark == mark) return &incoming;
  return nullptr;
}

// Null: all that are under way go on, and this one waits until it is offered again.
Transfer::Incoming* Transfer::make_room(const Offer& offer) {
  const Micros now = environment_.now();
  if (incoming_.size() >= kMostIncoming) {
    const auto by_silence = [](const Incoming& a, const Incoming& b) { return a.heard < b.heard; };
    const auto silent = std::min_element(incoming_.begin(), incoming_.end(), by_silence);
    if (now - silent->heard < kSourceSilent) return nullptr;
    incoming_.erase(silent);
  }
  Incoming incoming;
  incoming.mark = offer.mark;
  incoming.total = offer.total;
  incoming.heard = now;
  incoming.ask_again = kNever;
  incoming.patience = kPatience;
  incoming_.push_back(std::move(incoming));
  return &incoming_.back();
}

void Transfer::defer(Incoming& incoming, const std::string& from, std::string message) {
  auto& deferred = incoming.deferred;
  const auto same = [&](const Deferred& d) { return d.from == from && d.message == message; };
  if (std::any_of(deferred.begin(), deferred.end(), same)) return;
  if (deferred.size() >= kMostDeferred) deferred.erase(deferred.begin());
  deferred.push_back({from, std::move(message)});
}

// One value at a time from each source, the newest first: a thin link isn't shared by values of which most
// are overtaken before they are whole.
void Transfer::activate(const std::string& source) {
  Incoming* next = nullptr;
  for (auto& incoming : incoming_) {
    if (incoming.source != source) continue;
    if (incoming.active) return;
    if (next == nullptr || incoming.mark.version > next->mark.version) next = &incoming;
  }
  if (next == nullptr) return;
  next->active = true;
  next->heard = environment_.now();
  if (next->asked_to == 0 || next->received > 0) return ask_missing(*next);
  next->ask_again = next->heard + kFirstPiece;
  begin_timing(*next);
  ask(*next);
}

void Transfer::begin_timing(Incoming& incoming) {
  incoming.timed_to = incoming.asked_to;
  incoming.timed_from = environment_.now();
  incoming.timed_bytes = incoming.asked_to - std::min(incoming.asked_to, incoming.received);
}

// By how long it took until all was there that was under way when the timing began.
void Transfer::judge_way(Incoming& incoming) {
  if (incoming.timed_bytes == 0 || incoming.received < incoming.timed_to) return;
  std::size_t& window = ways_[incoming.source].window;
  const double part = static_cast<double>(incoming.timed_bytes) / static_cast<double>(window);
  const double took = static_cast<double>(environment_.now() - incoming.timed_from) / part;  // of all of it
  if (took <= kQuick) window = std::min(2 * window, kMostWindow);
  if (took >= kSlow) window = std::max(window / 2, kLeastWindow);
  begin_timing(incoming);
}

void Transfer::ask(Incoming& incoming) {
  const std::size_t window = ways_[incoming.source].window;
  const std::uint64_t outstanding = incoming.asked_to - std::min(incoming.asked_to, incoming.received);
  if (outstanding > window / 2 || incoming.asked_to >= incoming.total) return;
  const std::uint64_t room = (window - outstanding) / kPieceBytes * kPieceBytes;
  const std::uint64_t end = std::min(incoming.total, incoming.asked_to + room);
  environment_.post(incoming.source, Need{incoming.mark, incoming.asked_to, end - incoming.asked_to, window});
  incoming.asked_to = end;
}

// What didn't come, from the first gap on, a window of it.
void Transfer::ask_missing(Incoming& incoming) {
  incoming.ask_again = environment_.now() + incoming.patience;
  const std::size_t window = ways_[incoming.source].window;
  std::uint64_t left = window, begin = 0, end = 0;
  const auto post = [&] {
    if (end > begin) environment_.post(incoming.source, Need{incoming.mark, begin, end - begin, window});
  };
  for (std::uint64_t offset = 0; offset < incoming.total && left > 0; offset += kPieceBytes) {
    if (incoming.pieces.contains(offset)) continue;
    const std::uint64_t size = piece_size(incoming.total, offset);
    if (offset != end || begin == end) {
      post();
      begin = offset;
    }
    end = offset + size;
    left -= std::min(left, size);
  }
  post();
  // What was asked for beyond and hasn't come is asked for again in its turn.
  const std::uint64_t held_to =
      incoming.pieces.empty() ? 0 : incoming.pieces.rbegin()->first + incoming.pieces.rbegin()->second.size();
  incoming.asked_to = std::max(held_to, end);
  begin_timing(incoming);
}

void Transfer::receive(const std::string& from, Piece& piece) {
  Incoming* incoming = find_incoming(piece.mark);
  if (incoming == nullptr) return;
  if (piece.total == 0) {  // what came of it stays, for the next that offers it
    if (incoming->source != from) return;
    incoming->source.clear();
    incoming->active = false;
    incoming->ask_again = kNever;
    return activate(from);
  }
  const bool fits = piece.total == incoming->total && piece.offset % kPieceBytes == 0 &&
                    piece.offset < piece.total && piece.bytes.size() == piece_size(piece.total, piece.offset);
  if (!fits) return environment_.refuse(from, "a piece that fits no value, " + named(piece.mark));
  const bool last = piece.offset + piece.bytes.size() == piece.total;
  const std::uint64_t size = piece.bytes.size();
  if (!incoming->pieces.emplace(piece.offset, std::move(piece.bytes)).second) return;
  incoming->received += size;
  incoming->asked_to = std::max(incoming->asked_to, piece.offset + size);
  incoming->heard = environment_.now();
  incoming->patience = kPatience;
  judge_way(*incoming);
  if (incoming->received == incoming->total || (last && planted(Planted::partial_value)))
    return complete(piece.mark);
  if (!incoming->active) return;
  incoming->ask_again = environment_.now() + incoming->patience;
  ask(*incoming);
}

void Transfer::complete(const Mark& mark) {
  const auto at =
      std::find_if(incoming_.begin(), incoming_.end(), [&](const auto& i) { return i.mark == mark; });
  const Incoming whole = std::move(*at);
  incoming_.erase(at);
  std::string bytes;
  bytes.reserve(whole.total);
  for (const auto& [offset, piece] : whole.pieces) bytes.append(piece);
  const bool good =
      mark_of(mark.version, bytes) == mark || planted(Planted::partial_value) || planted(Planted::any_digest);
  if (!good) {
    environment_.refuse(whole.source, "the pieces of a value have a wrong digest, " + named(mark));
    return activate(whole.source);
  }
  received_mark_ = mark;
  received_ = bytes_of(std::move(bytes));
  // Whoever still wants an older one that hasn't begun says so again, and mostly names this one then.
  std::erase_if(incoming_,
                [&](const Incoming& i) { return i.mark.version < mark.version && i.pieces.empty(); });
  const Bytes value = received_;
  for (const auto& deferred : whole.deferred) deliver(deferred.from, deferred.message, mark, value);
  activate(whole.source);
}

void Transfer::deliver(const std::string& from, const std::string& packed, const Mark& mark,
                       const Bytes& value) {
  auto message = common::unpack<Message>(packed);
  const Carried carried = message ? carried_by(*message) : Carried{};
  if (carried.value == nullptr || !(*carried.mark == mark))
    return environment_.refuse(from, "an offer of a message that carries no such value");
  *carried.value = *value;
  environment_.deliver(from, *message);
}

// ---- time

void Transfer::tick() {
  const Micros now = environment_.now();
  for (auto& incoming : incoming_) {
    if (!incoming.active || now < incoming.ask_again) continue;
    incoming.patience = std::min(incoming.patience * 2, kLongestPatience);
    ask_missing(incoming);
  }
}

Micros Transfer::due() const {
  Micros at = kNever;
  for (const auto& incoming : incoming_)
    if (incoming.active) at = std::min(at, incoming.ask_again);
  return at;
}

std::size_t Transfer::incoming_bytes() const {
  std::size_t bytes = 0;
  for (const auto& incoming : incoming_) bytes += incoming.received;
  return bytes;
}

}  // namespace woadridge::chain
