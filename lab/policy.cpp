#include "lab/policy.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace woadridge::lab {
namespace {

constexpr std::size_t kHintsKept = 1000;  // of which the central split takes its threshold, as the paper's d
constexpr std::size_t kHintsLeast = 20;
constexpr double kBigQuantile = 0.99;

class ModuleDecider : public Decider {
 public:
  explicit ModuleDecider(bool hints) : hints_(hints) {}
  void handle(Micros now, const Event& event, std::vector<Action>& out) override {
    if (const auto* a = std::get_if<Arrival>(&event); a != nullptr && !hints_) {
      Arrival plain = *a;
      plain.hint.reset();
      return module_.handle(now, plain, out);
    }
    module_.handle(now, event, out);
  }

 private:
  Dispatcher module_;
  bool hints_;
};

// What all baselines share: the books, the rules on repeats, the final answers. A policy says where to send.
class Baseline : public Decider {
 public:
  explicit Baseline(Policy policy, const Truth* truth)
      : policy_(policy), truth_(truth), random_(1, "baseline") {}

  void handle(Micros now, const Event& event, std::vector<Action>& out) override {
    now_ = now;
    out_ = &out;
    std::visit([this](const auto& e) { on(e); }, event);
    if (is_central(policy_)) serve_queue();
  }

 private:
  struct Worker {
    WorkerInfo info;
    int out = 0;     // own attempts there
    int on_way = 0;  // of these not yet known to have come
    bool big_lane = false;
  };
  struct Try {
    WorkerId worker;
    std::string zone;
    std::int64_t group = 0;
    Micros sent = 0;
    bool out = true;
    bool taken = false;
    bool never_ran = false;
  };
  struct Request {
    const ClassSettings* rules = nullptr;
    Micros deadline = 0;
    double work = 0;
    std::vector<Try> tries;
    bool queued = false;
    bool big = false;
  };

