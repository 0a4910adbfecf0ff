#ifndef ACACIACROSS_QUERY_QUERYSTATISTICS_H
#define ACACIACROSS_QUERY_QUERYSTATISTICS_H

#include <cstdint>

namespace acaciacross::query {

/// Counts of one query's work.
struct QueryStatistics {
  /// First attempts of the shards.
  std::uint32_t FirstAttempts = 0;
  /// Attempts paid from the budget: hedges, retries, restarts.
  std::uint32_t ExtraAttempts = 0;
  /// Replacements of attempts of which nothing was sent.
  std::uint32_t FreeReplacements = 0;
  std::uint32_t Hedges = 0;
  std::uint32_t HedgesWon = 0;
  std::uint32_t CancelledAttempts = 0;
  std::uint32_t DiscardedReplies = 0;
  /// Attempts that a searcher shed; a sign of overload.
  std::uint32_t ShedAttempts = 0;
  std::uint32_t Restarts = 0;

  /// Part of the attempts that searchers shed, in [0, 1].
  double shedPart() const;

  QueryStatistics &operator+=(const QueryStatistics &Other);
};

} // namespace acaciacross::query

#endif
