#ifndef ACACIACROSS_ROUTING_SEARCHERLOAD_H
#define ACACIACROSS_ROUTING_SEARCHERLOAD_H

#include <cstdint>

namespace acaciacross::routing {

/// What PowerOfTwoSelector keeps of one searcher. Kept small: at 42,000
/// searchers the table should stay in the processor's second-level cache.
struct SearcherLoad {
  /// 1 / (slots * share), times the penalty of another zone.
  float CostPerAttempt = 0.0F;
  std::uint32_t InFlight = 0;
  /// Connections that something else than an attempt takes from the quota.
  std::uint32_t Held = 0;
  /// 0 for a searcher that may not get new attempts: ejected, leaving or not
  /// in the newest view.
  std::uint32_t Quota = 0;
  /// Moving average of failed attempts, in [0, 1].
  float FailureRate = 0.0F;
};

} // namespace acaciacross::routing

#endif
