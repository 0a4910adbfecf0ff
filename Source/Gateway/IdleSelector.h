#ifndef ACACIACROSS_GATEWAY_IDLESELECTOR_H
#define ACACIACROSS_GATEWAY_IDLESELECTOR_H

#include "Gateway/IdleClaim.h"

#include <chrono>
#include <cstddef>
#include <span>
#include <vector>

namespace acaciacross::gateway {

/// Decides which connections make room for new ones.
class IdleSelector {
public:
  /// Returns the indexes of up to Count claims: connections that never brought
  /// a request first, then those that are idle for longest. Connections that
  /// are idle for less than MinIdleTime are spared.
  static std::vector<std::size_t> select(std::span<const IdleClaim> Claims,
                                         std::size_t Count,
                                         std::chrono::milliseconds MinIdleTime,
                                         common::MonotonicTime Now);
};

} // namespace acaciacross::gateway

#endif
