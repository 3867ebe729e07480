#include "lab/clients.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace woadridge::lab {
namespace {

template <typename Specs>
std::vector<double> cumulative(const Specs& specs) {
  std::vector<double> ends;
  double sum = 0;
  for (const auto& s : specs) ends.push_back(sum += s.share);
  for (double& e : ends) e /= sum;
  return ends;
}

int pick(const std::vector<double>& ends, double u) {
  const auto at = std::upper_bound(ends.begin(), ends.end(), u) - ends.begin();
  return static_cast<int>(std::min<std::ptrdiff_t>(at, static_cast<std::ptrdiff_t>(ends.size()) - 1));
}

// A dispatcher's part of all traffic: a Zipf law over the dispatchers.
double part_of(const Scenario& s, DispatcherId dispatcher) {
  double sum = 0;
  for (int d = 0; d < s.dispatchers; ++d) sum += std::pow(d + 1.0, -s.traffic.skew);
  return std::pow(dispatcher + 1.0, -s.traffic.skew) / sum;
}

double fleet_capacity(const Scenario& s) {  // standard cores, by the means of the kinds
  double shares = 0;
  double cores = 0;
  for (const auto& k : s.fleet.kinds) {
    shares += k.share;
    cores += k.share * k.slots * (k.speed_low + k.speed_high) / 2;
  }
  return s.fleet.workers * cores / shares;
}

}  // namespace

double rate_of(const Scenario& s) {
  if (s.traffic.rate > 0) return s.traffic.rate;
  return s.traffic.load * fleet_capacity(s) / (s.mean_work() / 1e6);
}

Clients::Clients(const Scenario& scenario, DispatcherId dispatcher, Micros begin, ClientsOut& out)
    : scenario_(scenario),
      dispatcher_(dispatcher),
      begin_(begin),
      out_(out),
      peak_factor_(peak_factor()),
      trace_next_(dispatcher),
      retry_random_(scenario.seed, "retries", dispatcher),
      keys_(scenario.seed, "keys", dispatcher),
      class_ends_(cumulative(scenario.classes)),
      tenant_ends_(cumulative(scenario.tenants)) {
  if (!scenario.traffic.trace.empty()) return;
  const double usual = rate_of(scenario) * part_of(scenario, dispatcher);
  sources_.push_back({Stream(scenario.seed, "arrivals", dispatcher), usual * peak_factor_, -1, begin,
                      begin + scenario.length});
  std::uint64_t number = 0;
  for (const auto& t : scenario.troubles) {
    ++number;
    if (t.kind != TroubleKind::flood) continue;
    const auto named = std::find_if(scenario.tenants.begin(), scenario.tenants.end(),
                                    [&](auto& tenant) { return tenant.name == t.tenant; });
    const int tenant = static_cast<int>(named - scenario.tenants.begin());
    double all = 0;
    for (const auto& other : scenario.tenants) all += other.share;
    sources_.push_back({Stream(scenario.seed, "flood", dispatcher * 1000 + number),
                        usual * (t.factor - 1) * named->share / all, tenant, begin + t.at,
                        begin + std::min(scenario.length, t.at + t.span)});
  }
  for (auto& source : sources_) plan(source, source.from);
}

double Clients::factor_at(Micros now) const {
  const Micros at = now - begin_;
  double factor = 1;
  for (const auto& s : scenario_.traffic.steps)
    if (at >= s.at) factor = s.factor;
  for (const auto& t : scenario_.troubles)
    if (t.kind == TroubleKind::burst && at >= t.at && at < t.at + t.span) factor *= t.factor;
  if (scenario_.traffic.daily_period > 0)
    factor *=
        1 + scenario_.traffic.daily_depth * std::sin(2 * std::numbers::pi * static_cast<double>(at) /
                                                     static_cast<double>(scenario_.traffic.daily_period));
  return factor;
}

double Clients::peak_factor() const {
  double peak = 1;
  for (const auto& s : scenario_.traffic.steps) peak = std::max(peak, s.factor);
  for (const auto& t : scenario_.troubles)
    if (t.kind == TroubleKind::burst) peak *= std::max(1.0, t.factor);
  return peak * (1 + std::abs(scenario_.traffic.daily_depth));
}

