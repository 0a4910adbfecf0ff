#ifndef ACACIACROSS_SYSTEMTESTS_DEPLOYMENTPLAN_H
#define ACACIACROSS_SYSTEMTESTS_DEPLOYMENTPLAN_H

#include <chrono>
#include <cstdint>

namespace acaciacross::systemtests {

/// What a test starts. The service "crew" has a repeatable class "plots" and
/// shards of 1,000 documents each; the service "weaving" has one shard and the
/// class "booking", which is not repeatable.
struct DeploymentPlan {
  std::uint32_t EntryVms = 3;
  std::uint32_t MaxEntryVms = 12;
  std::uint32_t CrewShards = 4;
  std::uint32_t CrewReplicas = 2;
  std::uint32_t WeavingReplicas = 2;
  std::uint32_t MaxConnections = 25;
  std::uint32_t Slots = 8;
  std::chrono::milliseconds ServiceTime{5};
  /// Entry VMs after the first get the address of no configuration service.
  bool OnlyFirstReachesConfiguration = false;
};

} // namespace acaciacross::systemtests

#endif
