#include "toolbox/messages.h"

namespace woadridge::toolbox {

// A plan never goes back: a late word of an older one changes nothing.
bool Board::apply(const News& news) {
  if (news.plan_told && news.plan.version > plan.version) plan = news.plan;
  if (news.term < term || (news.term != term && !news.whole)) return false;
  term = news.term;
  version = news.board;
  if (news.peers_told) peers = news.peers;
  if (news.whole) instances.clear();
  for (const auto& told : news.changed) instances[told.id] = told;
  for (const auto& id : news.gone) instances.erase(id);
  return true;
}

News Board::whole() const {
  News news;
  news.term = term;
  news.board = version;
  news.whole = news.peers_told = true;
  news.peers = peers;
  for (const auto& [id, instance] : instances) news.changed.push_back(instance);
  news.plan_told = plan.version > 0;
  news.plan = plan;
  return news;
}

}  // namespace woadridge::toolbox
