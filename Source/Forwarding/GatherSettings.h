#ifndef ACACIACROSS_FORWARDING_GATHERSETTINGS_H
#define ACACIACROSS_FORWARDING_GATHERSETTINGS_H

#include "Common/Identifiers.h"

#include <cstddef>
#include <vector>

namespace acaciacross::forwarding {

/// Settings for queries that are sent to several shards.
struct GatherSettings {
  /// The services to query, one per shard.
  std::vector<common::ServiceName> Shards;
  /// Number of records in the answer; the greatest ones are kept.
  std::size_t TopRecords = 0;
  /// Minimum share of the shards, 0 to 1, that an answer needs.
  double MinCoverage = 1.0;

  /// Minimum number of shards that an answer needs, at least 1.
  std::size_t minShards() const;
};

} // namespace acaciacross::forwarding

#endif