  void on(const Start& e) {
    settings_ = e.settings;
    random_ = Stream(settings_.seed, "baseline");
    requests_.clear();
    workers_.clear();
    queues_[0].clear();
    queues_[1].clear();
    if (settings_.list_mode == ListMode::asked) out_->push_back(Subscribe{});
  }
  void on(const WorkerList& e) {
    if (e.kind == ListKind::failed) {
      out_->push_back(SetTimer{now_ + 500'000, 0});
      return;
    }
    if (e.kind != ListKind::changes)
      for (auto& [id, w] : workers_) w.info.phase = Phase::gone;
    for (const auto& info : e.workers) workers_[info.id].info = info;
    order_.clear();
    for (auto& [id, w] : workers_)
      if (w.info.phase == Phase::serving) order_.push_back(&w);
    set_lanes();
  }
  void on(const Arrival& a) {
    Request& r = requests_[a.id];
    const auto found = std::find_if(settings_.classes.begin(), settings_.classes.end(),
                                    [&](auto& c) { return c.name == a.class_name; });
    r.rules = &*found;
    r.deadline = now_ + a.time_left;
    r.work = static_cast<double>(a.hint.value_or(0));
    r.big = policy_ == Policy::central_split && is_big(a.hint);
    out_->push_back(SetTimer{r.deadline - 2 * settings_.tick, a.id});
    go_on(a.id, r);
  }
  void on(const Outcome& o) {
    const auto found = requests_.find(o.id);
    Worker& w = workers_[o.worker];
    --w.out;
    if (found == requests_.end()) {
      const auto taken = late_.find({o.id, o.attempt});
      if (taken != late_.end()) late_.erase(taken);
      else --w.on_way;
      return;
    }
    Try& t = found->second.tries[static_cast<std::size_t>(o.attempt)];
    t.out = false;
    if (!t.taken) --w.on_way;
    t.never_ran =
        o.result == Result::full || o.result == Result::no_connection || o.result == Result::never_sent;
    if (o.finished) return end(o.id);
    go_on(o.id, found->second);
  }
  void on(const Taken& e) {
    const auto found = requests_.find(e.id);
    if (found == requests_.end()) return;
    Try& t = found->second.tries[static_cast<std::size_t>(e.attempt)];
    if (!std::exchange(t.taken, true)) --workers_[t.worker].on_way;
  }
  void on(const ClientLeft& e) { end(e.id); }
  void on(const Ending& e) {
    if (now_ < e.at) return;
    while (!requests_.empty()) give_up(requests_.begin()->first, requests_.begin()->second);
  }
  void on(const TimerFired& e) {
    if (e.token == 0) return out_->push_back(Subscribe{});
    const auto found = requests_.find(e.token);
    if (found != requests_.end()) give_up(e.token, found->second);
  }
  void on(const auto&) {}

  bool may_resend(const Request& r) const {
    if (static_cast<int>(r.tries.size()) >= settings_.max_attempts) return false;
    const Try* first = may_have_run(r);
    if (first == nullptr || r.rules->effect == Effect::safe) return true;
    return r.rules->effect == Effect::keyed && now_ < first->sent + r.rules->memory - settings_.tick;
  }
  static const Try* may_have_run(const Request& r) {
    const auto found = std::find_if(r.tries.begin(), r.tries.end(), [](auto& t) { return !t.never_ran; });
    return found == r.tries.end() ? nullptr : &*found;
  }
  bool fits(const Request& r, const Worker& w) const {
    const Try* first = may_have_run(r);
    if (first == nullptr || r.rules->effect != Effect::keyed || r.rules->scope == Scope::all) return true;
    return w.info.zone == first->zone && (r.rules->scope == Scope::zone || w.info.group == first->group);
  }

  void go_on(RequestId id, Request& r) {
    if (!may_resend(r)) return give_up(id, r);
    if (is_central(policy_)) {
      r.queued = true;
      queues_[r.big].push_back(id);
      return;
    }
    Worker* w = choose(r);
    if (w == nullptr) return give_up(id, r);
    send(id, r, *w);
  }

  void send(RequestId id, Request& r, Worker& w) {
    r.tries.push_back({w.info.id, w.info.zone, w.info.group, now_});
    ++w.out;
    ++w.on_way;
    out_->push_back(Send{id, w.info.id, 0});
  }

  void give_up(RequestId id, Request& r) {
    const bool harmless = r.rules->effect == Effect::safe || may_have_run(r) == nullptr ||
                          (r.rules->effect == Effect::keyed && r.rules->scope == Scope::all);
    if (harmless) out_->push_back(Refuse{id, 0});
    else out_->push_back(Fail{id});
    end(id);
  }

  void end(RequestId id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    for (std::size_t i = 0; i < found->second.tries.size(); ++i) {
      const Try& t = found->second.tries[i];
      if (!t.out) continue;
      if (t.taken) late_.insert({id, static_cast<int>(i)});
      out_->push_back(Cancel{id, static_cast<int>(i)});
    }
    if (found->second.queued) std::erase(queues_[found->second.big], id);
    requests_.erase(found);
  }

  Worker* choose(const Request& r) {
    std::vector<Worker*> fit;
    for (Worker* w : order_)
      if (fits(r, *w)) fit.push_back(w);
    if (fit.empty()) return nullptr;
    if (policy_ == Policy::random) return fit[random_.below(fit.size())];
    if (policy_ == Policy::round_robin) return fit[turn_++ % fit.size()];
    if (policy_ == Policy::least_of_two) {
      Worker* one = fit[random_.below(fit.size())];
      Worker* two = fit[random_.below(fit.size())];
      return one->out <= two->out ? one : two;
    }
    Worker* least = nullptr;  // ties by chance: the first in the list would get all of a calm hour
    std::size_t ties = 0;
    for (Worker* w : fit) {
      if (least == nullptr || w->out < least->out) {
        least = w;
        ties = 1;
      } else if (w->out == least->out && random_.below(++ties) == 0) {
        least = w;
      }
    }
    return least;
  }

  // ---- one queue that sees all ----
  void serve_queue() {
    for (const bool big : {true, false}) {
      std::size_t looked = 0;
      auto& queue = queues_[big];
      while (looked < queue.size()) {
        const RequestId id = queue[looked];
        Request& r = requests_.at(id);
        Worker* w = central_choice(r);
        if (w == nullptr && may_have_run(r) == nullptr) break;  // in order; only tied repeats are passed over
        if (w == nullptr) {
          ++looked;
          continue;
        }
        queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(looked));
        r.queued = false;
        send(id, r, *w);
      }
    }
    if (queues_[0].empty() && queues_[1].empty()) return;
    if (now_ < poll_at_) return;  // a slot that comes free without a word of ours is seen at the next look
    poll_at_ = now_ + kLook;
    out_->push_back(SetTimer{poll_at_, kLookToken});
  }

  Worker* central_choice(const Request& r) {
    Worker* best = nullptr;
    double top = 0;
    for (Worker* w : order_) {
      if (!fits(r, *w) || !lane_allows(r, *w)) continue;
      if (truth_->free_slots(w->info.id) - w->on_way <= 0) continue;
      const double speed = truth_->speed(w->info.id);
      if (speed > top) best = w, top = speed;
    }
    return best;
  }

  bool lane_allows(const Request& r, const Worker& w) const {
    if (policy_ != Policy::central_split || !split_ || r.big == w.big_lane) return true;
    return !r.big && queues_[1].empty();  // small jobs may use what no big job waits for
  }

  bool is_big(std::optional<Micros> hint) {
    if (!hint) return false;
    hints_.push_back(static_cast<double>(*hint));
    if (hints_.size() > kHintsKept) hints_.pop_front();
    if (hints_.size() >= kHintsLeast && hints_.size() % 16 == 0) {
      std::vector<double> sorted(hints_.begin(), hints_.end());
      std::sort(sorted.begin(), sorted.end());
      threshold_ = sorted[static_cast<std::size_t>(kBigQuantile * static_cast<double>(sorted.size() - 1))];
      double all = 0, above = 0;
      for (const double h : sorted) all += h, above += h > threshold_ ? h : 0;
      big_share_ = above / all;
      set_lanes();
    }
    return threshold_ > 0 && static_cast<double>(*hint) > threshold_;
  }

  void set_lanes() {
    double total = 0, taken = 0;
    for (const Worker* w : order_) total += w->info.size;
    split_ = threshold_ > 0 && order_.size() > 1;
    for (std::size_t i = 0; i < order_.size(); ++i) {
      order_[i]->big_lane = split_ && i + 1 < order_.size() && (i == 0 || taken < big_share_ * total);
      if (order_[i]->big_lane) taken += order_[i]->info.size;
    }
  }

  static constexpr Micros kLook = 1'000;
  static constexpr std::uint64_t kLookToken = ~std::uint64_t{0};

  Policy policy_;
  const Truth* truth_;
  Stream random_;
  Settings settings_;
  Micros now_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::map<WorkerId, Worker> workers_;
  std::vector<Worker*> order_;
  std::map<RequestId, Request> requests_;
  std::set<std::pair<RequestId, int>> late_;  // taken attempts of ended requests
  std::deque<RequestId> queues_[2];           // small, big
  std::deque<double> hints_;
  double threshold_ = 0, big_share_ = 0;
  bool split_ = false;
  std::size_t turn_ = 0;
  Micros poll_at_ = 0;
};

}  // namespace

std::unique_ptr<Decider> make_decider(Policy policy, const Truth* truth) {
  if (policy == Policy::module || policy == Policy::unhinted)
    return std::make_unique<ModuleDecider>(policy == Policy::module);
  return std::make_unique<Baseline>(policy, truth);
}

}  // namespace woadridge::lab
