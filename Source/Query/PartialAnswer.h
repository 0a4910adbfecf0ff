#ifndef ACACIACROSS_QUERY_PARTIALANSWER_H
#define ACACIACROSS_QUERY_PARTIALANSWER_H

#include "Query/MissingShard.h"
#include "Query/ShardAnswer.h"

#include <vector>

namespace acaciacross::query {

/// An answer from some, but not all, shards of one snapshot.
struct PartialAnswer {
  common::SnapshotId Snapshot;
  /// Number of documents in the answered shards divided by the number in the
  /// snapshot's own partition map.
  double Coverage = 0.0;
  std::vector<ShardAnswer> ShardAnswers;
  std::vector<MissingShard> Missing;
};

} // namespace acaciacross::query

#endif