// A Poisson process at the peak's rate; what the moment's rate leaves out is thinned away.
void Clients::plan(Source& source, Micros after) {
  source.next = INT64_MAX;
  if (source.peak <= 0) return;
  double at = static_cast<double>(after - begin_);
  while (true) {
    at += source.random.exponential(1e6 / source.peak);
    const Micros when = begin_ + static_cast<Micros>(at);
    if (when >= source.until) return;
    if (source.tenant >= 0 || source.random.uniform() * peak_factor_ < factor_at(when)) {
      source.next = when;
      return;
    }
  }
}

Micros Clients::next() const {
  Micros at = timers_.empty() ? INT64_MAX : timers_.top().at;
  for (const auto& s : sources_) at = std::min(at, s.next);
  const auto& trace = scenario_.traffic.trace;
  if (trace_next_ < trace.size()) at = std::min(at, begin_ + trace[trace_next_].at);
  return at;
}

bool Clients::idle() const {
  return next() == INT64_MAX && waiting_.empty();
}

void Clients::advance(Micros now) {
  while (next() <= now) {
    const Micros at = next();
    if (!timers_.empty() && timers_.top().at == at) {
      const Timer timer = timers_.top();
      timers_.pop();
      if (timer.ends != 0) {
        const std::size_t index = index_of(timer.ends);
        if (!open_[index]) continue;
        out_.leave(timer.ends);
        ended(at, index, !asks_[index].taken);
      } else {
        Ask ask = asks_[timer.again - 1];
        Wish wish = wishes_[timer.again - 1];
        ++ask.number;
        send(at, ask, wish);
      }
      continue;
    }
    if (trace_next_ < scenario_.traffic.trace.size() &&
        begin_ + scenario_.traffic.trace[trace_next_].at == at) {
      const TraceRow& row = scenario_.traffic.trace[trace_next_];
      trace_next_ += static_cast<std::size_t>(scenario_.dispatchers);
      arrive(at, row);
      continue;
    }
    for (auto& s : sources_) {
      if (s.next != at) continue;
      arrive(at, s);
      plan(s, at);
      break;
    }
  }
}

void Clients::arrive(Micros now, Source& source) {
  Wish wish;
  wish.class_index = pick(class_ends_, source.random.uniform());
  wish.tenant_index = source.tenant >= 0 ? source.tenant : pick(tenant_ends_, source.random.uniform());
  wish.work =
      std::ceil(scenario_.classes[static_cast<std::size_t>(wish.class_index)].size.draw(source.random));
  wish.hint = draw_hint(source.random, wish.work, wish.class_index);
  first_try(now, wish);
}

void Clients::arrive(Micros now, const TraceRow& row) {
  Wish wish;
  wish.class_index = row.class_index;
  wish.tenant_index = row.tenant_index;
  wish.work = static_cast<double>(std::max<Micros>(1, row.work));
  if (row.hint > 0) wish.hint = row.hint;
  first_try(now, wish);
}

std::optional<Micros> Clients::draw_hint(Stream& random, double work, int class_index) {
  const TrafficSpec& t = scenario_.traffic;
  const double u = random.uniform();
  if (u < t.hint_missing) return std::nullopt;
  double about = work;
  if (u < t.hint_missing + t.hint_useless)
    about = scenario_.classes[static_cast<std::size_t>(class_index)].size.draw(random);
  if (t.hint_sigma > 0) about *= std::exp(t.hint_sigma * random.normal());
  return std::max<Micros>(1, std::llround(about));
}

void Clients::first_try(Micros due, Wish wish) {
  const ClassSettings& rules = scenario_.classes[static_cast<std::size_t>(wish.class_index)].rules;
  if (rules.effect != Effect::safe) wish.key = keys_.bits() | 1;
  Ask ask;
  ask.chain = request_id(dispatcher_, asks_.size() + waiting_.size());
  ask.dispatcher = dispatcher_;
  ask.class_index = wish.class_index;
  ask.tenant_index = wish.tenant_index;
  ask.work = wish.work;
  ask.due = due;
  send(due, ask, wish);
}

