#ifndef ACACIACROSS_GATEWAY_MEMORYCLAIM_H
#define ACACIACROSS_GATEWAY_MEMORYCLAIM_H

#include "Common/Time.h"
#include "Gateway/MemoryUse.h"

#include <cstddef>

namespace acaciacross::gateway {

/// The memory that one connection of a caller holds.
struct MemoryClaim {
  std::size_t Bytes = 0;
  MemoryUse Use = MemoryUse::Receiving;
  /// When the caller last sent or read anything.
  common::MonotonicTime ProgressAt;
};

} // namespace acaciacross::gateway

#endif
