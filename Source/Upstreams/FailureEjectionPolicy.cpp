#include "Upstreams/FailureEjectionPolicy.h"

#include <algorithm>

namespace acaciacross::upstreams {

namespace {

constexpr std::uint32_t FaultyScoreThreshold = 10;
// A failure rate over fewer results is not significant.
constexpr std::uint32_t MinResultsForRate = 20;
constexpr std::chrono::seconds InitialEjectionTime{5};
constexpr std::chrono::seconds MaxEjectionTime{300};
constexpr std::uint32_t MaxEjectionDoublings = 6;
// With fewer searchers, a majority is one or two, which may well be faulty
// themselves.
constexpr std::size_t MinObservedForLocalFault = 4;

} // namespace

bool FailureEjectionPolicy::isFaulty(const FailureStatistics &Statistics,
                                     common::MonotonicTime Now) const {
  if (Statistics.failureScore() >= FaultyScoreThreshold)
    return true;
  const std::uint32_t Results = Statistics.recentResults(Now);
  return Results >= MinResultsForRate &&
         Statistics.recentFailures(Now) * 2 >= Results;
}

std::chrono::nanoseconds
FailureEjectionPolicy::ejectionTime(std::uint32_t EarlierEjections) const {
  const auto Factor = 1U << std::min(EarlierEjections, MaxEjectionDoublings);
  return std::min(InitialEjectionTime * Factor, MaxEjectionTime);
}

std::size_t FailureEjectionPolicy::maxEjected(std::size_t ReplicaCount) const {
  return ReplicaCount / 3;
}

bool FailureEjectionPolicy::suspectsLocalFault(
    std::size_t FailingCount, std::size_t ObservedCount) const {
  return ObservedCount >= MinObservedForLocalFault &&
         FailingCount * 2 > ObservedCount;
}

} // namespace acaciacross::upstreams
