#ifndef ACACIACROSS_TESTSUPPORT_EXECUTIONRECORD_H
#define ACACIACROSS_TESTSUPPORT_EXECUTIONRECORD_H

#include "Common/AttemptId.h"
#include "Common/Identifiers.h"
#include "Common/Time.h"

namespace acaciacross::testsupport {

/// Record of an attempt whose work a fake searcher started.
struct ExecutionRecord {
  common::AttemptId Attempt;
  common::RequestId Request;
  common::SearcherIndex Searcher;
  common::SnapshotId Snapshot;
  common::ShardId Shard;
  common::MonotonicTime StartedAt;
};

} // namespace acaciacross::testsupport

#endif
