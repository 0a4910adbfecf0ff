#include "Forwarding/UrgencyOrder.h"

namespace acaciacross::forwarding {

namespace {

// Counts are halved beyond this, so that the shares are those of recent
// attempts.
constexpr double MaxAskedCount = 256.0;

} // namespace

void UrgencyOrder::add(AttemptListener &Listener, const Urgency &Place) {
  if (!this->PriorityByListener.emplace(&Listener, Place.Priority).second)
    return;
  Level &Target = this->Levels[Place.Priority];
  Target.Waiting.add(Listener, Place);
  Target.Share.Asked += 1.0;
  this->All.Asked += 1.0;
}

void UrgencyOrder::remove(AttemptListener &Listener) {
  const auto Found = this->PriorityByListener.find(&Listener);
  if (Found == this->PriorityByListener.end())
    return;
  this->Levels.at(Found->second).Waiting.remove(Listener);
  this->PriorityByListener.erase(Found);
}

AttemptListener *UrgencyOrder::takeNext(common::MonotonicTime Now) {
  if (this->PriorityByListener.empty())
    return nullptr;
  for (auto &[Priority, Candidate] : this->Levels)
    Candidate.Waiting.separateLate(Now);
  Level &Chosen = this->chooseLevel()->second;
  AttemptListener *Next = Chosen.Waiting.takeFirst();
  this->PriorityByListener.erase(Next);
  this->countServed(Chosen);
  return Next;
}

std::size_t UrgencyOrder::size() const {
  return this->PriorityByListener.size();
}

std::size_t UrgencyOrder::countUpTo(int Priority) const {
  std::size_t Count = 0;
  for (auto It = this->Levels.begin();
       It != this->Levels.end() && It->first <= Priority; ++It)
    Count += It->second.Waiting.size();
  return Count;
}

UrgencyOrder::LevelMap::iterator UrgencyOrder::chooseLevel() {
  for (auto It = this->Levels.begin(); It != this->Levels.end(); ++It)
    if (It->second.Waiting.size() > 0 && It->second.Share.isStarved(this->All))
      return It;
  const auto First = this->firstLevel();
  // Late attempts of a more urgent priority go first if it would otherwise be
  // served less often than this one: short targets make it late more often.
  for (auto It = this->Levels.begin(); It != First; ++It)
    if (It->second.Waiting.size() > 0 &&
        It->second.Share.ratio() < First->second.Share.ratio())
      return It;
  return First;
}

UrgencyOrder::LevelMap::iterator UrgencyOrder::firstLevel() {
  auto FirstOccupied = this->Levels.end();
  for (auto It = this->Levels.begin(); It != this->Levels.end(); ++It) {
    if (It->second.Waiting.hasAnyInTime())
      return It;
    if (FirstOccupied == this->Levels.end() && It->second.Waiting.size() > 0)
      FirstOccupied = It;
  }
  return FirstOccupied;
}

void UrgencyOrder::countServed(Level &Served) {
  Served.Share.Served += 1.0;
  this->All.Served += 1.0;
  if (this->All.Asked <= MaxAskedCount)
    return;
  const auto Halve = [](ServedShare &Share) {
    Share.Asked /= 2.0;
    Share.Served /= 2.0;
  };
  Halve(this->All);
  for (auto &[Priority, Counted] : this->Levels)
    Halve(Counted.Share);
}

} // namespace acaciacross::forwarding
