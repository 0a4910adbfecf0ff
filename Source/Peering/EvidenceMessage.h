#ifndef ACACIACROSS_PEERING_EVIDENCEMESSAGE_H
#define ACACIACROSS_PEERING_EVIDENCEMESSAGE_H

#include "Membership/PeerEvidence.h"

#include <cstdint>
#include <vector>

namespace acaciacross::peering {

/// Sent with the acknowledgement of a probe of a standby VM, before it. The
/// receiver dates the evidence back from the time at which it sent that probe.
struct EvidenceMessage {
  /// Sequence number of the probe.
  std::uint64_t Sequence = 0;
  std::vector<membership::PeerEvidence> Peers;

  bool operator==(const EvidenceMessage &) const = default;
};

} // namespace acaciacross::peering

#endif
