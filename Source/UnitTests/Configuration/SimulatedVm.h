#ifndef ACACIACROSS_UNITTESTS_CONFIGURATION_SIMULATEDVM_H
#define ACACIACROSS_UNITTESTS_CONFIGURATION_SIMULATEDVM_H

#include "Configuration/FallbackReadSchedule.h"

#include <cstdint>

namespace acaciacross::configuration {

/// One entry VM of the simulated fleet.
struct SimulatedVm {
  FallbackReadSchedule Schedule;
  common::MonotonicTime StartedAt;
  bool IsReader = false;
  bool CanRead = false;
  std::uint64_t Revision = 0;
  /// Revision pulled from a peer; in effect from the next step on.
  std::uint64_t PulledRevision = 0;
  common::MonotonicTime NextPullAt{};
  /// End of the current watch, or of the delay after a failed one.
  common::MonotonicTime NextWatchAt{};
};

} // namespace acaciacross::configuration

#endif
