#ifndef ACACIACROSS_QUERY_SHARDREPLY_H
#define ACACIACROSS_QUERY_SHARDREPLY_H

#include "Common/AttemptId.h"
#include "Common/KeyRange.h"

#include <string>

namespace acaciacross::query {

/// Reply of a searcher. The fields besides Body state what it answers and are
/// compared with the attempt.
struct ShardReply {
  common::AttemptId Attempt;
  common::SnapshotId Snapshot;
  common::ShardId Shard;
  common::KeyRange Range;
  std::string Body;
};

} // namespace acaciacross::query

#endif
