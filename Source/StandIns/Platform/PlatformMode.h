#ifndef ACACIACROSS_STANDINS_PLATFORM_PLATFORMMODE_H
#define ACACIACROSS_STANDINS_PLATFORM_PLATFORMMODE_H

#include <chrono>
#include <cstdint>
#include <limits>

namespace acaciacross::standins {

/// Faults of the platform that tests switch on.
struct PlatformMode {
  bool ConfigurationDown = false;
  bool VmListDown = false;
  /// Revisions above this one are not shown.
  std::uint64_t LatestShown = std::numeric_limits<std::uint64_t>::max();
  std::chrono::milliseconds VmListLag{0};
};

} // namespace acaciacross::standins

#endif
