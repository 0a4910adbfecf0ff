#ifndef ACACIACROSS_QUERY_REPLYCHECK_H
#define ACACIACROSS_QUERY_REPLYCHECK_H

#include "Query/ShardReply.h"
#include "Query/ShardView.h"

namespace acaciacross::query {

/// Values that a reply has to match to be accepted.
struct ReplyCheck {
  const common::AttemptId &Attempt;
  const common::SnapshotId &Snapshot;
  const ShardView &Shard;

  bool accepts(const ShardReply &Reply) const;
};

} // namespace acaciacross::query

#endif
