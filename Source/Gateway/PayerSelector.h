#ifndef ACACIACROSS_GATEWAY_PAYERSELECTOR_H
#define ACACIACROSS_GATEWAY_PAYERSELECTOR_H

#include "Gateway/MemoryClaim.h"

#include <cstddef>
#include <span>
#include <vector>

namespace acaciacross::gateway {

/// Decides which connections of callers end, and which requests begin, when
/// together they hold too much memory.
class PayerSelector {
public:
  explicit PayerSelector(std::size_t MaxBytes);

  /// Returns the indexes of the claims to end, none while the sum is within
  /// the limit. The claim that is largest and has made no progress for longest
  /// comes first; requests in progress are spared.
  std::vector<std::size_t> select(std::span<const MemoryClaim> Claims,
                                  common::MonotonicTime Now) const;

  /// Whether a complete request may begin. Held: memory of all connections with
  /// this one. Requests in progress can't be ended, so while these hold the
  /// memory, only requests begin that take no more than an equal share.
  bool admits(std::size_t RequestBytes, std::size_t Held,
              std::size_t Connections) const;

private:
  std::size_t MaxBytes;
};

} // namespace acaciacross::gateway

#endif
