#ifndef ACACIACROSS_CONFIGURATION_DEPLOYMENTBUDGET_H
#define ACACIACROSS_CONFIGURATION_DEPLOYMENTBUDGET_H

#include <cstdint>

namespace acaciacross::configuration {

/// Bounds on what the deployment may use, published with the classes.
struct DeploymentBudget {
  /// Upper bound on entry VMs that run at one moment, those that are being
  /// replaced and their replacements both counted.
  std::uint32_t MaxEntryVms = 1;

  /// Upper bound on calls to the configuration service per second by all entry
  /// VMs together; a waiting watch counts as one.
  std::uint32_t MaxConfigurationCallsPerSecond = 100;
};

} // namespace acaciacross::configuration

#endif
