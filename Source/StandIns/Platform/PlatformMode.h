#ifndef ACACIACROSS_STANDINS_PLATFORM_PLATFORMMODE_H
#define ACACIACROSS_STANDINS_PLATFORM_PLATFORMMODE_H

#include <chrono>
#include <cstdint>
#include <limits>

namespace acaciacross::standins {

/// Faults that tests set on the platform.
struct PlatformMode {
  bool IsConfigurationDown = false;
  bool IsVmListDown = false;
  /// Readers get no revision above this one.
  std::uint64_t LatestVisibleRevision =
      std::numeric_limits<std::uint64_t>::max();
  /// Age of the VM list that readers get.
  std::chrono::milliseconds VmListLag{0};
};

} // namespace acaciacross::standins

#endif
