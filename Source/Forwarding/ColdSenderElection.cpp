#include "Forwarding/ColdSenderElection.h"

#include "Common/Hash.h"

#include <algorithm>
#include <chrono>

namespace acaciacross::forwarding {

namespace {

// The other VMs see this VM as placed within a second and then stop using the
// shares that it takes over; their last requests must leave the window of one
// second.
constexpr std::chrono::milliseconds TakeoverDelay{2'000};
// Views come five times a second. After a gap this VM may be the only one that
// still believes in the old one.
constexpr std::chrono::milliseconds MaxViewGap{1'000};
// Until all VMs agree that a live VM is no longer placed.
constexpr std::chrono::milliseconds ReleaseDelay{3'000};
// A VM cannot tell whether others are lost or it is cut off itself. Links
// between regions may be down for minutes.
constexpr std::chrono::minutes LostMemory{5};

// Finalizer of SplitMix64. Makes the order of the VMs independent between
// searchers at a fraction of the cost of hashing both ids again.
std::uint64_t mix(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31U);
}

} // namespace

bool ColdSenderElection::update(const FleetMembers &Members,
                                common::MonotonicTime Now) {
  const bool HasGap = this->LastUpdate && Now - *this->LastUpdate > MaxViewGap;
  this->LastUpdate = Now;
  const bool HasChanged = this->updateMembers(Members, Now);
  const bool WasKnown = this->PlacedSince && !HasGap;
  const bool IsPlaced = this->Placed.contains(Members.Self);
  if (!IsPlaced || (!WasKnown && !Members.IsKnown))
    this->PlacedSince.reset();
  else if (!WasKnown)
    this->PlacedSince = Now;
  const bool WasEligible = this->IsEligible;
  this->IsEligible =
      this->PlacedSince && Now - *this->PlacedSince >= TakeoverDelay;
  return HasChanged || WasEligible != this->IsEligible;
}

unsigned ColdSenderElection::share(const common::SearcherId &Searcher,
                                   unsigned Total) const {
  if (!this->IsEligible)
    return 0;
  const std::uint64_t SearcherHash = common::stableHash(Searcher.Value);
  const std::uint64_t OwnRank = mix(this->SelfHash ^ SearcherHash);
  const auto Before =
      std::ranges::count_if(this->OtherHashes, [&](std::uint64_t Hash) {
        return mix(Hash ^ SearcherHash) > OwnRank;
      });
  const auto Count = static_cast<unsigned>(this->OtherHashes.size()) + 1;
  const bool HasOneMore = static_cast<unsigned>(Before) < Total % Count;
  return Total / Count + (HasOneMore ? 1 : 0);
}

bool ColdSenderElection::updateMembers(const FleetMembers &Members,
                                       common::MonotonicTime Now) {
  bool HasChanged = this->expireFormer(Members, Now);
  if (Members.Placed != this->Placed) {
    for (const common::VmId &Vm : this->Placed)
      if (!Members.Placed.contains(Vm))
        this->Former[Vm] = Now;
    for (const common::VmId &Vm : Members.Placed)
      this->Former.erase(Vm);
    this->Placed = Members.Placed;
    HasChanged = true;
  }
  if (!HasChanged)
    return false;
  this->SelfHash = common::stableHash(Members.Self.Value);
  this->OtherHashes.clear();
  const auto Add = [&](const common::VmId &Vm) {
    if (Vm != Members.Self)
      this->OtherHashes.push_back(common::stableHash(Vm.Value));
  };
  for (const common::VmId &Vm : this->Placed)
    Add(Vm);
  for (const auto &[Vm, LeftAt] : this->Former)
    Add(Vm);
  return true;
}

bool ColdSenderElection::expireFormer(const FleetMembers &Members,
                                      common::MonotonicTime Now) {
  const auto IsExpired = [&](const auto &Entry) {
    const bool IsLive = std::ranges::count(Members.Live, Entry.first) > 0;
    return Now - Entry.second >= (IsLive
                                      ? std::chrono::milliseconds(ReleaseDelay)
                                      : std::chrono::milliseconds(LostMemory));
  };
  return std::erase_if(this->Former, IsExpired) > 0;
}

} // namespace acaciacross::forwarding
