#include "duty/prober.h"

#include <algorithm>

namespace woadridge::duty {

Prober::Prober(Node& node, std::uint64_t seed)
    : node_(node),
      prefix_("probe/" + node.options().zone + "/"),
      every_(node.options().probe_workers),
      chance_(static_cast<std::uint_fast32_t>(seed % 2'147'483'646 + 1)) {}

void Prober::workers(const std::set<std::string>& ids) {
  wanted_.clear();
  for (const auto& id : ids) wanted_.insert(prefix_ + id);
  digest_ = digest_of(wanted_);
}

void Prober::tick(Micros now) {
  wake_ = INT64_MAX;
  if (every_ == 0) return;
  const bool reads_list = node_.may_act("list/" + node_.options().zone, now).has_value();
  node_.want(reads_list ? digest_ : 0);
  if (node_.take_want_all() && reads_list) {
    wire::Frame frame;
    frame.mutable_wants()->set_zone(node_.options().zone);
    for (const auto& duty : wanted_) frame.mutable_wants()->add_duties(duty);
    node_.to_leader(std::move(frame));
  }
  const auto& held = node_.holder().held();
  std::erase_if(due_, [&](const auto& d) { return !held.contains(d.first); });
  for (auto h = held.lower_bound(prefix_); h != held.end() && h->first.starts_with(prefix_); ++h) {
    const auto [due, fresh] = due_.try_emplace(h->first, 0);
    // The first ones apart: guards against a thousand probes in one instant after a hand-over.
    if (fresh) due->second = now + static_cast<Micros>(chance_()) % every_;
    if (due->second <= now) {
      due->second = now + every_;
      if (const auto number = node_.may_act(h->first, now)) {
        orders_.push_back({h->first.substr(prefix_.size()), h->first, *number});
        out_[h->first] = *number;
      }
    }
    wake_ = std::min(wake_, due->second);
  }
}

void Prober::probed(const std::string& worker, bool ok, Micros age, Micros now) {
  const std::string duty = prefix_ + worker;
  const auto out = out_.find(duty);
  if (out == out_.end()) return;
  const std::uint64_t number = out->second;
  out_.erase(out);
  // An answer that comes when the duty has gone is still true, but no longer this member's to tell.
  if (node_.may_act(duty, now) != number || !node_.accept(duty, number, node_.options().name)) return;
  wire::Frame frame;
  auto* p = frame.mutable_probe_news();
  p->set_duty(duty);
  p->set_number(number);
  p->set_worker(worker);
  p->set_ok(ok);
  p->set_age_us(static_cast<std::uint64_t>(std::max<Micros>(0, age)));
  node_.to_zone(frame);
}

void Prober::receive(const wire::Frame& frame) {
  const auto& p = frame.probe_news();
  if (!p.duty().starts_with(prefix_) || !node_.accept(p.duty(), p.number(), frame.from())) return;
  results_.push_back({p.worker(), p.ok(), static_cast<Micros>(p.age_us())});
}

}  // namespace woadridge::duty
