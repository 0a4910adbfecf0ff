#ifndef ACACIACROSS_CONFIGURATION_PARTITIONMAP_H
#define ACACIACROSS_CONFIGURATION_PARTITIONMAP_H

#include "Configuration/ShardDefinition.h"

#include <vector>

namespace acaciacross::configuration {

/// How one snapshot of a service's index is split over searchers.
struct PartitionMap {
  common::SnapshotId Snapshot;
  std::vector<ShardDefinition> Shards;
};

} // namespace acaciacross::configuration

#endif
