#ifndef ACACIACROSS_QUERY_PARTIALANSWER_H
#define ACACIACROSS_QUERY_PARTIALANSWER_H

#include "Query/MissingShard.h"
#include "Query/ShardAnswer.h"

#include <vector>

namespace acaciacross::query {

/// Some shards of one snapshot answered.
struct PartialAnswer {
  common::SnapshotId Snapshot;
  /// Documents in the answered shards by those of the snapshot's own map.
  double Coverage = 0.0;
  std::vector<ShardAnswer> Parts;
  std::vector<MissingShard> Missing;
};

} // namespace acaciacross::query

#endif
