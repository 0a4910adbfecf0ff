#ifndef ACACIACROSS_CONFIGURATION_PARTITIONMAP_H
#define ACACIACROSS_CONFIGURATION_PARTITIONMAP_H

#include "Configuration/ShardDefinition.h"

#include <vector>

namespace acaciacross::configuration {

/// Division of one snapshot of a service's index into shards and the searchers
/// that hold them.
struct PartitionMap {
  common::SnapshotId Snapshot;
  std::vector<ShardDefinition> Shards;
};

} // namespace acaciacross::configuration

#endif
