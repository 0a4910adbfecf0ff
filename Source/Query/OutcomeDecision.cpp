#include "Query/OutcomeDecision.h"

#include "Query/CoverageTracker.h"

#include <algorithm>

namespace acaciacross::query {

namespace {

bool isAnswered(const ShardProgress &Progress) { return Progress.IsAnswered; }

// Refusals have result codes from 100 to 199, which say "not run"; failures
// have codes from 200 to 299, which say "may have run". A reason from the other
// range is replaced by the closest code of the right range.
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

OutcomeDecision::OutcomeDecision(const SnapshotView *Snapshot,
                                 std::span<const ShardProgress> Shards,
                                 bool MayHaveRun)
    : Snapshot(Snapshot), Shards(Shards), MayHaveRun(MayHaveRun) {}

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
    Answer.ShardAnswers.push_back(
        {this->Snapshot->Shards[Shard].Id, this->Shards[Shard].Body});
  return Answer;
}

PartialAnswer OutcomeDecision::makePartial() const {
  PartialAnswer Answer;
  CoverageTracker Coverage(*this->Snapshot);
  Answer.Snapshot = this->Snapshot->Id;
  for (std::size_t Shard = 0; Shard < this->Shards.size(); ++Shard) {
    const ShardView &View = this->Snapshot->Shards[Shard];
    if (!this->Shards[Shard].IsAnswered) {
      Answer.Missing.push_back({View.Id, View.Range});
      continue;
    }
    Coverage.markAnswered(Shard);
    Answer.ShardAnswers.push_back({View.Id, this->Shards[Shard].Body});
  }
  Answer.Coverage = Coverage.coverage();
  return Answer;
}

} // namespace acaciacross::query
