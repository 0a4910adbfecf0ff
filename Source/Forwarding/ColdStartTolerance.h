#ifndef ACACIACROSS_FORWARDING_COLDSTARTTOLERANCE_H
#define ACACIACROSS_FORWARDING_COLDSTARTTOLERANCE_H

#include <chrono>

namespace acaciacross::forwarding {

/// What the searchers of a service tolerate while they are cold.
struct ColdStartTolerance {
  /// How long a searcher is cold after its start.
  std::chrono::milliseconds Duration{0};
  /// Requests per second of all VMs together; above 0.
  double RequestsPerSecond = 0.0;

  bool operator==(const ColdStartTolerance &) const = default;
};

} // namespace acaciacross::forwarding

#endif
