#ifndef ACACIACROSS_PEERING_PROBEMESSAGE_H
#define ACACIACROSS_PEERING_PROBEMESSAGE_H

#include "Membership/Heartbeat.h"

#include <cstdint>

namespace acaciacross::peering {

/// Asks a peer for an acknowledgement. The caller address and the failure
/// domain of the sender are not encoded: only acknowledgements count as
/// evidence that a VM is live, so a receiver would not use them.
struct ProbeMessage {
  std::uint64_t Sequence = 0;
  membership::Heartbeat Content;

  bool operator==(const ProbeMessage &) const = default;
};

} // namespace acaciacross::peering

#endif
