#include "duty/list_share.h"

#include <algorithm>

namespace woadridge::duty {
namespace {

constexpr Micros kBeatEvery = 1'000'000;  // discovery's own is 2 s; silence is judged in several of these

}  // namespace

wire::Worker to_wire(const roster::Member& m) {
  wire::Worker w;
  w.set_id(m.info.id);
  w.set_kind(m.info.kind);
  w.set_zone(m.info.zone);
  w.set_group(m.info.group);
  w.set_size(m.info.size);
  w.set_started(m.info.started);
  w.set_phase(static_cast<int>(m.info.phase));
  if (m.address) w.set_host(m.address->host), w.set_port(m.address->port);
  return w;
}

roster::Member from_wire(const wire::Worker& w) {
  roster::Member m;
  m.info.id = w.id();
  m.info.kind = w.kind();
  m.info.zone = w.zone();
  m.info.group = w.group();
  m.info.size = w.size();
  m.info.started = w.started();
  m.info.phase = static_cast<Phase>(std::clamp(w.phase(), 0, static_cast<int>(Phase::gone)));
  if (!w.host().empty()) m.address = roster::Address{w.host(), static_cast<std::uint16_t>(w.port())};
  return m;
}

ListShare::ListShare(Node& node, std::string source, std::function<roster::Members()> whole,
                     std::uint64_t seed)
    : node_(node),
      duty_("list/" + node.options().zone),
      source_(std::move(source)),
      whole_(std::move(whole)),
      chance_(static_cast<std::uint_fast32_t>(seed % 2'147'483'646 + 1)) {
  spread_ = static_cast<Micros>(chance_()) % std::max<Micros>(1, node_.options().list_spread);
}

void ListShare::moved(std::string source) {
  source_ = std::move(source);
  version_ = -1;
}

// The number is read at the act: whoever was stopped before this line tells nobody anything.
void ListShare::send(const roster::Members& news, bool whole, const std::string& to, Micros now) {
  const auto number = node_.may_act(duty_, now);
  if (!number || !node_.accept(duty_, *number, node_.options().name)) return;
  wire::Frame frame;
  auto* l = frame.mutable_list_news();
  l->set_duty(duty_);
  l->set_number(*number);
  l->set_source(source_);
  l->set_version(news.version);
  l->set_base(whole || news.whole ? -1 : version_);
  l->set_age_us(static_cast<std::uint64_t>(std::max<Micros>(0, now - discovery_heard_)));
  for (const auto& m : news.entries) *l->add_workers() = to_wire(m);
  to.empty() ? node_.to_zone(frame) : node_.to_member(to, std::move(frame));
}

void ListShare::heard(const roster::Members& news, Micros now) {
  discovery_heard_ = now;
  send(news, false, {}, now);
  version_ = news.version;
  if (watches_) heard_ = now;
  look(now);
}

void ListShare::ask(const wire::ListNews& news, const std::string& from) {
  wire::Frame frame;
  frame.mutable_list_ask()->set_duty(duty_);
  frame.mutable_list_ask()->set_number(news.number());
  node_.to_member(from, std::move(frame));
}

// By number first, then by version: what an older holder says is not taken, and of one holder nothing older
// than what is known. A drain that is told in either way stands in a list with a higher version, and is in
// force with it.
void ListShare::take(const wire::ListNews& news, const std::string& from, Micros now) {
  if (news.duty() != duty_ || news.source() != source_ || !node_.accept(duty_, news.number(), from)) return;
  heard_ = now;
  told_age_ = static_cast<Micros>(news.age_us());
  if (news.version() < version_) {
    // Discovery itself may have begun to count anew; until that is plain an older list is only an older list.
    if (lower_since_ == 0) lower_since_ = now;
    if (now - lower_since_ < node_.options().list_silence) return;
    version_ = -1;
  }
  lower_since_ = 0;
  if (news.base() >= 0 && news.base() != version_) return ask(news, from);
  if (news.version() == version_ && news.workers_size() == 0) return;
  roster::Members list;
  list.version = news.version();
  list.whole = news.base() < 0;
  for (const auto& w : news.workers()) list.entries.push_back(from_wire(w));
  version_ = news.version();
  lists_.push_back(std::move(list));
}

void ListShare::receive(const wire::Frame& frame, Micros now) {
  if (frame.has_list_news()) take(frame.list_news(), frame.from(), now);
  else if (frame.has_list_ask() && frame.list_ask().duty() == duty_ && version_ >= 0)
    send(whole_(), true, frame.from(), now);
  look(now);
}

void ListShare::tick(Micros now) {
  if (node_.may_act(duty_, now) && now >= beat_at_ && version_ >= 0) {
    beat_at_ = now + kBeatEvery;
    roster::Members nothing;
    nothing.version = version_;
    send(nothing, false, {}, now);
  }
  look(now);
}

void ListShare::look(Micros now) {
  holds_ = node_.may_act(duty_, now).has_value();
  const Micros patience = node_.options().list_silence + spread_;
  if (holds_) {
    watches_ = true;
    heard_ = std::max(heard_, discovery_heard_);
  } else if (now - heard_ >= patience) {
    watches_ = true;  // it keeps the watch until a holder is heard
  } else if (watches_ && now - heard_ < node_.options().list_silence && discovery_heard_ < heard_) {
    watches_ = false;
    spread_ = static_cast<Micros>(chance_()) % std::max<Micros>(1, node_.options().list_spread);
  }
  wake_ = holds_ ? beat_at_ : watches_ ? now + kBeatEvery : heard_ + patience;
  if (holds_ && version_ < 0) wake_ = now + kBeatEvery;
}

}  // namespace woadridge::duty
