#ifndef ACACIACROSS_FORWARDING_CALLERWAITESTIMATOR_H
#define ACACIACROSS_FORWARDING_CALLERWAITESTIMATOR_H

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

namespace acaciacross::forwarding {

/// Estimates how long callers of one route had waited when they sent, from how
/// long they still wait. Callers of a route have about the same timeout, and
/// those on an open connection send at once, so the longest recent time is that
/// of a caller that has not waited before.
class CallerWaitEstimator {
public:
  /// Adds the time that a caller still waits after sending. Returns how long it
  /// had waited before; empty until there are enough samples.
  std::optional<std::chrono::milliseconds>
  addSample(std::chrono::milliseconds RemainingWait);

private:
  // Few samples, so that the estimate follows when callers shorten their
  // timeouts.
  static constexpr std::size_t MaxSamples = 64;

  std::array<std::chrono::milliseconds, MaxSamples> RemainingWaits{};
  std::size_t Count = 0;
};

} // namespace acaciacross::forwarding

#endif
