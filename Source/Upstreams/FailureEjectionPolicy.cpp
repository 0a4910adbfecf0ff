#include "Upstreams/FailureEjectionPolicy.h"

#include <algorithm>

namespace acaciacross::upstreams {

namespace {

constexpr std::uint32_t FaultyScore = 10;
// Below this many results a rate says little.
constexpr std::uint32_t MinResultsForRate = 20;
constexpr std::chrono::seconds FirstEjection{5};
constexpr std::chrono::seconds LongestEjection{300};
constexpr std::uint32_t MaxDoublings = 6;
// With fewer searchers, "most of them" is one or two, which may well be at
// fault themselves.
constexpr std::size_t MinObservedForSuspicion = 4;

} // namespace

bool FailureEjectionPolicy::isFaulty(const FailureStatistics &Statistics,
                                     common::MonotonicTime Now) const {
  if (Statistics.failureScore() >= FaultyScore)
    return true;
  const std::uint32_t Results = Statistics.recentResults(Now);
  return Results >= MinResultsForRate &&
         Statistics.recentFailures(Now) * 2 >= Results;
}

std::chrono::nanoseconds
FailureEjectionPolicy::ejectionTime(std::uint32_t Earlier) const {
  const auto Factor = 1U << std::min(Earlier, MaxDoublings);
  return std::min(FirstEjection * Factor, LongestEjection);
}

std::size_t FailureEjectionPolicy::maxEjected(std::size_t Replicas) const {
  return Replicas / 3;
}

bool FailureEjectionPolicy::suspectsSelf(std::size_t Failing,
                                         std::size_t Observed) const {
  return Observed >= MinObservedForSuspicion && Failing * 2 > Observed;
}

} // namespace acaciacross::upstreams
