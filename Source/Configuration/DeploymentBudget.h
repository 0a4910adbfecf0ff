#ifndef ACACIACROSS_CONFIGURATION_DEPLOYMENTBUDGET_H
#define ACACIACROSS_CONFIGURATION_DEPLOYMENTBUDGET_H

#include <cstdint>

namespace acaciacross::configuration {

/// Limits on the resources of the whole deployment, published with the classes.
struct DeploymentBudget {
  /// Maximum number of entry VMs that run at the same time, including both the
  /// VMs that are being replaced and their replacements.
  std::uint32_t MaxEntryVms = 1;

  /// Maximum number of calls to the configuration service per second by all
  /// entry VMs together; a watch that waits counts as one call.
  std::uint32_t MaxConfigurationCallsPerSecond = 100;
};

} // namespace acaciacross::configuration

#endif
