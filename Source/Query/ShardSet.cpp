#include "Query/ShardSet.h"

#include <algorithm>

namespace acaciacross::query {

void ShardSet::reset(std::size_t Count) {
  this->Shards.assign(Count, ShardProgress());
}

std::size_t ShardSet::size() const { return this->Shards.size(); }

ShardProgress &ShardSet::operator[](std::size_t Shard) {
  return this->Shards[Shard];
}

const ShardProgress &ShardSet::operator[](std::size_t Shard) const {
  return this->Shards[Shard];
}

std::span<ShardProgress> ShardSet::all() { return this->Shards; }

std::span<const ShardProgress> ShardSet::all() const { return this->Shards; }

bool ShardSet::isAnyShardPending() const {
  return std::ranges::any_of(this->Shards, [](const ShardProgress &Progress) {
    return !Progress.IsAnswered && !Progress.IsGivenUp;
  });
}

bool ShardSet::isRestartDue() const {
  return std::ranges::any_of(this->Shards, [](const ShardProgress &Progress) {
    return Progress.IsRestartDue && !Progress.IsAnswered;
  });
}

std::optional<common::MonotonicTime> ShardSet::nextTimer() const {
  std::optional<common::MonotonicTime> Next;
  for (const ShardProgress &Progress : this->Shards)
    for (const auto &Due : {Progress.HedgeAt, Progress.RetryAt})
      if (Due)
        Next = std::min(Next.value_or(*Due), *Due);
  return Next;
}

} // namespace acaciacross::query
