#ifndef ACACIACROSS_FLEET_FLEETSIZEMEMORY_H
#define ACACIACROSS_FLEET_FLEETSIZEMEMORY_H

#include "Common/SlidingMaximum.h"
#include "Common/Time.h"

#include <chrono>
#include <limits>

namespace acaciacross::fleet {

/// The largest fleet of the recent past: VMs that were lost a moment ago still
/// count in bounds over a window.
class FleetSizeMemory {
public:
  /// The size until the fleet is known: shares of it are as small as can be.
  static constexpr unsigned Unknown = std::numeric_limits<unsigned>::max();

  explicit FleetSizeMemory(std::chrono::milliseconds Window);

  /// IsLearning: addresses of possible peers are still to be tried.
  void note(common::MonotonicTime Now, unsigned Size, bool IsLearning);
  /// Unknown after the first note until the size stands for a while.
  unsigned largest(common::MonotonicTime Now);

private:
  unsigned Known = 0;
  common::MonotonicTime GrownAt;
  bool IsKnown = false;
  common::SlidingMaximum<unsigned> Sizes;
};

} // namespace acaciacross::fleet

#endif
