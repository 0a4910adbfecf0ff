#ifndef ACACIACROSS_SYSTEMTESTS_DEPLOYMENTPLAN_H
#define ACACIACROSS_SYSTEMTESTS_DEPLOYMENTPLAN_H

#include <chrono>
#include <cstdint>

namespace acaciacross::systemtests {

/// Size and settings of a deployment. The service "crew" has the repeatable
/// class "plots" and shards of 1,000 documents each. The service "weaving" has
/// one shard and the class "booking", which is not repeatable.
struct DeploymentPlan {
  std::uint32_t EntryVms = 3;
  std::uint32_t MaxEntryVms = 12;
  std::uint32_t CrewShards = 4;
  std::uint32_t CrewReplicas = 2;
  std::uint32_t WeavingReplicas = 2;
  std::uint32_t MaxConnections = 25;
  std::uint32_t Slots = 8;
  std::chrono::milliseconds ServiceTime{5};
  /// All entry VMs but the first get an address without a configuration
  /// service.
  bool OnlyFirstReachesConfiguration = false;
};

} // namespace acaciacross::systemtests

#endif
