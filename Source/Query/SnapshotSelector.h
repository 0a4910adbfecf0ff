#ifndef ACACIACROSS_QUERY_SNAPSHOTSELECTOR_H
#define ACACIACROSS_QUERY_SNAPSHOTSELECTOR_H

#include "Query/ServiceView.h"

#include <cstddef>
#include <optional>
#include <span>

namespace acaciacross::query {

/// Chooses the snapshot that a query is pinned to.
class SnapshotSelector {
public:
  /// Position in ServiceView::Snapshots, leaving out those in Excluded: the
  /// newest with two usable replicas for each shard, else the newest with one,
  /// else the one with the most documents in reach. Empty when no shard of any
  /// snapshot can be reached.
  std::optional<std::size_t>
  select(const ServiceView &Service,
         std::span<const common::SnapshotId> Excluded) const;
};

} // namespace acaciacross::query

#endif
