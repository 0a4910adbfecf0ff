#ifndef ACACIACROSS_MEMBERSHIP_DRAINNOTICE_H
#define ACACIACROSS_MEMBERSHIP_DRAINNOTICE_H

#include "Common/Identifiers.h"

#include <chrono>

namespace acaciacross::membership {

/// Reports that a VM has seen a searcher leaving. Age is the time since the
/// first sign of it; a time point is of no use, because the monotonic clocks of
/// VMs are not comparable.
struct DrainNotice {
  common::SearcherId Searcher;
  std::chrono::milliseconds Age{0};

  bool operator==(const DrainNotice &) const = default;
};

} // namespace acaciacross::membership

#endif
