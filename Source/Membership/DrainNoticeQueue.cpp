#include "Membership/DrainNoticeQueue.h"

#include "Membership/Heartbeat.h"

#include <algorithm>
#include <utility>

namespace acaciacross::membership {

namespace {

// A notice is relevant for two minutes; 16 notices that are sent for all this
// time would triple the size of every message. Eight rounds reach every peer of
// a small fleet at least four times.
constexpr std::size_t RoundsPerNotice = 8;

} // namespace

std::vector<DrainNotice>
DrainNoticeQueue::take(const std::vector<DrainNotice> &Current) {
  std::map<common::SearcherId, std::size_t> NewRoundsLeft;
  std::vector<std::pair<std::size_t, const DrainNotice *>> Order;
  for (const DrainNotice &Notice : Current) {
    const auto It = this->RoundsLeft.find(Notice.Searcher);
    const std::size_t Left =
        It == this->RoundsLeft.end() ? RoundsPerNotice : It->second;
    NewRoundsLeft[Notice.Searcher] = Left;
    if (Left > 0)
      Order.emplace_back(Left, &Notice);
  }
  this->RoundsLeft = std::move(NewRoundsLeft);
  std::ranges::stable_sort(Order, [](const auto &Left, const auto &Right) {
    return Left.first > Right.first;
  });
  if (Order.size() > MaxDrainNotices)
    Order.resize(MaxDrainNotices);
  std::vector<DrainNotice> Selected;
  for (const auto &[Left, Notice] : Order) {
    Selected.push_back(*Notice);
    --this->RoundsLeft[Notice->Searcher];
  }
  return Selected;
}

} // namespace acaciacross::membership
