#include "Fleet/FleetSizeTracker.h"

namespace acaciacross::fleet {

namespace {

// A starting VM learns of its peers over several rounds of probes and would
// take too large a share until then, possibly at the same time as all others.
// The size counts as known if no new peer was found during this time.
constexpr std::chrono::milliseconds StableTime{350};

} // namespace

FleetSizeTracker::FleetSizeTracker(std::chrono::milliseconds Window)
    : Sizes(Window) {}

void FleetSizeTracker::record(common::MonotonicTime Now, unsigned Size,
                              bool IsDiscovering) {
  if (!this->IsSizeKnown && (Size > this->LargestSize || IsDiscovering)) {
    this->LargestSize = Size;
    this->LastGrowthAt = Now;
  }
  if (Now - this->LastGrowthAt >= StableTime)
    this->IsSizeKnown = true;
  this->Sizes.add(Now, Size);
}

unsigned FleetSizeTracker::largest(common::MonotonicTime Now) {
  return this->IsSizeKnown ? this->Sizes.maximum(Now) : Unknown;
}

} // namespace acaciacross::fleet
