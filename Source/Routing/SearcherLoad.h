#ifndef ACACIACROSS_ROUTING_SEARCHERLOAD_H
#define ACACIACROSS_ROUTING_SEARCHERLOAD_H

#include <cstdint>

namespace acaciacross::routing {

/// State that PowerOfTwoSelector keeps for one searcher. The struct is small so
/// that a table of 42,000 searchers stays in the L2 cache.
struct SearcherLoad {
  /// 1 / (slots * share), multiplied by a penalty if the searcher is in another
  /// zone.
  float CostPerAttempt = 0.0F;
  std::uint32_t InFlight = 0;
  /// Connections that count against the quota although no attempt uses them.
  std::uint32_t ReservedConnections = 0;
  /// Maximum number of connections to the searcher; 0 if it must not get new
  /// attempts because it is ejected, leaving or not in the newest view.
  std::uint32_t Quota = 0;
  /// Exponential moving average of attempt failures, in [0, 1].
  float FailureRate = 0.0F;
};

} // namespace acaciacross::routing

#endif
