#include "Membership/ProbePlan.h"

#include <algorithm>
#include <chrono>

namespace acaciacross::membership {

namespace {

constexpr std::size_t MinPreferredPerRound = 3;
constexpr std::size_t MaxPlacedPerRound = 8;
// Each placed VM is probed by the others in every second round, so that the
// evidence that they pass on is younger than MaxEvidenceAge at its receiver. A
// standby VM probes a placed VM itself when it has no such evidence.
constexpr std::size_t RoundsPerPlacedPeer = 2;
// A standby VM probes a placed VM itself when nobody has passed on evidence
// that is younger than this.
constexpr std::chrono::milliseconds MaxRelayedAge{700};
// A random peer once a second: the other VMs only matter when they are placed.
constexpr std::size_t StandbyRoundsPerSample = 5;

} // namespace

ProbePlan ProbePlan::make(const FleetTable &Fleet,
                          const std::set<common::VmId> &Placed,
                          const common::VmId &OwnVm,
                          const std::string &OwnDomain,
                          common::MonotonicTime Now) {
  const bool IsPlaced = Placed.contains(OwnVm);
  ProbePlan Plan;
  bool HasStalePeer = false;
  for (const common::VmId &Vm : Placed) {
    const PeerRecord *Peer = Fleet.find(Vm);
    if (Peer == nullptr)
      continue;
    const bool IsStale = Now - Peer->EvidenceAt > MaxEvidenceAge;
    HasStalePeer = HasStalePeer || IsStale;
    if (IsPlaced || IsStale || Peer->Status.FailureDomain == OwnDomain)
      Plan.Preferred.push_back(Peer->PeerAddress);
  }
  if (IsPlaced) {
    const std::size_t Wanted =
        (Plan.Preferred.size() + RoundsPerPlacedPeer - 1) / RoundsPerPlacedPeer;
    Plan.PreferredPerRound =
        std::clamp(Wanted, MinPreferredPerRound, MaxPlacedPerRound);
    return Plan;
  }
  Plan.PreferredPerRound = HasStalePeer ? MinPreferredPerRound : 1;
  Plan.RoundsPerSample = HasStalePeer ? 1 : StandbyRoundsPerSample;
  return Plan;
}

} // namespace acaciacross::membership