void Clients::send(Micros now, Ask ask, Wish wish) {
  if (scenario_.clients.connections > 0 &&
      open_count_ >= static_cast<std::size_t>(scenario_.clients.connections)) {
    waiting_.emplace_back(ask, wish);
    return;
  }
  const std::size_t index = asks_.size();
  const Micros patience = scenario_.classes[static_cast<std::size_t>(ask.class_index)].rules.deadline;
  const Micros first = ask.number == 0 ? now : first_asked_[index_of(ask.request)];
  ask.request = request_id(dispatcher_, index);
  if (ask.number == 0) ask.chain = ask.request;
  ask.asked = now;
  ask.deadline = now + patience;
  ask.taken = ask.killed = ask.left = false;
  ask.answers = 0;
  ask.answered = kNever;
  ask.kind = 0;
  ask.hold_off = 0;
  ask.last = true;
  wish.request = ask.request;
  wish.time_left = patience;
  wish.repeated = ask.number > 0 && scenario_.clients.marks;
  asks_.push_back(ask);
  wishes_.push_back(wish);
  open_.push_back(true);
  first_asked_.push_back(first);
  ++open_count_;
  timers_.push({ask.deadline, ++orders_, ask.request, 0});
  out_.ask(wish);
}

bool Clients::known(RequestId request) const {
  return request >> 40 == static_cast<RequestId>(dispatcher_) + 1 && index_of(request) < asks_.size();
}

const Wish* Clients::wish_of(RequestId request) const {
  return known(request) ? &wishes_[index_of(request)] : nullptr;
}

void Clients::taken(RequestId request) {
  if (known(request)) asks_[index_of(request)].taken = true;
}

void Clients::unreachable(Micros now, RequestId request) {
  if (known(request) && open_[index_of(request)]) ended(now, index_of(request), true);
}

void Clients::broken(Micros now, RequestId request, bool killed) {
  if (!known(request) || !open_[index_of(request)]) return;
  asks_[index_of(request)].killed = killed;
  ended(now, index_of(request), false);
}

void Clients::answered(Micros now, RequestId request, char kind, Micros hold_off, bool genuine) {
  if (!known(request)) return;
  const std::size_t index = index_of(request);
  Ask& ask = asks_[index];
  if (ask.answers++ > 0) return;
  ask.answered = now;
  ask.kind = kind;
  ask.hold_off = hold_off;
  ask.genuine = genuine;
  if (open_[index]) ended(now, index, kind == 'r');
}

// By the protocol a client asks again on its own only where that is harmless.
bool Clients::may_retry(Micros now, const Ask& ask, bool harmless) const {
  if (ask.number >= scenario_.clients.retries) return false;
  const ClassSettings& rules = scenario_.classes[static_cast<std::size_t>(ask.class_index)].rules;
  if (harmless || rules.effect == Effect::safe) return true;
  return rules.effect == Effect::keyed && rules.scope == Scope::all &&
         now < first_asked_[index_of(ask.request)] + rules.memory;
}

void Clients::ended(Micros now, std::size_t index, bool harmless) {
  open_[index] = false;
  --open_count_;
  Ask& ask = asks_[index];
  if (ask.kind != 's' && may_retry(now, ask, harmless)) {
    const ClientSpec& c = scenario_.clients;
    double wait = static_cast<double>(c.retry_wait) * std::pow(c.backoff, ask.number);
    if (c.heeds && ask.hold_off > 0) wait = static_cast<double>(ask.hold_off);
    wait *= 1 + c.jitter * retry_random_.uniform();
    ask.last = false;
    timers_.push({now + static_cast<Micros>(wait), ++orders_, 0, index + 1});
  }
  next_waiting(now);
}

void Clients::next_waiting(Micros now) {
  if (waiting_.empty()) return;
  const auto [ask, wish] = waiting_.front();
  waiting_.pop_front();
  send(now, ask, wish);
}

}  // namespace woadridge::lab
