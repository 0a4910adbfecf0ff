#ifndef ACACIACROSS_GATEWAY_RESPONSEBUFFERBUDGET_H
#define ACACIACROSS_GATEWAY_RESPONSEBUFFERBUDGET_H

#include "Forwarding/AttemptNumber.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace acaciacross::gateway {

/// Bounds the memory of all incomplete responses of searchers together. A query
/// over many shards has many of them, and each may grow without end.
class ResponseBufferBudget {
public:
  explicit ResponseBufferBudget(std::size_t MaxBytes);

  /// Sets how much memory the response of an attempt holds. Returns the attempt
  /// to end when all of them hold too much: the one with the largest response,
  /// which is the least likely to be a useful one.
  std::optional<forwarding::AttemptNumber>
  update(forwarding::AttemptNumber Attempt, std::size_t Bytes);
  void release(forwarding::AttemptNumber Attempt);

  std::size_t heldBytes() const;
  /// The most bytes that were held at a time.
  std::size_t peakBytes() const;

private:
  std::size_t MaxBytes;
  std::size_t HeldBytes = 0;
  std::size_t PeakBytes = 0;
  std::unordered_map<forwarding::AttemptNumber, std::size_t> BytesByAttempt;
};

} // namespace acaciacross::gateway

#endif
