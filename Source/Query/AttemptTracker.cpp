#include "Query/AttemptTracker.h"

#include <algorithm>

namespace acaciacross::query {

AttemptTracker::AttemptTracker(const QueryRequest &Request,
                               const QueryDependencies &Dependencies)
    : Request(Request), Dependencies(Dependencies) {}

void AttemptTracker::start(const ServiceView &Service,
                           const SnapshotView &Snapshot, std::size_t Shard,
                           std::uint32_t SearcherPosition, bool IsHedge,
                           ShardProgress &Progress) {
  const SearcherView &Searcher = Service.Searchers[SearcherPosition];
  const AttemptSpec Spec =
      this->makeSpec(Searcher, Snapshot, Snapshot.Shards[Shard]);
  Progress.Running.push_back({Spec.Id, SearcherPosition, IsHedge});
  Progress.TriedReplicas.push_back(SearcherPosition);
  this->ShardIndices.emplace(Spec.Id, Shard);
  this->Dependencies.Selector.onAttemptStarted(Searcher.Index);
  this->Dependencies.Sender.start(Spec);
}

AttemptSpec AttemptTracker::makeSpec(const SearcherView &Searcher,
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
AttemptTracker::shardIndexOf(const common::AttemptId &Attempt) const {
  const auto It = this->ShardIndices.find(Attempt);
  if (It == this->ShardIndices.end())
    return std::nullopt;
  return It->second;
}

RunningAttempt AttemptTracker::end(const ServiceView &Service,
                                   ShardProgress &Progress,
                                   const common::AttemptId &Attempt,
                                   AttemptStatus Status) {
  this->ShardIndices.erase(Attempt);
  const auto It = std::find_if(
      Progress.Running.begin(), Progress.Running.end(),
      [&](const RunningAttempt &Running) { return Running.Id == Attempt; });
  const RunningAttempt Finished = *It;
  Progress.Running.erase(It);
  this->Dependencies.Selector.onAttemptEnded(
      Service.Searchers[Finished.SearcherPosition].Index, Status);
  return Finished;
}

std::uint32_t AttemptTracker::cancel(const ServiceView &Service,
                                     ShardProgress &Progress) {
  const auto Count = static_cast<std::uint32_t>(Progress.Running.size());
  for (const RunningAttempt &Attempt : Progress.Running) {
    this->ShardIndices.erase(Attempt.Id);
    this->Dependencies.Selector.onAttemptEnded(
        Service.Searchers[Attempt.SearcherPosition].Index,
        AttemptStatus::Cancelled);
    this->Dependencies.Sender.cancel(Attempt.Id);
  }
  Progress.Running.clear();
  return Count;
}

bool AttemptTracker::isAnyRunning() const {
  return !this->ShardIndices.empty();
}

} // namespace acaciacross::query
