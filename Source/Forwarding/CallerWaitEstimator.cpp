#include "Forwarding/CallerWaitEstimator.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

// With fewer samples there may be none from a caller on an open connection.
constexpr std::size_t MinSamples = 8;

} // namespace

std::optional<std::chrono::milliseconds>
CallerWaitEstimator::addSample(std::chrono::milliseconds RemainingWait) {
  this->RemainingWaits[this->Count++ % MaxSamples] = RemainingWait;
  if (this->Count < MinSamples)
    return std::nullopt;
  return std::ranges::max(this->RemainingWaits) - RemainingWait;
}

} // namespace acaciacross::forwarding
