#ifndef ACACIACROSS_QUERY_QUERYSTATISTICS_H
#define ACACIACROSS_QUERY_QUERYSTATISTICS_H

#include <cstdint>

namespace acaciacross::query {

/// Counts the attempts of one query, or of several when added up.
struct QueryStatistics {
  /// First attempts of the shards.
  std::uint32_t FirstAttempts = 0;
  /// Attempts charged to the extra-load budget: hedges, retries and restarts.
  std::uint32_t ExtraAttempts = 0;
  /// Replacements of attempts that were not sent; not charged to the budget.
  std::uint32_t FreeReplacements = 0;
  std::uint32_t Hedges = 0;
  std::uint32_t HedgesWon = 0;
  std::uint32_t CancelledAttempts = 0;
  std::uint32_t DiscardedReplies = 0;
  /// Attempts that searchers shed; a sign of overload.
  std::uint32_t ShedAttempts = 0;
  std::uint32_t Restarts = 0;

  /// Fraction of the attempts that searchers shed, in [0, 1].
  double shedShare() const;

  QueryStatistics &operator+=(const QueryStatistics &Other);
};

} // namespace acaciacross::query

#endif
