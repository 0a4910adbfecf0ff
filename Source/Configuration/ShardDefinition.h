#ifndef ACACIACROSS_CONFIGURATION_SHARDDEFINITION_H
#define ACACIACROSS_CONFIGURATION_SHARDDEFINITION_H

#include "Common/Identifiers.h"
#include "Common/KeyRange.h"

#include <cstdint>
#include <vector>

namespace acaciacross::configuration {

/// One shard of a partition map.
struct ShardDefinition {
  common::ShardId Id;
  common::KeyRange Range;
  /// Number of documents; the weight of the shard in the coverage of an answer.
  std::uint64_t Documents = 0;
  std::vector<common::SearcherId> Replicas;
};

} // namespace acaciacross::configuration

#endif
