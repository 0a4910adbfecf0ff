#ifndef ACACIACROSS_MEMBERSHIP_PEEREVIDENCE_H
#define ACACIACROSS_MEMBERSHIP_PEEREVIDENCE_H

#include "Common/Address.h"
#include "Common/Identifiers.h"

#include <chrono>
#include <cstddef>

namespace acaciacross::membership {

/// Maximum number of peers in one evidence message. With ids of usual length
/// they fit into one datagram of 1,200 bytes.
constexpr std::size_t MaxRelayedPeers = 20;

/// Evidence of a serving VM that another VM has from its own probes and passes
/// on.
struct PeerEvidence {
  common::VmId Vm;
  common::Incarnation Incarnation;
  /// For a receiver that does not know the VM yet and probes it.
  common::Address PeerAddress;
  /// Time since the probe was sent that the VM acknowledged as "serving".
  std::chrono::milliseconds Age{0};
  /// Share of about the last second in which its traffic thread was not
  /// waiting, in thousandths.
  unsigned BusyPerMille = 0;

  bool operator==(const PeerEvidence &) const = default;
};

} // namespace acaciacross::membership

#endif
