#ifndef ACACIACROSS_GATEWAY_PAYERSELECTOR_H
#define ACACIACROSS_GATEWAY_PAYERSELECTOR_H

#include "Gateway/MemoryClaim.h"

#include <cstddef>
#include <span>
#include <vector>

namespace acaciacross::gateway {

/// Decides which connections of callers end when together they hold too much
/// memory.
class PayerSelector {
public:
  explicit PayerSelector(std::size_t MaxBytes);

  /// Returns the indexes of the claims to end, none while the sum is within
  /// the limit. The claim that is largest and has made no progress for longest
  /// comes first; requests in progress are spared.
  std::vector<std::size_t> select(std::span<const MemoryClaim> Claims,
                                  common::MonotonicTime Now) const;

private:
  std::size_t MaxBytes;
};

} // namespace acaciacross::gateway

#endif
