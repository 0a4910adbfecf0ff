#ifndef ACACIACROSS_NODE_NODESETTINGS_H
#define ACACIACROSS_NODE_NODESETTINGS_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Forwarding/RepeatBudgetSettings.h"

#include <chrono>
#include <string>
#include <vector>

namespace acaciacross::node {

/// What a VM is told at its start.
struct NodeSettings {
  common::VmId Vm;
  std::string FailureDomain;
  /// Processor that this VM may use, in thousandths of a core; 0 when unknown.
  unsigned CapacityMilliCores = 0;
  /// Where callers connect, and are told to connect.
  common::Address Callers;
  /// Where readiness is asked for.
  common::Address Readiness;
  /// Where callers ask for addresses.
  common::Address Directory;
  /// Where metrics are read.
  common::Address Metrics;
  /// Probes between VMs.
  common::Address Peers;
  std::vector<common::Address> Seeds;
  /// The store with routes and searchers.
  common::Address Store;
  forwarding::RepeatBudgetSettings Repeats;
  /// Time after which what the store publishes must be in effect.
  std::chrono::milliseconds ChangesApplyWithin{3'000};
  /// Time from the signal to stop until the process is killed.
  std::chrono::milliseconds StopLimit{6'000};
};

} // namespace acaciacross::node

#endif
