#include "chain/view_manager.h"

#include <algorithm>
#include <bit>

namespace woadridge::chain {
namespace {

constexpr Micros kLook = 250'000;
constexpr Micros kLately = 1'500'000;    // two signs may be missed
constexpr Micros kSuspect = 500'000;     // a link stays suspected for so long before it is taken out ...
constexpr Micros kSure = 40'000;         // ... or so long, where it says itself that it can't be one
constexpr Micros kTakeIn = 600'000;      // one that comes back, so that several come in with one view
constexpr Micros kFirst = 300'000;       // before the first view, so that all are in it
constexpr Micros kFirstAll = 1'200'000;  // which doesn't wait longer for those that are late
constexpr Micros kNextRank = 150'000;    // between those that might mend: a view is through in less, mostly
constexpr Micros kBarred = 2'500'000;    // guards against a link that is taken out and in again and again
constexpr Micros kPhase = 900'000;  // for a seal or a stage: some disk is slow, another try leaves it out
constexpr Micros kStragglers = 120'000;  // the seal of one is enough, but all that are there are wanted
constexpr Micros kAskAgain = 250'000;
constexpr std::size_t kMostMembers = 64;  // bits of a sign

}  // namespace

ViewManager::ViewManager(const Environment& environment, Replica& replica, std::string self,
                         std::function<bool(const std::vector<Link>&)> enough, std::mt19937_64& chance)
    : environment_(environment),
      replica_(replica),
      self_(std::move(self)),
      enough_(std::move(enough)),
      chance_(chance) {}

void ViewManager::members(std::vector<std::string> ips, std::uint64_t epoch) {
  ips_ = std::move(ips);
  epoch_ = epoch;
  next_look_ = 0;
}

void ViewManager::heard_of(const std::string& ip) {
  seen_[ip].heard = environment_.now();
}

void ViewManager::receive(const std::string& from, const Sign& sign) {
  Seen& seen = seen_[from];
  seen.heard = seen.told = environment_.now();
  if (seen.sign == sign) return;
  seen.sign = sign;
  next_look_ = 0;
}

std::size_t ViewManager::rank(const std::string& ip) const {
  return static_cast<std::size_t>(std::find(ips_.begin(), ips_.end(), ip) - ips_.begin());
}

Sign ViewManager::sign(const Mark& newest) const {
  Sign sign{replica_.disk(), fit_,  replica_.stuck(), replica_.sealed(), whole_, replica_.acting_in(), 0,
            newest,          epoch_};
  for (std::size_t i = 0; i < ips_.size() && i < kMostMembers; ++i) {
    const auto at = seen_.find(ips_[i]);
    const bool heard =
        at != seen_.end() && at->second.heard > 0 && environment_.now() - at->second.heard < kLately;
    if (ips_[i] == self_ || heard) sign.heard |= std::uint64_t{1} << i;
  }
  return sign;
}

bool ViewManager::hears_many(const Sign& sign) const {
  return static_cast<std::size_t>(std::popcount(sign.heard)) >= majority();
}

const Sign* ViewManager::fresh(const std::string& ip) const {
  const auto at = seen_.find(ip);
  if (at == seen_.end() || at->second.told == 0 || environment_.now() - at->second.told >= kLately)
    return nullptr;
  return &at->second.sign;
}

// Second opinions: one that this machine doesn't hear stays, as long as most of those that it hears do.
bool ViewManager::others_hear(const std::string& ip) const {
  const std::uint64_t bit = std::uint64_t{1} << std::min(rank(ip), kMostMembers - 1);
  std::size_t asked = 0, hear = 0;
  for (const auto& other : ips_) {
    if (other == ip || other == self_) continue;
    const Sign* told = fresh(other);
    if (told == nullptr || told->epoch != epoch_) continue;  // its bits are of another list
    ++asked;
    if ((told->heard & bit) != 0) ++hear;
  }
  return hear * 2 > asked;
}

bool ViewManager::missed_by_most(const std::string& ip) const {
  if (rank(ip) >= std::min(ips_.size(), kMostMembers)) return false;
  const std::uint64_t bit = std::uint64_t{1} << rank(ip);
  std::size_t miss = 0;
  for (const auto& other : ips_) {
    if (other == ip) continue;
    const Sign* told = fresh(other);
    if (other == self_) miss += (sign({}).heard & bit) == 0 ? 1 : 0;
    else if (told != nullptr && told->epoch == epoch_) miss += (told->heard & bit) == 0 ? 1 : 0;
  }
  return miss >= majority();
}

bool ViewManager::keeps(const Link& link, bool& sure) const {
  if (rank(link.ip) == ips_.size()) {  // no member any more
    sure = true;
    return false;
  }
  if (link.ip == self_) {
    if (fit_ && link.disk == replica_.disk()) return true;
    sure = true;
    return false;
  }
  const Sign* told = fresh(link.ip);
  if (told == nullptr) return others_hear(link.ip);
  if (told->disk == link.disk && told->fit) return hears_many(*told);
  sure = true;
  return false;
}

// `sure`: what is wrong was told by the machine that it is about.
std::vector<Link> ViewManager::wanted(bool& sure) const {
  const View& view = replica_.view();
  sure = false;
  if (!hears_many(sign({}))) return view.chain;
  std::vector<Link> links;
  bool stuck = false;  // at the link before
  for (const auto& link : view.chain) {
    const Sign* told = fresh(link.ip);
    const bool blamed = stuck;
    stuck = link.ip == self_ ? replica_.stuck() : told != nullptr && told->stuck && told->view == view.number;
    if (!blamed && keeps(link, sure)) links.push_back(link);
  }
  std::vector<Link> late;  // that haven't read yet what is in force: the chain would wait for them
  const auto take_in = [&](const Link& link, bool whole) {
    (whole || view.number == 0 ? links : late).push_back(link);
  };
  for (const auto& ip : ips_) {
    const auto is_in = [&](const Link& link) { return link.ip == ip; };
    if (std::any_of(links.begin(), links.end(), is_in)) continue;
    if (ip == self_) {
      if (fit_) take_in({ip, replica_.disk()}, whole_);
      continue;
    }
    const Sign* told = fresh(ip);
    const auto barred = barred_.find(ip);
    if (told == nullptr || !told->fit || !hears_many(*told)) continue;
    if (barred != barred_.end() && environment_.now() < barred->second) continue;
    take_in({ip, told->disk}, told->whole);
  }
  if (!enough_(links)) links.insert(links.end(), late.begin(), late.end());
  return enough_(links) || planted(Planted::short_chain) ? links : view.chain;
}

void ViewManager::viewed(const View& before) {
  for (const auto& link : before.chain) {
    const auto& chain = replica_.view().chain;
    const bool stays =
        std::any_of(chain.begin(), chain.end(), [&](const Link& l) { return l.ip == link.ip; });
    const Sign* told = fresh(link.ip);
    if (!stays && (told == nullptr || told->disk == link.disk))
      barred_[link.ip] = environment_.now() + kBarred;
  }
  if (phase_ != Phase::idle && replica_.view().number > from_.number) phase_ = Phase::idle;
  wish_.clear();
  wished_ = next_look_ = 0;
}

void ViewManager::tick() {
  const Micros now = environment_.now();
  if (ips_.empty()) return;
  if (phase_ == Phase::sealing && settle_ != 0 && now >= settle_) sealed_enough();
  if (phase_ != Phase::idle && now >= until_) return rest();
  if (phase_ == Phase::sealing && now >= again_) seal();
  if (phase_ == Phase::staging && now >= again_) stage();
  if (phase_ != Phase::idle || now < next_look_) return;
  next_look_ = now + kLook;
  const View& view = replica_.view();
  bool sure = false;
  const auto links = wanted(sure);
  const auto is_sealed = [&](const Link& link) {
    const Sign* told = link.ip == self_ ? nullptr : fresh(link.ip);
    return told != nullptr && told->sealed && told->view == view.number;
  };
  // One that was sealed by a view_manager that came to nothing holds up the chain until the next view.
  const bool held_up =
      view.number > 0 && (replica_.sealed() || std::any_of(view.chain.begin(), view.chain.end(), is_sealed));
  if ((links == view.chain && !held_up) || links.empty()) {
    wish_.clear();
    wished_ = 0;
    return;
  }
  if (links != wish_ || wished_ == 0 || (sure && !sure_)) wished_ = now;
  wish_ = links;
  sure_ = sure;
  const bool shrinks = std::any_of(view.chain.begin(), view.chain.end(), [&](const Link& link) {
    return std::find(links.begin(), links.end(), link) == links.end();
  });
  Micros wait = sure ? kSure : shrinks || held_up ? kSuspect : kTakeIn;
  if (view.number == 0) wait = links.size() == ips_.size() ? kFirst : kFirstAll;
  std::size_t before = 0;  // of those wanted, by the list
  for (const auto& ip : ips_) {
    if (ip == self_) break;
    before += std::any_of(links.begin(), links.end(), [&](const Link& l) { return l.ip == ip; }) ? 1 : 0;
  }
  const bool in = std::any_of(links.begin(), links.end(), [&](const Link& l) { return l.ip == self_; });
  if (!in) return;  // one that can't be a link doesn't say who is
  wait += static_cast<Micros>(before) * kNextRank;
  if (now - wished_ >= wait) begin();
  else next_look_ = std::min(next_look_, wished_ + wait);
}

void ViewManager::begin() {
  from_ = replica_.view();
  next_ = {from_.number + 1, wish_, {}};
  round_ = chance_() | 1;
  told_.clear();
  ready_.clear();
  settle_ = 0;
  until_ = environment_.now() + kPhase;
  base_ = {};
  base_value_ = nullptr;
  base_history_ = {};
  if (from_.number == 0) return decide();
  phase_ = Phase::sealing;
  seal();
}

void ViewManager::seal() {
  again_ = environment_.now() + kAskAgain;
  std::vector<std::string> all;
  for (const auto& links : {from_.chain, next_.chain})
    for (const auto& link : links)
      if (std::find(all.begin(), all.end(), link.ip) == all.end()) all.push_back(link.ip);
  for (const auto& ip : all)
    if (!told_.contains(ip)) environment_.post(ip, Seal{round_, from_, replica_.on_disk()});
}

void ViewManager::receive(const std::string& from, Sealed& message) {
  if (phase_ != Phase::sealing || message.round != round_) return;
  told_[from] = std::move(message);
  std::erase_if(next_.chain, [&](const Link& link) {
    return link.ip == from && !(link.disk == told_[from].disk || planted(Planted::any_disk));
  });
  const bool all = std::all_of(next_.chain.begin(), next_.chain.end(),
                               [&](const Link& link) { return told_.contains(link.ip); });
  const bool any = std::any_of(told_.begin(), told_.end(), [](const auto& t) { return t.second.given; });
  if (any && all) return sealed_enough();
  if (any && settle_ == 0) settle_ = environment_.now() + kStragglers;
}

// Of the links that were sealed the newest state goes on; who hasn't answered is left out.
void ViewManager::sealed_enough() {
  settle_ = 0;
  std::erase_if(next_.chain, [&](const Link& link) { return !told_.contains(link.ip); });
  if (!enough_(next_.chain) && !planted(Planted::short_chain)) return;  // until the phase is over
  const Sealed* best = nullptr;
  for (const auto& [ip, told] : told_) {
    if (!told.given) continue;
    if (best == nullptr || told.mark.version > best->mark.version) best = &told;
  }
  if (best == nullptr) return;
  next_.base = base_ = best->mark;
  base_history_ = best->history;
  if (base_.version > 0) base_value_ = best->value.empty() ? replica_.find(base_) : bytes_of(best->value);
  if (base_.version > 0 && !base_value_) return;
  phase_ = Phase::staging;
  until_ = environment_.now() + kPhase;
  for (const auto& link : next_.chain) {
    const Sealed& told = told_[link.ip];
    if (base_.version == 0 || (told.given && told.mark == base_) || planted(Planted::no_stage))
      ready_.push_back(link.ip);
  }
  stage();
}

void ViewManager::stage() {
  again_ = environment_.now() + kAskAgain;
  if (ready_.size() == next_.chain.size()) return decide();
  for (const auto& link : next_.chain)
    if (std::find(ready_.begin(), ready_.end(), link.ip) == ready_.end())
      environment_.post(link.ip, Stage{round_, next_.number, base_, *base_value_, base_history_});
}

void ViewManager::receive(const std::string& from, const Staged& message) {
  if (phase_ != Phase::staging || message.round != round_) return;
  if (std::find(ready_.begin(), ready_.end(), from) != ready_.end()) return;
  const bool of_a_link =
      std::find(next_.chain.begin(), next_.chain.end(), Link{from, message.disk}) != next_.chain.end();
  if (!of_a_link && !planted(Planted::any_disk)) return;
  ready_.push_back(from);
  if (ready_.size() == next_.chain.size()) decide();
}

void ViewManager::decide() {
  phase_ = Phase::deciding;
  until_ = environment_.now() + 2 * kPhase;
  environment_.propose(from_, next_);
}

void ViewManager::proposed(bool good) {
  if (phase_ != Phase::deciding) return;
  if (!good) return rest();
  phase_ = Phase::idle;
}

void ViewManager::rest() {
  phase_ = Phase::idle;
  wish_.clear();
  wished_ = 0;
  next_look_ = environment_.now() + static_cast<Micros>(chance_() % 100'000);
}

Micros ViewManager::due() const {
  if (ips_.empty()) return environment_.now() + kLook;
  if (phase_ == Phase::idle) return next_look_;
  Micros at = until_;
  if (phase_ == Phase::sealing && settle_ != 0) at = std::min(at, settle_);
  if (phase_ == Phase::sealing || phase_ == Phase::staging) at = std::min(at, again_);
  return at;
}

}  // namespace woadridge::chain
