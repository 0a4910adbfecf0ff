#ifndef ACACIACROSS_UPSTREAMS_SEARCHERSTATE_H
#define ACACIACROSS_UPSTREAMS_SEARCHERSTATE_H

#include "Upstreams/FailureStatistics.h"
#include "Upstreams/HealthPage.h"
#include "Upstreams/LoadPage.h"
#include "Upstreams/ReplicaGroup.h"
#include "Upstreams/TrackedSearcher.h"

#include <optional>

namespace acaciacross::upstreams {

/// State of one searcher in the upstream tracker.
struct SearcherState {
  TrackedSearcher Identity;
  common::ServiceName Service;
  std::vector<ReplicaGroup> Groups;

  FailureStatistics Statistics;
  /// Time of the last reply without the draining header.
  std::optional<common::MonotonicTime> LastNonDrainingReplyAt;

  std::optional<common::MonotonicTime> EjectedAt;
  common::MonotonicTime EjectedUntil;
  std::uint32_t ConsecutiveEjections = 0;
  std::optional<common::MonotonicTime> LastRestoredAt;

  /// Start of the slow start; empty when none is in progress.
  std::optional<common::MonotonicTime> SlowStartBeganAt;

  HealthPage Health;
  std::optional<common::MonotonicTime> HealthAt;
  LoadPage Load;
  std::optional<common::MonotonicTime> LoadAt;

  /// Fraction of its normal traffic that the searcher gets, in (0, 1].
  double Share = 1.0;
};

} // namespace acaciacross::upstreams

#endif
