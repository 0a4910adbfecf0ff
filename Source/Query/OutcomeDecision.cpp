#include "Query/OutcomeDecision.h"

#include "Query/CoverageTally.h"

#include <algorithm>

namespace acaciacross::query {

namespace {

bool isAnswered(const ShardProgress &Progress) { return Progress.IsAnswered; }

// Refusals have codes of the hundred that says "not run", failures those of the
// hundred that says "may have run".
common::ResultCode refusalCode(common::ResultCode Reason) {
  switch (Reason) {
  case common::ResultCode::DeadlinePassed:
    return common::ResultCode::DeadlineTooShort;
  case common::ResultCode::Interrupted:
    return common::ResultCode::NotServing;
  default:
    return Reason;
  }
}

common::ResultCode failureCode(common::ResultCode Reason) {
  switch (Reason) {
  case common::ResultCode::DeadlinePassed:
  case common::ResultCode::Interrupted:
    return Reason;
  default:
    return common::ResultCode::AttemptLost;
  }
}

} // namespace

OutcomeDecision::OutcomeDecision(const SnapshotView *Pinned,
                                 std::span<const ShardProgress> Progress,
                                 bool MayHaveRun)
    : Snapshot(Pinned), Shards(Progress), MayHaveRun(MayHaveRun) {}

Outcome OutcomeDecision::decide(common::ResultCode Reason) const {
  if (this->isComplete())
    return this->makeComplete();
  if (this->isAnyAnswered())
    return this->makePartial();
  if (this->MayHaveRun)
    return Failure{failureCode(Reason)};
  return Refusal{refusalCode(Reason)};
}

bool OutcomeDecision::isAnyAnswered() const {
  return std::any_of(this->Shards.begin(), this->Shards.end(), isAnswered);
}

bool OutcomeDecision::isComplete() const {
  return this->isAnyAnswered() &&
         std::all_of(this->Shards.begin(), this->Shards.end(), isAnswered);
}

CompleteAnswer OutcomeDecision::makeComplete() const {
  CompleteAnswer Answer;
  Answer.Snapshot = this->Snapshot->Id;
  for (std::size_t Shard = 0; Shard < this->Shards.size(); ++Shard)
    Answer.Parts.push_back(
        {this->Snapshot->Shards[Shard].Id, this->Shards[Shard].Body});
  return Answer;
}

PartialAnswer OutcomeDecision::makePartial() const {
  PartialAnswer Answer;
  CoverageTally Tally(*this->Snapshot);
  Answer.Snapshot = this->Snapshot->Id;
  for (std::size_t Shard = 0; Shard < this->Shards.size(); ++Shard) {
    const ShardView &View = this->Snapshot->Shards[Shard];
    if (!this->Shards[Shard].IsAnswered) {
      Answer.Missing.push_back({View.Id, View.Range});
      continue;
    }
    Tally.markAnswered(Shard);
    Answer.Parts.push_back({View.Id, this->Shards[Shard].Body});
  }
  Answer.Coverage = Tally.coverage();
  return Answer;
}

} // namespace acaciacross::query
