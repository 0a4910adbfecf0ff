#ifndef ACACIACROSS_QUERY_SHARDSET_H
#define ACACIACROSS_QUERY_SHARDSET_H

#include "Common/Time.h"
#include "Query/ShardProgress.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace acaciacross::query {

/// State of a query for all shards of its snapshot.
class ShardSet {
public:
  /// Replaces the state by Count shards without any progress.
  void reset(std::size_t Count);

  std::size_t size() const;
  ShardProgress &operator[](std::size_t Shard);
  const ShardProgress &operator[](std::size_t Shard) const;
  std::span<ShardProgress> all();
  std::span<const ShardProgress> all() const;

  /// Whether any shard may still be answered from this snapshot.
  bool isAnyShardPending() const;
  /// Whether any unanswered shard can only be answered from another snapshot.
  bool isRestartDue() const;
  /// Time of the next hedge or retry; empty when none is scheduled.
  std::optional<common::MonotonicTime> nextTimer() const;

private:
  std::vector<ShardProgress> Shards;
};

} // namespace acaciacross::query

#endif
