#ifndef ACACIACROSS_GATEWAY_MEMORYSHARES_H
#define ACACIACROSS_GATEWAY_MEMORYSHARES_H

#include <cstddef>

namespace acaciacross::gateway {

/// The budget of memory for all that this VM holds for its neighbours: half of
/// the memory of the VM, in two equal parts.
struct MemoryShares {
  /// Incomplete responses of searchers.
  std::size_t ResponseBytes = 0;
  /// Requests and unread responses of callers, and buffered input.
  std::size_t CallerBytes = 0;

  static MemoryShares of(std::size_t MemoryBytes);
};

} // namespace acaciacross::gateway

#endif
