#ifndef ACACIACROSS_UPSTREAMS_DRAINRECORD_H
#define ACACIACROSS_UPSTREAMS_DRAINRECORD_H

#include "Common/Time.h"
#include "Upstreams/DrainSource.h"

#include <optional>
#include <set>

namespace acaciacross::upstreams {

/// What the drain registry knows of one searcher.
struct DrainRecord {
  bool Leaving = true;
  /// Sources that showed this drain.
  std::set<DrainSource> Sources;
  common::MonotonicTime FirstSignAt;
  /// Last sign of any source but peers, which repeat old signs.
  common::MonotonicTime LastSignAt;
  /// When a page last said that the searcher is in service.
  std::optional<common::MonotonicTime> LastHealthyAt;
  /// The process that drained has gone.
  bool Gone = false;
  /// The process that drained had ended its cold start.
  bool WasWarm = false;

  /// Set when Leaving is false.
  common::MonotonicTime ReturnedAt;
  /// The VM list still shows the old drain.
  bool ListIsOld = false;
};

} // namespace acaciacross::upstreams

#endif
