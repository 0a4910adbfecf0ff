#ifndef ACACIACROSS_UPSTREAMS_SEARCHERSTATE_H
#define ACACIACROSS_UPSTREAMS_SEARCHERSTATE_H

#include "Upstreams/FailureStatistics.h"
#include "Upstreams/HealthPage.h"
#include "Upstreams/LoadPage.h"
#include "Upstreams/ReplicaGroup.h"
#include "Upstreams/TrackedSearcher.h"

#include <optional>

namespace acaciacross::upstreams {

/// What the tracker knows of one searcher.
struct SearcherState {
  TrackedSearcher Identity;
  common::ServiceName Service;
  std::vector<ReplicaGroup> Groups;

  FailureStatistics Statistics;
  /// Last reply that did not say "draining".
  std::optional<common::MonotonicTime> LastCleanReplyAt;

  std::optional<common::MonotonicTime> EjectedAt;
  common::MonotonicTime EjectedUntil;
  std::uint32_t Ejections = 0;
  std::optional<common::MonotonicTime> LastRestoredAt;

  /// Set during slow start.
  std::optional<common::MonotonicTime> WarmingSince;

  HealthPage Health;
  std::optional<common::MonotonicTime> HealthAt;
  LoadPage Load;
  std::optional<common::MonotonicTime> LoadAt;

  /// Share as last reported to the control state.
  double Share = 1.0;
};

} // namespace acaciacross::upstreams

#endif
