#include "duty/ledger.h"

#include <algorithm>

#include "duty/planted.h"

namespace woadridge::duty {

std::string zone_of(const std::string& duty) {
  const auto first = duty.find('/');
  if (first == std::string::npos) return {};
  const auto second = duty.find('/', first + 1);
  return duty.substr(first + 1, second == std::string::npos ? second : second - first - 1);
}

void Ledger::load(const std::string& text, std::uint64_t index) {
  wire::LedgerState state;
  state.ParseFromString(text);
  *this = Ledger();
  index_ = index;
  last_number_ = planted(Planted::number_restarts) ? 0 : state.last_number();
  for (const auto& s : state.sessions()) sessions_[{s.name(), s.run()}] = {s.zone(), index, {}};
  for (const auto& v : state.voters()) voters_[v.name()] = v.disk();
  for (const auto& d : state.duties()) {
    duties_[d.name()] = {d.number(), {d.holder(), d.run()}};
    if (d.number() == 0) {
      free_.insert(d.name());
      continue;
    }
    by_number_[d.number()] = d.name();
    sessions_[{d.holder(), d.run()}].holds[d.name()] = d.number();
  }
}

std::string Ledger::state() const {
  wire::LedgerState state;
  state.set_last_number(last_number_);
  for (const auto& [who, open] : sessions_) {
    auto* s = state.add_sessions();
    s->set_name(who.name);
    s->set_run(who.run);
    s->set_zone(open.zone);
  }
  for (const auto& [name, duty] : duties_) {
    auto* d = state.add_duties();
    d->set_name(name);
    d->set_number(duty.number);
    d->set_holder(duty.holder.name);
    d->set_run(duty.holder.run);
  }
  for (const auto& [name, disk] : voters_) {
    auto* v = state.add_voters();
    v->set_name(name);
    v->set_disk(disk);
  }
  return state.SerializeAsString();
}

const std::string* Ledger::duty_of(std::uint64_t number) const {
  const auto found = by_number_.find(number);
  return found == by_number_.end() ? nullptr : &found->second;
}

void Ledger::release(const std::string& name) {
  Duty& duty = duties_[name];
  if (duty.number == 0) return;
  by_number_.erase(duty.number);
  if (const auto open = sessions_.find(duty.holder); open != sessions_.end()) {
    open->second.holds.erase(name);
    open->second.changed = index_;
    changed_.insert(duty.holder);
  }
  duty = {};
  free_.insert(name);
}

void Ledger::assign(const wire::Assignment& a) {
  const Who who{a.name(), a.run()};
  const auto open = sessions_.find(who);
  const auto duty = duties_.find(a.duty());
  if (open == sessions_.end() || duty == duties_.end() || duty->second.number != 0) return;
  duty->second = {++last_number_, who};
  by_number_[last_number_] = a.duty();
  free_.erase(a.duty());
  open->second.holds[a.duty()] = last_number_;
  open->second.changed = index_;
  changed_.insert(who);
}

void Ledger::apply(const wire::LogEntry& entry) {
  index_ = entry.index();
  wire::Command c;
  if (!c.ParseFromString(entry.data())) return;  // of a format that is not known here: nothing that binds
  if (c.has_close()) {
    const Who who{c.close().name(), c.close().run()};
    if (const auto open = sessions_.find(who); open != sessions_.end()) {
      const auto holds = open->second.holds;
      for (const auto& [duty, number] : holds) release(duty);
      sessions_.erase(who);
      changed_.erase(who);
    }
  }
  for (const auto number : c.give_up())
    if (const auto* duty = duty_of(number)) release(std::string(*duty));
  for (const auto& name : c.drop()) {
    release(name);
    duties_.erase(name);
    free_.erase(name);
  }
  for (const auto& name : c.ask())
    if (duties_.try_emplace(name).second) free_.insert(name);
  if (c.has_open()) {
    Open& open = sessions_[{c.open().name(), c.open().run()}];
    open.zone = c.open().zone();
    open.changed = index_;
  }
  if (c.has_admit()) voters_[c.admit().name()] = c.admit().disk();
  last_number_ = std::max(last_number_, c.floor());
  for (const auto& a : c.assign()) assign(a);
}

}  // namespace woadridge::duty
