#ifndef ACACIACROSS_QUERY_COVERAGETALLY_H
#define ACACIACROSS_QUERY_COVERAGETALLY_H

#include "Query/SnapshotView.h"

#include <cstddef>
#include <vector>

namespace acaciacross::query {

/// Counts what an answer covers of one snapshot's own partition map.
class CoverageTally {
public:
  explicit CoverageTally(const SnapshotView &Snapshot);

  /// Marks the shard at a position of the partition map as answered.
  void markAnswered(std::size_t Position);

  bool isComplete() const;

  /// Documents in answered shards by all documents, in [0, 1]. A map without
  /// documents counts its shards instead.
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
