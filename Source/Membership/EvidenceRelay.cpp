#include "Membership/EvidenceRelay.h"

namespace acaciacross::membership {

std::vector<PeerEvidence>
EvidenceRelay::collect(const FleetTable &Fleet,
                       const std::set<common::VmId> &Placed,
                       common::MonotonicTime Now) {
  std::vector<PeerEvidence> Evidence;
  auto Next = Placed.upper_bound(this->LastVm);
  for (std::size_t I = 0; I < Placed.size(); ++I) {
    if (Evidence.size() == MaxRelayedPeers)
      break;
    if (Next == Placed.end())
      Next = Placed.begin();
    const common::VmId &Vm = *Next++;
    this->LastVm = Vm;
    const PeerRecord *Peer = Fleet.find(Vm);
    if (Peer == nullptr || !Peer->IsConfirmed || Peer->IsLost ||
        Peer->Status.State != ServingState::Serving ||
        Now - Peer->EvidenceAt > MaxEvidenceAge)
      continue;
    // Rounded up, so that passing it on does not make evidence younger.
    Evidence.push_back(
        {Vm, Peer->Status.Incarnation, Peer->PeerAddress,
         std::chrono::ceil<std::chrono::milliseconds>(Now - Peer->EvidenceAt),
         Peer->Status.BusyPerMille});
  }
  return Evidence;
}

} // namespace acaciacross::membership
