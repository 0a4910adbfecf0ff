#ifndef ACACIACROSS_PEERING_PEERPULLSTATE_H
#define ACACIACROSS_PEERING_PEERPULLSTATE_H

#include "Common/Time.h"

#include <cstdint>

namespace acaciacross::peering {

/// State of the difference between this VM and one peer, and of the pulls for
/// it.
struct PeerPullState {
  std::uint64_t OwnDigest = 0;
  std::uint64_t PeerDigest = 0;
  /// Time at which this pair of digests was first seen.
  common::MonotonicTime FirstSeenAt;
  common::MonotonicTime NextPullAt;
};

} // namespace acaciacross::peering

#endif
