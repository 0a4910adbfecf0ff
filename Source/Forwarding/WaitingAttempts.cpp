#include "Forwarding/WaitingAttempts.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

// Fewer callers are not worth a pass over them.
constexpr std::size_t MinDropSize = 16;

} // namespace

void WaitingAttempts::add(AttemptListener &Listener, const Urgency &Place) {
  const Position Added{this->nextTurn(Place.Caller), this->ArrivalCount++};
  this->InTime.emplace(Added, &Listener);
  this->ByLatestStart.emplace(Place.LatestStart, Added);
  this->Entries.emplace(&Listener,
                        Entry{Added, Place.LatestStart, Place.Caller});
}

void WaitingAttempts::remove(AttemptListener &Listener) {
  const auto Found = this->Entries.find(&Listener);
  if (Found == this->Entries.end())
    return;
  const Entry &Removed = Found->second;
  this->InTime.erase(Removed.Place);
  this->Late.erase(Removed.Place);
  this->ByLatestStart.erase({Removed.LatestStart, Removed.Place});
  --this->Callers.at(Removed.Caller).WaitingCount;
  this->Entries.erase(Found);
}

void WaitingAttempts::separateLate(common::MonotonicTime Now) {
  while (!this->ByLatestStart.empty() &&
         this->ByLatestStart.begin()->first < Now) {
    const Position Place = this->ByLatestStart.begin()->second;
    this->Late.insert(this->InTime.extract(Place));
    this->ByLatestStart.erase(this->ByLatestStart.begin());
  }
}

AttemptListener *WaitingAttempts::takeFirst() {
  const Queue &Source = this->InTime.empty() ? this->Late : this->InTime;
  const auto [Place, Listener] = *Source.begin();
  this->CurrentTurn = std::max(this->CurrentTurn, Place.first);
  this->remove(*Listener);
  return Listener;
}

std::size_t WaitingAttempts::size() const { return this->Entries.size(); }

bool WaitingAttempts::hasAnyInTime() const { return !this->InTime.empty(); }

// Attempts that ended without a connection must not put the later ones of their
// caller back, so a turn is at most as far ahead as the caller has attempts.
std::uint64_t WaitingAttempts::nextTurn(const common::CallerHost &Caller) {
  this->dropPastCallers();
  const auto [Found, IsNew] = this->Callers.try_emplace(Caller);
  CallerTurns &Turns = Found->second;
  ++Turns.WaitingCount;
  const std::uint64_t Following = IsNew ? this->CurrentTurn : Turns.Last + 1;
  Turns.Last = std::clamp(Following, this->CurrentTurn,
                          this->CurrentTurn + Turns.WaitingCount);
  return Turns.Last;
}

// A caller whose last turn is over counts as a new one.
void WaitingAttempts::dropPastCallers() {
  if (this->Callers.size() <= 2 * this->Entries.size() + MinDropSize)
    return;
  std::erase_if(this->Callers, [&](const auto &Entry) {
    return Entry.second.WaitingCount == 0 &&
           Entry.second.Last < this->CurrentTurn;
  });
}

} // namespace acaciacross::forwarding
