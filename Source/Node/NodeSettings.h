#ifndef ACACIACROSS_NODE_NODESETTINGS_H
#define ACACIACROSS_NODE_NODESETTINGS_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Forwarding/ColdStartSettings.h"
#include "Forwarding/RetryBudgetSettings.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciacross::node {

/// Settings of a VM, as read at its start.
struct NodeSettings {
  common::VmId Vm;
  std::string FailureDomain;
  /// The region of each failure domain; empty when the settings do not say.
  std::map<std::string, std::string> RegionByDomain;
  /// CPU capacity of this VM, in thousandths of a core; 0 when unknown.
  unsigned CapacityMilliCores = 0;
  /// Address for connections of callers, also as published to them.
  common::Address CallerAddress;
  /// Address of the readiness page.
  common::Address ReadinessAddress;
  /// Address at which callers request the addresses of entry VMs.
  common::Address DirectoryAddress;
  /// Address of the metrics page.
  common::Address MetricsAddress;
  /// Address for probes between VMs.
  common::Address PeerAddress;
  /// Addresses of VMs that are probed to join the fleet.
  std::vector<common::Address> SeedAddresses;
  /// Address of the store that publishes routes and searchers.
  common::Address StoreAddress;
  forwarding::RetryBudgetSettings RetryBudget;
  forwarding::ColdStartSettings ColdStart;
  /// Memory of this VM.
  std::size_t MemoryBytes = std::size_t{128} << 20;
  /// Most sockets of this process; by default the limit of the system counts.
  std::optional<std::size_t> MaxSockets;
  /// Maximum time until a change in the store is in effect on this VM.
  std::chrono::milliseconds MaxChangeDelay{3'000};
  /// Time from the stop signal until the process is killed.
  std::chrono::milliseconds StopLimit{6'000};
  /// Settings that were left out because they are not valid, and why.
  std::vector<std::string> Problems;
};

} // namespace acaciacross::node

#endif
