#ifndef ACACIACROSS_FLEET_FLEETSIZEMEMORY_H
#define ACACIACROSS_FLEET_FLEETSIZEMEMORY_H

#include "Common/Time.h"

#include <chrono>
#include <deque>
#include <utility>

namespace acaciacross::fleet {

/// The largest fleet of the recent past: VMs that were lost a moment ago still
/// count in bounds over a window.
class FleetSizeMemory {
public:
  explicit FleetSizeMemory(std::chrono::milliseconds Window);

  void note(common::MonotonicTime Now, unsigned Size);
  /// At least 1.
  unsigned largest(common::MonotonicTime Now);

private:
  std::chrono::milliseconds Length;
  /// Sizes that fall with their time.
  std::deque<std::pair<common::MonotonicTime, unsigned>> Sizes;
};

} // namespace acaciacross::fleet

#endif
