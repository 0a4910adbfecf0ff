#ifndef ACACIACROSS_QUERY_COVERAGETRACKER_H
#define ACACIACROSS_QUERY_COVERAGETRACKER_H

#include "Query/SnapshotView.h"

#include <cstddef>
#include <vector>

namespace acaciacross::query {

/// Tracks how much of one snapshot's own partition map has been answered.
class CoverageTracker {
public:
  explicit CoverageTracker(const SnapshotView &Snapshot);

  /// Marks the shard at this index of the partition map as answered.
  void markAnswered(std::size_t Shard);

  bool isComplete() const;

  /// Number of documents in answered shards divided by the number of all
  /// documents, in [0, 1]. For a map without documents, shards are counted
  /// instead.
  double coverage() const;

private:
  std::vector<std::uint64_t> Weights;
  std::vector<bool> Answered;
  std::uint64_t TotalWeight = 0;
  std::uint64_t AnsweredWeight = 0;
  std::size_t AnsweredCount = 0;
};

} // namespace acaciacross::query

#endif
