#ifndef ACACIACROSS_FLEET_FLEETSIZETRACKER_H
#define ACACIACROSS_FLEET_FLEETSIZETRACKER_H

#include "Common/SlidingMaximum.h"
#include "Common/Time.h"

#include <chrono>
#include <limits>

namespace acaciacross::fleet {

/// Tracks the largest fleet size within a time window. VMs that were lost
/// recently still count in limits that apply over the window.
class FleetSizeTracker {
public:
  /// The size until the fleet is known; it makes this VM's share of any limit
  /// as small as possible.
  static constexpr unsigned Unknown = std::numeric_limits<unsigned>::max();

  explicit FleetSizeTracker(std::chrono::milliseconds Window);

  /// Records the current size. IsDiscovering: some addresses of possible peers
  /// have not been probed yet.
  void record(common::MonotonicTime Now, unsigned Size, bool IsDiscovering);
  /// Returns the largest size within the window; Unknown after the first
  /// record() until the size has been stable for a while.
  unsigned largest(common::MonotonicTime Now);

private:
  unsigned LargestSize = 0;
  common::MonotonicTime LastGrowthAt;
  bool IsSizeKnown = false;
  common::SlidingMaximum<unsigned> Sizes;
};

} // namespace acaciacross::fleet

#endif
