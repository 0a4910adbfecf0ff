#ifndef ACACIACROSS_UPSTREAMS_DRAINRECORD_H
#define ACACIACROSS_UPSTREAMS_DRAINRECORD_H

#include "Common/Time.h"
#include "Upstreams/DrainSource.h"

#include <optional>
#include <set>

namespace acaciacross::upstreams {

/// State of one searcher in the drain registry.
struct DrainRecord {
  bool IsLeaving = true;
  /// Sources that reported this drain.
  std::set<DrainSource> Sources;
  common::MonotonicTime FirstSignalAt;
  /// Time of the last signal, not counting peers, which repeat old signals.
  common::MonotonicTime LastSignalAt;
  /// When a health page last reported the searcher as in service.
  std::optional<common::MonotonicTime> LastInServiceAt;
  /// Whether the process that drained has ended.
  bool IsProcessGone = false;
  /// Whether the process that drained had completed its cold start.
  bool WasWarm = false;

  /// When the searcher returned; valid only while IsLeaving is false.
  common::MonotonicTime ReturnedAt;
  /// Whether the VM list still shows the drain that has ended.
  bool IsVmListOutdated = false;
};

} // namespace acaciacross::upstreams

#endif
