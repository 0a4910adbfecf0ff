#ifndef ACACIACROSS_PEERING_PULLMEMORY_H
#define ACACIACROSS_PEERING_PULLMEMORY_H

#include "Common/Time.h"

#include <cstdint>

namespace acaciacross::peering {

/// What was last seen of the difference between this VM and one peer.
struct PullMemory {
  std::uint64_t OwnDigest = 0;
  std::uint64_t PeerDigest = 0;
  /// Since when these two digests stand against each other.
  common::MonotonicTime Since;
  common::MonotonicTime NextPullAt;
};

} // namespace acaciacross::peering

#endif
