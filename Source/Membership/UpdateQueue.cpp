#include "Membership/UpdateQueue.h"

#include "Membership/Heartbeat.h"

#include <algorithm>

namespace acaciacross::membership {

namespace {

// With 16 probes per round, each VM that learns of a change sends it directly
// to about 16 * 6 peers, which is enough to spread it through the fleet.
constexpr std::size_t RoundsPerUpdate = 6;

// A mass change, such as the loss of a failure domain, may exceed this; peers
// then detect the other changes by their own probes.
constexpr std::size_t MaxQueued = 256;

} // namespace

void UpdateQueue::add(const MemberUpdate &Update) {
  const auto It = this->Entries.find(Update.Vm);
  if (It == this->Entries.end() && this->Entries.size() >= MaxQueued)
    return;
  this->Entries[Update.Vm] = Entry{Update, RoundsPerUpdate};
}

std::vector<MemberUpdate> UpdateQueue::take() {
  std::vector<Entry *> Order;
  for (auto &[Vm, Queued] : this->Entries)
    Order.push_back(&Queued);
  std::ranges::stable_sort(Order, [](const Entry *Left, const Entry *Right) {
    return Left->RoundsLeft > Right->RoundsLeft;
  });
  if (Order.size() > MaxMemberUpdates)
    Order.resize(MaxMemberUpdates);
  std::vector<MemberUpdate> Selected;
  for (Entry *Queued : Order) {
    Selected.push_back(Queued->Update);
    --Queued->RoundsLeft;
  }
  std::erase_if(this->Entries,
                [](const auto &Item) { return Item.second.RoundsLeft == 0; });
  return Selected;
}

bool UpdateQueue::isEmpty() const { return this->Entries.empty(); }

} // namespace acaciacross::membership
