#ifndef ACACIACROSS_UNITTESTS_CONFIGURATION_READINGVM_H
#define ACACIACROSS_UNITTESTS_CONFIGURATION_READINGVM_H

#include "Configuration/ReadSchedule.h"

#include <cstdint>

namespace acaciacross::configuration {

/// One entry VM of a schedule.
struct ReadingVm {
  ReadSchedule Reads;
  common::MonotonicTime StartedAt;
  bool IsReader = false;
  bool CanRead = false;
  std::uint64_t Revision = 0;
  /// Pulled from a peer; in effect from the next step.
  std::uint64_t Pulled = 0;
  common::MonotonicTime NextPullAt{};
  /// The end of the watch under way, or of the wait after a failed one.
  common::MonotonicTime NextWatchAt{};
};

} // namespace acaciacross::configuration

#endif
