#include "Query/CoverageTracker.h"

namespace acaciacross::query {

CoverageTracker::CoverageTracker(const SnapshotView &Snapshot)
    : Answered(Snapshot.Shards.size(), false) {
  for (const ShardView &Shard : Snapshot.Shards) {
    this->Weights.push_back(Shard.Documents);
    this->TotalWeight += Shard.Documents;
  }
  if (this->TotalWeight > 0)
    return;
  this->Weights.assign(this->Weights.size(), 1);
  this->TotalWeight = this->Weights.size();
}

void CoverageTracker::markAnswered(std::size_t Shard) {
  if (this->Answered.at(Shard))
    return;
  this->Answered[Shard] = true;
  this->AnsweredWeight += this->Weights[Shard];
  ++this->AnsweredCount;
}

bool CoverageTracker::isComplete() const {
  return this->AnsweredCount == this->Answered.size();
}

double CoverageTracker::coverage() const {
  if (this->TotalWeight == 0)
    return 0.0;
  return static_cast<double>(this->AnsweredWeight) /
         static_cast<double>(this->TotalWeight);
}

} // namespace acaciacross::query
