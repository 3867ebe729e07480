#include "lab/platform/instances.h"

#include <charconv>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "text.h"

namespace woadridge::lab::platform {
namespace {

constexpr int kIdleS = 5;  // a kept connection is closed then

Micros deadline_of(const std::string& text) {  // kNever: none is named
  std::int64_t ms = 0;
  const char* end = text.data() + text.size();
  const auto [stop, bad] = std::from_chars(text.data(), end, ms);
  return text.empty() || bad != std::errc() || stop != end || ms < 0 ? kNever : ms * 1000;
}

}  // namespace

std::string seal_of(const std::string& instance, const std::string& attempt, const std::string& body) {
  char text[64];
  std::snprintf(text, sizeof text, "%08llx.%zu.%016llx",
                static_cast<unsigned long long>(fnv1a(attempt) & 0xffffffffULL), body.size(),
                static_cast<unsigned long long>(fnv1a(body, fnv1a(attempt, fnv1a(instance)))));
  return instance + "." + text;
}

class Instances::Instance : public std::enable_shared_from_this<Instance> {
 public:
  Instance(Instances& owner, const Life& life, std::size_t most_conns)
      : owner_(owner),
        id_(life.id),
        service_(life.service),
        capacity_(life.capacity),
        work_(owner.work_for(life.service)),
        start_(owner.strand_),
        door_(owner.strand_, endpoint_at(life.address), Door::Policy{most_conns, kIdleS},
              [this](const Door::VisitRef& visit) { take(visit); }) {}

  void begin(Micros in) {
    start_.expires_after(std::chrono::microseconds(in));
    start_.async_wait([self = shared_from_this()](net::Fault stopped) {
      if (!stopped && !self->leaving_) self->open();
    });
  }

  void stop() {
    if (std::exchange(leaving_, true)) return;
    start_.cancel();
    door_.leave();
    look();
  }

  void drop() {
    leaving_ = dropped_ = true;
    start_.cancel();
    door_.drop();
  }

  bool listens() const { return open_ && !leaving_; }

  void strike(InstanceTrouble trouble, Micros lasts) {
    if (trouble == InstanceTrouble::reset) door_.reset();
    if (trouble == InstanceTrouble::hold_back) door_.hold_back(std::chrono::microseconds(lasts));
    if (trouble != InstanceTrouble::crash) return;
    leaving_ = dropped_ = true;
    door_.reset();
    door_.drop();
  }

 private:
  void open() {
    open_ = true;
    try {
      door_.open();
    } catch (const std::runtime_error& fault) {
      std::cerr << "instance " << id_ << " of " << service_ << " can't listen: " << fault.what() << "\n";
    }
  }

  void take(const Door::VisitRef& visit) {
    const std::string attempt = visit->header(kAttemptId);
    const std::string target = visit->header(kTargetInstance);
    std::string lines;
    if (!attempt.empty()) net::write_header(lines, kAttemptId, attempt);
    const auto turn_away = [&](int status, const char* why) {
      net::write_header(lines, kNotExecuted, why);
      visit->answer(status, lines, std::string(why) + "\n");
    };
    if (attempt.empty()) return turn_away(400, "no attempt id");
    if (!target.empty() && target != id_) {
      arrived(visit, attempt, Arrival::Kind::misdirected);
      ++owner_.deeds_.misdirected;
      return turn_away(421, "another instance");
    }
    if (busy_ >= capacity_) {
      arrived(visit, attempt, Arrival::Kind::full);
      ++owner_.deeds_.full;
      return turn_away(503, "full");
    }
    run(visit, attempt, lines);
  }

  void arrived(const Door::VisitRef& visit, const std::string& attempt, Arrival::Kind kind) const {
    if (!owner_.on_arrival_) return;
    owner_.on_arrival_({attempt, id_, service_, visit->target(), owner_.clock_.now(), kind});
  }

