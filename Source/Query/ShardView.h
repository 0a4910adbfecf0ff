#ifndef ACACIACROSS_QUERY_SHARDVIEW_H
#define ACACIACROSS_QUERY_SHARDVIEW_H

#include "Common/Identifiers.h"
#include "Common/KeyRange.h"

#include <cstdint>
#include <vector>

namespace acaciacross::query {

/// One shard of a snapshot with the positions of its replicas in
/// ServiceView::Searchers.
struct ShardView {
  common::ShardId Id;
  common::KeyRange Range;
  std::uint64_t Documents = 0;
  std::vector<std::uint32_t> Replicas;
};

} // namespace acaciacross::query

#endif
