#ifndef ACACIACROSS_PEERING_PROBEACKMESSAGE_H
#define ACACIACROSS_PEERING_PROBEACKMESSAGE_H

#include "Membership/Heartbeat.h"

#include <cstdint>

namespace acaciacross::peering {

/// Acknowledges the probe with the same sequence number.
struct ProbeAckMessage {
  std::uint64_t Sequence = 0;
  membership::Heartbeat Content;

  bool operator==(const ProbeAckMessage &) const = default;
};

} // namespace acaciacross::peering

#endif
