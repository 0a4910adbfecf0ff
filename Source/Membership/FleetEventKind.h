#ifndef ACACIACROSS_MEMBERSHIP_FLEETEVENTKIND_H
#define ACACIACROSS_MEMBERSHIP_FLEETEVENTKIND_H

#include <cstdint>

namespace acaciacross::membership {

/// Kind of a fleet change, as recorded in the audit trail.
enum class FleetEventKind : std::uint8_t {
  /// The first evidence of a peer, or new evidence of a lost peer.
  Joined,
  Leaving,
  Lost,
  Restarted,
  /// Two live VMs have the same id.
  DuplicateId,
};

} // namespace acaciacross::membership

#endif
