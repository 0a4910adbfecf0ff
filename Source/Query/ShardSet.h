#ifndef ACACIACROSS_QUERY_SHARDSET_H
#define ACACIACROSS_QUERY_SHARDSET_H

#include "Common/Time.h"
#include "Query/ShardProgress.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace acaciacross::query {

/// How far a query is with all shards of its snapshot.
class ShardSet {
public:
  /// Begins anew with that many shards.
  void reset(std::size_t Count);

  std::size_t size() const;
  ShardProgress &operator[](std::size_t Shard);
  const ShardProgress &operator[](std::size_t Shard) const;
  std::span<ShardProgress> all();
  std::span<const ShardProgress> all() const;

  /// Whether a shard may still be answered.
  bool isAnythingPending() const;
  /// Whether a shard can only be answered from another snapshot.
  bool isRestartDue() const;
  /// The next hedge or retry; empty when none is due.
  std::optional<common::MonotonicTime> nextTimer() const;

private:
  std::vector<ShardProgress> Shards;
};

} // namespace acaciacross::query

#endif
