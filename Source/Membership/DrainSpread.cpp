#include "Membership/DrainSpread.h"

#include "Membership/Heartbeat.h"

#include <algorithm>
#include <utility>

namespace acaciacross::membership {

namespace {

// A notice is of use for two minutes; sent all that time, 16 of them would
// triple the size of every message. Eight rounds reach every peer of a small
// fleet four times or more.
constexpr std::size_t RoundsPerNotice = 8;

} // namespace

std::vector<DrainNotice>
DrainSpread::take(const std::vector<DrainNotice> &Current) {
  std::map<common::SearcherId, std::size_t> Kept;
  std::vector<std::pair<std::size_t, const DrainNotice *>> Order;
  for (const DrainNotice &Notice : Current) {
    const auto Before = this->RoundsLeft.find(Notice.Searcher);
    const std::size_t Left =
        Before == this->RoundsLeft.end() ? RoundsPerNotice : Before->second;
    Kept[Notice.Searcher] = Left;
    if (Left > 0)
      Order.emplace_back(Left, &Notice);
  }
  this->RoundsLeft = std::move(Kept);
  std::ranges::stable_sort(Order, [](const auto &Left, const auto &Right) {
    return Left.first > Right.first;
  });
  if (Order.size() > MaxDrainNotices)
    Order.resize(MaxDrainNotices);
  std::vector<DrainNotice> Taken;
  for (const auto &[Left, Notice] : Order) {
    Taken.push_back(*Notice);
    --this->RoundsLeft[Notice->Searcher];
  }
  return Taken;
}

} // namespace acaciacross::membership
