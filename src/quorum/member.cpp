#include "quorum/member.h"

#include <algorithm>
#include <limits>

#include "common/frames.h"

namespace woadridge::quorum {
namespace {

using common::pack;
using common::unpack;

constexpr Micros kBeat = 600'000;
constexpr Micros kFirstBeat = 100'000;   // after a start others wait for what it says
constexpr Micros kDiskSilent = 800'000;  // a write that takes longer: the disk stands still
constexpr Micros kProbeDisk = 400'000;   // of one that has failed
constexpr Micros kLately = 1'500'000;
constexpr std::size_t kMostWrites = 512;  // on their way to a disk that stands still

}  // namespace

Duty Member::duty_of(const Bytes& value) {
  return value ? unpack<Duty>(*value).value_or(Duty{}) : Duty{};
}

Member::Member(Options options, const Rows& kept, bool lost, std::uint64_t seed, Micros now)
    : options_(std::move(options)), chance_(seed), now_(now), started_(now) {
  for (const char* name : {kView, kLaunch, kList, kMembers}) registers_.emplace(name, Register(name));
  // Neither rounds nor ballots of an earlier life of this process are taken for this one's.
  next_ = chance_();
  ballots_of_ = options_.self.ip + "/" + std::to_string(chance_());
  const auto row = [&](const char* name) {
    const auto at = kept.find(name);
    return at == kept.end() ? std::string() : at->second;
  };
  const std::string state = row("state");
  if (const auto list = unpack<List>(row("list"))) take_list(*list);
  if (const auto disk = unpack<std::uint64_t>(row("disk")); disk && !lost) disk_ = *disk;
  disk_safe_ = disk_ != 0;
  if (!disk_safe_) disk_ = chance_() | 1;
  options_.self.disk = disk_;
  if (const auto lives = unpack<Lives>(row("lives"))) lives_.insert(lives->begin(), lives->end());
  if (!lost)
    for (auto& [name, r] : registers_) r.load(kept);
  // Without its mark nobody knows what this machine said before: it takes part in nothing until the others
  // told it.
  if (lost) standing_ = Standing::blank;
  else if (state == "voter") standing_ = Standing::voter;
  else if (state == "learner") standing_ = Standing::learner;
  else if (state == "founding" || (state.empty() && options_.bootstrap)) standing_ = Standing::founding;
  founding_seeds_ = unpack<std::vector<std::string>>(row("seeds")).value_or(options_.seeds);
  if (founding_seeds_.empty()) founding_seeds_ = {options_.self.ip};
  if (state.empty() || lost) {
    Rows rows;
    rows["state"] = standing_ == Standing::founding ? "founding" : "blank";
    if (standing_ == Standing::founding) rows["seeds"] = pack(founding_seeds_);
    rows["disk"] = pack(disk_);
    // A founder doesn't wait for it: writes on the way of the founding carry it too.
    write({}, std::move(rows), [this](bool good) { disk_safe_ = disk_safe_ || good; });
  }
  if (standing_ != Standing::founding && !planted(Planted::grant_forgotten))
    grant_.assume(duty_of(registers_.at(kLaunch).safe().value).holder, now + options_.lease * 11 / 10);
  chain_ = std::make_unique<chain::Chain>(environment(), options_.self.ip, lost ? Rows{} : kept, chance_(),
                                          [this](const auto& links) { return enough(links); });
  if (list_.epoch != 0) chain_->members(ips_of(list_.members), list_.epoch);
  last_new_ = now;
  next_beat_ = now + draw(kFirstBeat);
  next_read_ = now + 100'000 + static_cast<Micros>(rank()) * 100'000 + draw(50'000);
}

Micros Member::draw(Micros most) {
  return static_cast<Micros>(chance_() % static_cast<std::uint64_t>(most));
}

bool Member::may_vote(const std::string& name) const {
  if (standing_ == Standing::learner && (planted(Planted::learner_votes) || planted(Planted::removed_votes)))
    return true;
  if (name == kMembers)
    return standing_ == Standing::founding ||
           (standing_ == Standing::voter && registers_.at(kMembers).safe().promised.counter != 0);
  return standing_ == Standing::voter;
}

bool Member::in_list(const std::string& ip) const {
  return std::any_of(members_.begin(), members_.end(), [&](const Machine& m) { return m.ip == ip; });
}

std::size_t Member::rank() const {
  std::size_t at = 0;
  while (at < members_.size() && members_[at].ip != options_.self.ip) ++at;
  return at;
}

std::vector<std::string> Member::ips_of(const Machines& machines) {
  std::vector<std::string> all;
  for (const auto& m : machines) all.push_back(m.ip);
  return all;
}

std::optional<Duty> Member::duty_known() const {
  const auto at = learned_.find(kLaunch);
  if (at == learned_.end()) return std::nullopt;
  return duty_of(at->second.value);
}

Bytes Member::known(const std::string& name) const {
  const auto at = learned_.find(name);
  return at == learned_.end() ? nullptr : at->second.value;
}

bool Member::seen(const std::string& ip, Micros now) const {
  const auto at = seen_.find(ip);
  return at != seen_.end() && now - at->second < kLately;
}

std::optional<Machine> Member::someone_else(Micros now) const {
  std::optional<Machine> any;
  const std::size_t from = rank() + 1;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const Machine& m = members_[(from + i) % members_.size()];
    if (m.ip == options_.self.ip) continue;
    if (seen(m.ip, now)) return m;
    if (!any) any = m;
  }
  return any;
}

chain::Environment Member::environment() {
  chain::Environment environment;
  environment.now = [this] { return now_; };
  environment.post = [this](const std::string& to, chain::Message message) {
    if (!to.empty()) return post(to, std::move(message));
    for (const auto& m : members_)
      if (m.ip != options_.self.ip) post(m.ip, message);
  };
  environment.refuse = [this](const std::string& from, const std::string& why) {
    out_.refused.emplace_back(from, why);
  };
  environment.write = [this](Rows rows, Then then) { write({}, std::move(rows), std::move(then)); };
  environment.propose = [this](const chain::View& from, const chain::View& next) {
    const auto change = [from, next](const std::string* old) {
      const auto now = old != nullptr ? unpack<chain::View>(*old).value_or(chain::View{}) : chain::View{};
      if (now == from) return std::optional(pack(next));
      // One that some hold already may be decided: it is brought to its end, or nobody would learn of it.
      return now.number > from.number ? std::optional(*old) : std::nullopt;
    };
    proposal_ = begin({Operation::Kind::change, kView, change, now_ + 1'000'000});
  };
  environment.look = [this](std::uint64_t ticket) {
    looks_[begin({Operation::Kind::read, kView, {}, now_ + 1'000'000})] = ticket;
  };
  return environment;
}

// The losses that must be borne leave a link.
bool Member::enough(const std::vector<chain::Link>& links) const {
  std::set<std::string> zones, regions;
  for (const auto& link : links)
    for (const auto& m : members_) {
      if (m.ip != link.ip) continue;
      zones.insert(m.zone);
      const auto region = options_.region_of.find(m.zone);
      regions.insert(region == options_.region_of.end() ? std::string() : region->second);
    }
  return links.size() > options_.losses && zones.size() > options_.zone_losses &&
         regions.size() > options_.region_losses;
}

void Member::post(const std::string& to, Message message) {
  if (to == options_.self.ip) {
    to_self_.emplace_back(to, std::move(message));
    return;
  }
  const bool beats = std::holds_alternative<Beat>(message) || std::holds_alternative<Renew>(message) ||
                     std::holds_alternative<Granted>(message);
  if (beats) sent_[to] = now_;
  out_.envelopes.emplace_back(to, std::move(message));
}

void Member::post(Envelopes envelopes) {
  for (auto& [to, message] : envelopes) post(to, std::move(message));
}

void Member::write(const std::vector<std::string>& registers, Rows rows, Then then) {
  if (writing_.size() >= kMostWrites) {  // guards the memory against a disk that stands still
    then(false);
    return;
  }
  std::vector<std::pair<std::string, Held>> held;
  for (const auto& name : registers) {
    const Register& r = registers_.at(name);
    rows.merge(r.rows());
    held.emplace_back(name, r.now());
  }
  const std::uint64_t token = ++next_;
  if (unwritten_.empty()) unwritten_since_ = now_;
  unwritten_.insert(token);
  const auto done = [this, held = std::move(held), then = std::move(then)](bool good) {
    if (good)
      for (const auto& [name, h] : held) registers_.at(name).kept(h);
    then(good);
  };
  if (planted(Planted::answer_before_sync)) {
    done(true);
    writing_[token] = [](bool) {};
  } else {
    writing_[token] = done;
  }
  out_.writes.emplace_back(token, std::move(rows));
}

void Member::persisted(std::uint64_t token, bool good, Micros now) {
  now_ = now;
  const auto at = writing_.find(token);
  if (at == writing_.end()) return;
  const Then then = std::move(at->second);
  writing_.erase(at);
  unwritten_.erase(token);
  unwritten_since_ = now;
  disk_good_ = good;
  next_probe_ = now + kProbeDisk;
  then(good);
  settle();
}

Out Member::take() {
  return std::exchange(out_, {});
}

void Member::heard(const std::string& from, Message message, Micros now) {
  now_ = now;
  seen_[from] = now;
  chain_->heard_of(from);
  std::visit([&](auto& w) { receive(from, w); }, message);
  settle();
}

void Member::settle() {
  bool more = true;
  while (more) {
    more = false;
    while (!to_self_.empty()) {
      Envelopes envelopes = std::exchange(to_self_, {});
      for (auto& [to, message] : envelopes)
        std::visit([&](auto& w) { receive(options_.self.ip, w); }, message);
    }
    for (auto at = operations_.begin(); at != operations_.end();) {
      if (at->second.end() == Operation::End::open) {
        ++at;
        continue;
      }
      const Operation over = std::move(at->second);
      at = operations_.erase(at);
      if (writer_[over.name()] == over.ticket()) writer_[over.name()] = 0;
      ended(over);
      more = true;
    }
    begin_waiting();
    more = more || !to_self_.empty();
  }
  for (auto& ended : chain_->take_ended()) {
    if (ended.ticket == duty_read_) duty_read_over(ended.good);
    else out_.finished.push_back(std::move(ended));
  }
  for (auto& value : chain_->take_learned()) out_.learned.push_back(std::move(value));
  tell_sign();
}

// What others mend the chain by is told at once.
void Member::tell_sign() {
  const bool disk_silent = !unwritten_.empty() && now_ - unwritten_since_ >= kDiskSilent;
  chain_->fit(standing_ == Standing::voter && (!leaving_ || handing_over(now_)) && disk_good_ &&
              !disk_silent);
  if (!in_list(options_.self.ip)) return;
  chain::Sign sign = chain_->sign();
  sign.heard = told_sign_.heard;
  sign.newest = told_sign_.newest;
  if (sign == told_sign_) return;
  told_sign_ = sign;
  const Beat message = beat();
  for (const auto& m : members_)
    if (m.ip != options_.self.ip) post(m.ip, message);
}

void Member::receive(const std::string& from, chain::Message& message) {
  if (standing_ == Standing::voter || standing_ == Standing::learner) chain_->receive(from, message);
}

// ---- time

void Member::tick(Micros now) {
  now_ = now;
  for (auto& [ticket, operation] : operations_) {
    if (operation.due() > now) continue;
    post(operation.tick(now_for(operation.name())));
    counters_[operation.name()] = std::max(counters_[operation.name()], operation.highest_seen());
  }
  if (!disk_good_ && unwritten_.empty() && now >= next_probe_) {
    next_probe_ = now + kProbeDisk;
    write({}, {{"probe", {}}}, [](bool) {});
  }
  if (standing_ == Standing::voter || standing_ == Standing::learner) chain_->tick();
  settle();
  if (wanted_list_.epoch > list_.epoch && adopting_ == 0 && now >= adopt_again_) adopt(wanted_list_);
  join();
  if (list_.epoch == 0) found();
  if (standing_ == Standing::blank && list_.epoch != 0) recover();
  tend_duty();
  tend_list();
  tend_place();
  if (standing_ == Standing::voter && own_read_ == 0 && now >= next_read_ && !leaving_) {
    if (known(kView)) next_read_ = kNever;
    else own_read_ = begin({Operation::Kind::read, kView, {}, now + 2'000'000});
  }
  if (now >= next_beat_) {
    next_beat_ = now + kBeat;
    if (standing_ == Standing::voter || standing_ == Standing::blank) {
      const Beat message = beat();
      for (const auto& m : members_)
        if (m.ip != options_.self.ip && now - sent_[m.ip] > kBeat * 3 / 4) post(m.ip, message);
    }
  }
  settle();
}

Micros Member::due() const {
  Micros at = next_beat_;
  for (const auto& [ticket, operation] : operations_) at = std::min(at, operation.due());
  if (joins()) at = std::min(at, next_hello_);
  if (wanted_list_.epoch > list_.epoch && adopting_ == 0) at = std::min(at, adopt_again_);
  if (in_list(options_.self.ip)) at = std::min(at, next_which_);
  if (leaving_ && standing_ == Standing::voter) at = std::min(at, next_leaving_);
  if (hold_.term() != 0 && (list_.joint() || !learners_.empty()))
    at = std::min(at, std::max(next_list_look_, now_ + 1000));
  if (standing_ == Standing::blank && list_.epoch != 0 && !joining_) at = std::min(at, recover_again_);
  if (standing_ == Standing::voter && own_read_ == 0 && !leaving_) at = std::min(at, next_read_);
  if (!disk_good_ && unwritten_.empty()) at = std::min(at, next_probe_);
  if (standing_ == Standing::voter || standing_ == Standing::learner) at = std::min(at, chain_->due());
  if (standing_ != Standing::voter || leaving_) return at;
  if (hold_.term() != 0) return std::min({at, next_renewal_, hold_.until()});
  if (claim_ticket_ != 0 || !may_claim()) return at;
  const Micros left = grant_.left(options_.self.ip, now_);
  return std::min(at, left > 0 ? now_ + left : std::max(candidate_at_, now_));
}

}  // namespace woadridge::quorum
