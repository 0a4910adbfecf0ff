#include "Query/CoverageTally.h"

namespace acaciacross::query {

CoverageTally::CoverageTally(const SnapshotView &Snapshot)
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

void CoverageTally::markAnswered(std::size_t Position) {
  if (this->Answered.at(Position))
    return;
  this->Answered[Position] = true;
  this->AnsweredWeight += this->Weights[Position];
  ++this->AnsweredCount;
}

bool CoverageTally::isComplete() const {
  return this->AnsweredCount == this->Answered.size();
}

double CoverageTally::coverage() const {
  if (this->TotalWeight == 0)
    return 0.0;
  return static_cast<double>(this->AnsweredWeight) /
         static_cast<double>(this->TotalWeight);
}

} // namespace acaciacross::query