  void run(const Door::VisitRef& visit, const std::string& attempt, const std::string& lines) {
    arrived(visit, attempt, Arrival::Kind::ran);
    ++busy_;
    ++owner_.deeds_.runs[attempt];
    const Micros deadline = deadline_of(visit->header(kDeadlineMs));
    const bool in_time = work_ <= deadline;
    auto timer = std::make_shared<net::Timer>(owner_.strand_);
    visit->on_gone([timer] { timer->cancel(); });  // nobody waits for it: it is given up
    timer->expires_after(std::chrono::microseconds(in_time ? work_ : deadline));
    timer->async_wait(
        [self = shared_from_this(), visit, attempt, lines, timer, in_time](net::Fault given_up) {
          --self->busy_;
          if (self->dropped_) return;
          if (!given_up) self->answer(visit, attempt, lines, in_time);
          self->look();
        });
  }

  void answer(const Door::VisitRef& visit, const std::string& attempt, std::string lines, bool in_time) {
    if (!in_time) return visit->answer(504, lines, "the deadline has passed\n");
    const std::string body = nlohmann::ordered_json{{"function", service_},
                                                    {"instance", id_},
                                                    {"method", visit->method()},
                                                    {"path", visit->target()},
                                                    {"taken", visit->body().size()}}
                                 .dump() +
                             "\n";
    net::write_header(lines, "Content-Type", "application/json");
    net::write_header(lines, kSeal, seal_of(id_, attempt, body));
    visit->answer(200, lines, body);
  }

  void look() {  // whether the last work has ended
    if (!leaving_ || dropped_ || busy_ > 0 || std::exchange(told_, true)) return;
    boost::asio::post(owner_.strand_, [self = shared_from_this()] {
      if (self->dropped_) return;
      auto& owner = self->owner_;
      owner.all_.erase(self->id_);
      owner.on_freed_(self->id_);
    });
  }

  Instances& owner_;
  std::string id_, service_;
  std::uint32_t capacity_, busy_ = 0;
  Micros work_;
  net::Timer start_;
  Door door_;
  bool open_ = false, leaving_ = false, dropped_ = false, told_ = false;
};

Instances::Instances(net::Strand strand, const net::Clock& clock, Micros work, OnFreed on_freed,
                     OnArrival on_arrival)
    : strand_(strand),
      clock_(clock),
      work_(work),
      on_freed_(std::move(on_freed)),
      on_arrival_(std::move(on_arrival)) {}

Instances::~Instances() {
  drop();
}

void Instances::begin(const Life& life, std::size_t most_conns) {
  const auto instance = std::make_shared<Instance>(*this, life, most_conns);
  all_[life.id] = instance;
  instance->begin(std::max<Micros>(0, life.up - clock_.now()));
}

void Instances::stop(const std::string& id) {
  if (const auto found = all_.find(id); found != all_.end()) {
    const auto instance = found->second;
    instance->stop();
  }
}

Micros Instances::work_for(const std::string& service) const {
  const auto found = work_of_.find(service);
  return found == work_of_.end() ? work_ : found->second;
}

std::vector<std::string> Instances::strike(InstanceTrouble trouble, double share, Micros lasts,
                                           std::uint64_t lot) {
  std::vector<std::string> struck;
  for (const auto& [id, instance] : all_) {
    const auto draw = static_cast<double>(fnv1a(id + "/" + std::to_string(lot)) % 1000) / 1000;
    if (instance->listens() && draw < share) struck.push_back(id);
  }
  for (const auto& id : struck) {
    const auto instance = all_.at(id);
    instance->strike(trouble, lasts);
    if (trouble != InstanceTrouble::crash) continue;
    all_.erase(id);
    on_freed_(id);
  }
  return struck;
}

void Instances::drop() {
  for (const auto& [id, instance] : std::exchange(all_, {})) instance->drop();
}

}  // namespace woadridge::lab::platform
