#ifndef ACACIACROSS_QUERY_SNAPSHOTVIEW_H
#define ACACIACROSS_QUERY_SNAPSHOTVIEW_H

#include "Query/ShardView.h"

#include <vector>

namespace acaciacross::query {

/// Partition map of one snapshot.
struct SnapshotView {
  common::SnapshotId Id;
  std::vector<ShardView> Shards;
};

} // namespace acaciacross::query

#endif
