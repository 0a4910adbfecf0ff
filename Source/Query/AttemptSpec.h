#ifndef ACACIACROSS_QUERY_ATTEMPTSPEC_H
#define ACACIACROSS_QUERY_ATTEMPTSPEC_H

#include "Common/Address.h"
#include "Common/AttemptId.h"
#include "Common/KeyRange.h"
#include "Common/Time.h"

#include <string>

namespace acaciacross::query {

/// What an attempt sends: one request to one searcher for one shard.
struct AttemptSpec {
  common::AttemptId Id;
  common::SearcherIndex Searcher;
  common::Address Endpoint;
  common::RequestId Request;
  common::ClassName Class;
  common::SnapshotId Snapshot;
  common::ShardId Shard;
  common::MonotonicTime Deadline;
  common::WallTime WallDeadline;
  bool Repeatable = true;
  std::string Body;
};

} // namespace acaciacross::query

#endif
