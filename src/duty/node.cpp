#include "duty/node.h"

#include <algorithm>

#include "duty/planted.h"

namespace woadridge::duty {

Node::Node(const group::Options& options, std::optional<Kept> kept, Self self)
    : options_(options),
      self_(self),
      membership_(options_, self.run, self.incarnation, self.seed),
      holder_(options_, self.run, self.seed) {
  if (!options_.votes() || !kept) return;
  consensus_ = std::make_unique<Consensus>(options_, std::move(*kept), self.seed);
  registrar_ = std::make_unique<Registrar>(options_, ledger_, *consensus_,
                                           [this](const std::string& name) -> std::optional<std::string> {
                                             if (name == options_.name) return options_.address;
                                             return membership_.address_of(name);
                                           });
}

void Node::start(Micros now) {
  membership_.start(now, out_);
  holder_.start(now);
  if (consensus_) consensus_->start(now);
  settle(now);
}

void Node::to_leader(wire::Frame frame) {
  for (const auto& v : options_.voters) {
    if (v.name != holder_.leader()) continue;
    frame.set_to(v.name);
    out_.push_back({v.address, std::move(frame)});
    return;
  }
}

void Node::to_member(const std::string& name, wire::Frame frame) {
  const auto address = membership_.address_of(name);
  if (!address) return;
  frame.set_to(name);
  out_.push_back({*address, std::move(frame)});
}

void Node::to_zone(const wire::Frame& frame) {
  for (const auto& [name, m] : membership_.members())
    if (m.zone == options_.zone && membership_.is_there(name)) to_member(name, frame);
}

bool Node::accept(const std::string& duty, std::uint64_t number, const std::string& holder) {
  holder_.met(number);
  auto& highest = fences_[duty];
  const bool taken = number >= highest || planted(Planted::old_holder_taken);
  if (records_acts_) acts_.push_back({duty, number, holder, taken});
  if (!taken) ++refused_;
  highest = std::max(highest, number);
  return taken;
}

void Node::receive(const wire::Frame& frame, Micros now) {
  const bool from_here = frame.from() == options_.name && frame.run() == self_.run;
  if (frame.group() != options_.group || frame.from().empty()) {
    ++foreign_;
    return;
  }
  switch (frame.body_case()) {
    case wire::Frame::kPing:
    case wire::Frame::kPingFor:
    case wire::Frame::kAck:
    case wire::Frame::kWhole:
    case wire::Frame::BODY_NOT_SET:
      if (!from_here) membership_.receive(frame, now, out_);
      break;
    case wire::Frame::kKeepAlive:
    case wire::Frame::kWants:
      if (registrar_ && frame.to() == options_.name) registrar_->receive(frame, now, out_);
      break;
    case wire::Frame::kKept:
      if (frame.to() != options_.name) break;
      if (frame.kept().stale_name()) {
        if (consensus_) consensus_->receive(frame, now, out_);
      } else {
        holder_.receive(frame, now, out_);
      }
      break;
    case wire::Frame::kListNews:
    case wire::Frame::kListAsk:
    case wire::Frame::kProbeNews:
      if (frame.to() == options_.name) inbox_.push_back(frame);
      break;
    default:
      if (consensus_ && frame.to() == options_.name) consensus_->receive(frame, now, out_);
  }
  settle(now);
}

void Node::tick(Micros now) {
  membership_.tick(now, out_);
  if (consensus_) consensus_->tick(now, out_);
  holder_.tick(now, out_);
  settle(now);
}

void Node::stored(std::uint64_t token, bool ok, Micros now) {
  if (consensus_) consensus_->stored(token, ok, now, out_);
  settle(now);
}

void Node::leave(Micros now) {
  leaving_ = true;
  holder_.leave(now, out_);
  membership_.leave(now, out_);
  settle(now);
}

Micros Node::wake() const {
  Micros at = std::min(membership_.wake(), holder_.wake());
  if (consensus_) at = std::min(at, consensus_->wake());
  if (registrar_) at = std::min(at, registrar_->wake());
  return at;
}

std::vector<Write> Node::take_writes() {
  return consensus_ ? consensus_->take_writes() : std::vector<Write>();
}

// What one part has done may be news to another; the same order each time.
void Node::settle(Micros now) {
  if (consensus_) {
    if (const auto snapshot = consensus_->take_snapshot()) {
      ledger_.load(*snapshot, consensus_->committed());
      consensus_->voters(ledger_.voters());
    }
    for (const auto& entry : consensus_->take_committed()) {
      ledger_.apply(entry);
      consensus_->voters(ledger_.voters());
      consensus_->applied(entry.index(), [this] { return ledger_.state(); });
    }
    registrar_->look(now, out_);
    const std::string leader = consensus_->leads() ? options_.name : consensus_->leader();
    if (leader != told_leader_ && !leader.empty())
      news_.push_back("leader of the voters is " + leader + " in term " + std::to_string(consensus_->term()));
    if (!leader.empty()) told_leader_ = leader;
    if (consensus_->failed() && !std::exchange(told_failed_, true))
      news_.push_back("the folder could not be written: this voter takes no part until it is started anew");
    if (consensus_->stale() && !std::exchange(told_stale_, true))
      news_.push_back("the folder is older than what this voter has promised: it takes no part; remove " +
                      options_.folder + " and start it anew");
  }
  // A leader gives its own duties on while it still leads: only then is there somebody to take them at once.
  if (leaving_ && consensus_ && consensus_->leads() && holder_.has_left()) consensus_->step_aside(now, out_);
  if (membership_.displaced() && !holder_.has_left()) holder_.leave(now, out_);
  for (const auto& change : membership_.take_changes())
    news_.push_back("member " + change.name + " is " + group::name_of(change.to) + ": " + change.why);
  for (auto& move : holder_.take_moves()) moves_.push_back(std::move(move));
}

Out Node::take_out() {
  for (auto& sent : out_) {
    wire::Frame& f = sent.frame;
    f.set_group(options_.group);
    f.set_from(options_.name);
    f.set_run(self_.run);
    f.set_format(kFormat);
    if (consensus_) f.set_disk(consensus_->disk()), f.set_boot(consensus_->boot());
  }
  return std::exchange(out_, {});
}

}  // namespace woadridge::duty
