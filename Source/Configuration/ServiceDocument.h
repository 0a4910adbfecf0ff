#ifndef ACACIACROSS_CONFIGURATION_SERVICEDOCUMENT_H
#define ACACIACROSS_CONFIGURATION_SERVICEDOCUMENT_H

#include "Configuration/PartitionMap.h"
#include "Configuration/SearcherDefinition.h"

#include <vector>

namespace acaciacross::configuration {

/// Parsed document of a key "service/<name>".
struct ServiceDocument {
  common::ServiceName Name;
  std::vector<SearcherDefinition> Searchers;
  /// Newest snapshot first.
  std::vector<PartitionMap> Snapshots;
};

} // namespace acaciacross::configuration

#endif
