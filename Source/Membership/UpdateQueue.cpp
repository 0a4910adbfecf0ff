#include "Membership/UpdateQueue.h"

#include "Membership/Heartbeat.h"

#include <algorithm>

namespace acaciacross::membership {

namespace {

// With 16 probes a round each change reaches about 16 * 6 peers directly from
// every VM that learned of it, which is enough for it to spread further.
constexpr std::size_t RoundsPerUpdate = 6;

// A mass change (the loss of a failure domain) may exceed this; peers then find
// the rest by their own probes.
constexpr std::size_t MaxQueued = 256;

} // namespace

void UpdateQueue::add(const MemberUpdate &Update) {
  const auto Found = this->Entries.find(Update.Vm);
  if (Found == this->Entries.end() && this->Entries.size() >= MaxQueued)
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
  std::vector<MemberUpdate> Taken;
  for (Entry *Queued : Order) {
    Taken.push_back(Queued->Update);
    --Queued->RoundsLeft;
  }
  std::erase_if(this->Entries,
                [](const auto &Item) { return Item.second.RoundsLeft == 0; });
  return Taken;
}

bool UpdateQueue::isEmpty() const { return this->Entries.empty(); }

} // namespace acaciacross::membership
