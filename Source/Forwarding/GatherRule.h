#ifndef ACACIACROSS_FORWARDING_GATHERRULE_H
#define ACACIACROSS_FORWARDING_GATHERRULE_H

#include "Common/Identifiers.h"

#include <cstddef>
#include <vector>

namespace acaciacross::forwarding {

/// How a query over shards is answered.
struct GatherRule {
  /// One service for each shard.
  std::vector<common::ServiceName> Shards;
  /// Records in the answer: the greatest ones.
  std::size_t TopRecords = 0;
  /// Least share of the shards that makes an answer, 0 to 1.
  double MinCoverage = 1.0;

  /// The least number of shards that makes an answer; at least one.
  std::size_t minShards() const;
};

} // namespace acaciacross::forwarding

#endif
