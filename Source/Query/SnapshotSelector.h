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
  /// Position in ServiceView::Snapshots of the newest snapshot with two usable
  /// replicas for each shard, else of the newest with one, else of the one with
  /// the most documents on usable replicas. Snapshots in Excluded are left out.
  /// Empty when no snapshot has a shard with a usable replica.
  std::optional<std::size_t>
  select(const ServiceView &Service,
         std::span<const common::SnapshotId> Excluded) const;
};

} // namespace acaciacross::query

#endif
