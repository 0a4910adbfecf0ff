#ifndef ACACIACROSS_DISCOVERY_FALLBACKRANK_H
#define ACACIACROSS_DISCOVERY_FALLBACKRANK_H

#include "Common/Identifiers.h"

#include <cstddef>
#include <span>

namespace acaciacross::discovery {

/// The position of a VM in the order in which VMs begin to read the store when
/// the elected readers report no answer. VMs with the same view of the fleet
/// agree on it.
struct FallbackRank {
  std::size_t Position = 0;
  std::size_t Count = 1;

  /// Live: all live VMs, Own among them.
  static FallbackRank of(const common::VmId &Own,
                         std::span<const common::VmId> Live);
};

} // namespace acaciacross::discovery

#endif
