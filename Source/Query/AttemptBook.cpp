#include "Query/AttemptBook.h"

#include <algorithm>

namespace acaciacross::query {

AttemptBook::AttemptBook(const QueryRequest &Accepted,
                         const QueryDependencies &Used)
    : Request(Accepted), Dependencies(Used) {}

void AttemptBook::start(const ServiceView &Service,
                        const SnapshotView &Snapshot, std::size_t Shard,
                        std::uint32_t SearcherPosition, bool IsHedge,
                        ShardProgress &Progress) {
  const SearcherView &Searcher = Service.Searchers[SearcherPosition];
  const AttemptSpec Spec =
      this->makeSpec(Searcher, Snapshot, Snapshot.Shards[Shard]);
  Progress.Running.push_back({Spec.Id, SearcherPosition, IsHedge});
  Progress.Tried.push_back(SearcherPosition);
  this->Shards.emplace(Spec.Id, Shard);
  this->Dependencies.Replicas.onAttemptStarted(Searcher.Index);
  this->Dependencies.Port.start(Spec);
}

AttemptSpec AttemptBook::makeSpec(const SearcherView &Searcher,
                                  const SnapshotView &Snapshot,
                                  const ShardView &Shard) const {
  AttemptSpec Spec;
  Spec.Id = this->Dependencies.Ids.next();
  Spec.Searcher = Searcher.Index;
  Spec.Endpoint = Searcher.Endpoint;
  Spec.Request = this->Request.Id;
  Spec.Class = this->Request.Class;
  Spec.Snapshot = Snapshot.Id;
  Spec.Shard = Shard.Id;
  Spec.Deadline = this->Request.Deadline;
  Spec.WallDeadline = this->Request.WallDeadline;
  Spec.Repeatable = this->Request.Repeatable;
  Spec.Body = this->Request.Body;
  return Spec;
}

std::optional<std::size_t>
AttemptBook::shardOf(const common::AttemptId &Attempt) const {
  const auto Known = this->Shards.find(Attempt);
  if (Known == this->Shards.end())
    return std::nullopt;
  return Known->second;
}

RunningAttempt AttemptBook::end(const ServiceView &Service,
                                ShardProgress &Progress,
                                const common::AttemptId &Attempt,
                                AttemptStatus Status) {
  this->Shards.erase(Attempt);
  const auto Ended = std::find_if(
      Progress.Running.begin(), Progress.Running.end(),
      [&](const RunningAttempt &Each) { return Each.Id == Attempt; });
  const RunningAttempt Taken = *Ended;
  Progress.Running.erase(Ended);
  this->Dependencies.Replicas.onAttemptEnded(
      Service.Searchers[Taken.SearcherPosition].Index, Status);
  return Taken;
}

std::uint32_t AttemptBook::cancel(const ServiceView &Service,
                                  ShardProgress &Progress) {
  const auto Count = static_cast<std::uint32_t>(Progress.Running.size());
  for (const RunningAttempt &Attempt : Progress.Running) {
    this->Shards.erase(Attempt.Id);
    this->Dependencies.Replicas.onAttemptEnded(
        Service.Searchers[Attempt.SearcherPosition].Index,
        AttemptStatus::Cancelled);
    this->Dependencies.Port.cancel(Attempt.Id);
  }
  Progress.Running.clear();
  return Count;
}

bool AttemptBook::isAnyRunning() const { return !this->Shards.empty(); }

} // namespace acaciacross::query
