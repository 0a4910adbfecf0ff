#ifndef ACACIACROSS_GATEWAY_MEMORYUSE_H
#define ACACIACROSS_GATEWAY_MEMORYUSE_H

#include <cstdint>

namespace acaciacross::gateway {

/// What the connection of a caller holds memory for.
enum class MemoryUse : std::uint8_t {
  /// Part of a request.
  Receiving,
  /// A request that is in progress; nothing of it depends on the caller.
  Serving,
  /// Response that the caller has not read.
  Sending,
};

} // namespace acaciacross::gateway

#endif
