#include "toolbox/messages.h"

#include <algorithm>

namespace woadridge::toolbox {

// A plan never goes back: a late word of an older one changes nothing.
void Board::apply(const News& news) {
  if (news.plan_told && news.plan.version > plan.version) plan = news.plan;
  if (news.term < term || (news.term != term && !news.whole)) return;
  term = news.term;
  version = news.board;
  if (news.peers_told) peers = news.peers;
  if (news.whole) instances.clear();
  const auto before = [](const Instance& a, const std::string& id) { return a.id < id; };
  for (const auto& told : news.changed) {
    auto at = std::lower_bound(instances.begin(), instances.end(), told.id, before);
    if (at != instances.end() && at->id == told.id) *at = told;
    else instances.insert(at, told);
  }
  for (const auto& id : news.gone) {
    auto at = std::lower_bound(instances.begin(), instances.end(), id, before);
    if (at != instances.end() && at->id == id) instances.erase(at);
  }
}

News Board::whole() const {
  News news;
  news.term = term;
  news.board = version;
  news.whole = news.peers_told = true;
  news.peers = peers;
  news.changed = instances;
  news.plan_told = plan.version > 0;
  news.plan = plan;
  return news;
}

}  // namespace woadridge::toolbox
