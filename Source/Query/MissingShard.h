#ifndef ACACIACROSS_QUERY_MISSINGSHARD_H
#define ACACIACROSS_QUERY_MISSINGSHARD_H

#include "Common/Identifiers.h"
#include "Common/KeyRange.h"

namespace acaciacross::query {

/// A shard of the snapshot that an answer does not cover.
struct MissingShard {
  common::ShardId Shard;
  common::KeyRange Range;
};

} // namespace acaciacross::query

#endif
