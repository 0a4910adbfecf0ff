#ifndef ACACIACROSS_QUERY_COMPLETEANSWER_H
#define ACACIACROSS_QUERY_COMPLETEANSWER_H

#include "Query/ShardAnswer.h"

#include <vector>

namespace acaciacross::query {

/// An answer from all shards of one snapshot.
struct CompleteAnswer {
  common::SnapshotId Snapshot;
  std::vector<ShardAnswer> ShardAnswers;
};

} // namespace acaciacross::query

#endif
