#include "UnitTests/Query/AnswerOracle.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace acaciacross::query {

namespace {

using BodyOfShard = std::map<std::uint32_t, std::string>;

// A complete answer is checked as a partial one with nothing missing.
PartialAnswer toPartial(const CompleteAnswer &Answer) {
  return {Answer.Snapshot, 1.0, Answer.Parts, {}};
}

double coverageOf(const SnapshotView &Map, const BodyOfShard &Answered) {
  std::uint64_t Total = 0;
  std::uint64_t Covered = 0;
  for (const ShardView &Shard : Map.Shards) {
    Total += Shard.Documents;
    if (Answered.count(Shard.Id.Value) != 0)
      Covered += Shard.Documents;
  }
  if (Total == 0)
    return static_cast<double>(Answered.size()) /
           static_cast<double>(Map.Shards.size());
  return static_cast<double>(Covered) / static_cast<double>(Total);
}

} // namespace

AnswerOracle::AnswerOracle(const QuerySchedule &Schedule)
    : Schedule(Schedule) {}

std::string AnswerOracle::checkAnswers() const {
  if (this->Schedule.finished().size() != this->Schedule.submitted())
    return "a query never finished";
  for (const FinishedQuery &Query : this->Schedule.finished()) {
    std::string Violation;
    if (const auto *Complete = std::get_if<CompleteAnswer>(&Query.Result))
      Violation = this->checkAnswer(Query, toPartial(*Complete));
    if (const auto *Partial = std::get_if<PartialAnswer>(&Query.Result))
      Violation = this->checkAnswer(Query, *Partial);
    if (!Violation.empty())
      return Violation;
  }
  return "";
}

std::string AnswerOracle::checkAnswer(const FinishedQuery &Query,
                                      const PartialAnswer &Answer) const {
  const std::vector<SnapshotView> &Maps = this->Schedule.maps();
  const bool IsExplained =
      std::any_of(Maps.begin(), Maps.end(), [&](const SnapshotView &Map) {
        return Map.Id == Answer.Snapshot && this->agrees(Query, Answer, Map);
      });
  if (IsExplained)
    return "";
  return "the answer of " + Query.Request.Id.Value + " from " +
         Answer.Snapshot.Value + " agrees with no published map";
}

bool AnswerOracle::agrees(const FinishedQuery &Query,
                          const PartialAnswer &Answer,
                          const SnapshotView &Map) const {
  BodyOfShard Stated;
  for (const ShardAnswer &Part : Answer.Parts)
    Stated[Part.Shard.Value] = Part.Body;
  const std::vector<testsupport::DeliveryRecord> &Deliveries =
      this->Schedule.searchers().deliveries();
  BodyOfShard Delivered;
  std::size_t MissingFound = 0;
  for (const ShardView &Shard : Map.Shards) {
    for (std::size_t I = 0; I < Query.Delivered; ++I) {
      const testsupport::DeliveryRecord &Each = Deliveries[I];
      if (Each.Request == Query.Request.Id && Each.Snapshot == Map.Id &&
          Each.Shard == Shard.Id && Each.Range == Shard.Range)
        Delivered.emplace(Shard.Id.Value, Each.Body);
    }
    for (const MissingShard &Missing : Answer.Missing)
      if (Missing.Shard == Shard.Id && Missing.Range == Shard.Range)
        ++MissingFound;
  }
  return Stated == Delivered && MissingFound == Answer.Missing.size() &&
         Answer.Parts.size() + MissingFound == Map.Shards.size() &&
         std::abs(Answer.Coverage - coverageOf(Map, Stated)) < 1e-9;
}

std::string AnswerOracle::checkRefusals() const {
  for (const FinishedQuery &Query : this->Schedule.finished()) {
    const auto *Refused = std::get_if<Refusal>(&Query.Result);
    const auto *Failed = std::get_if<Failure>(&Query.Result);
    if (Refused && this->executionsOf(Query.Request.Id) > 0)
      return Query.Request.Id.Value + " was refused but started";
    const auto Code = static_cast<int>(Refused  ? Refused->Code
                                       : Failed ? Failed->Code
                                                : common::ResultCode::Ok);
    if (Code / 100 != (Refused ? 1 : Failed ? 2 : 0))
      return Query.Request.Id.Value + " ended with code " +
             std::to_string(Code);
  }
  return "";
}

std::string AnswerOracle::checkAtMostOnce() const {
  for (const FinishedQuery &Query : this->Schedule.finished()) {
    if (Query.Request.Repeatable)
      continue;
    std::set<std::string> Snapshots;
    std::set<std::uint32_t> Shards;
    for (const auto &Each : this->Schedule.searchers().executions()) {
      if (Each.Request != Query.Request.Id)
        continue;
      Snapshots.insert(Each.Snapshot.Value);
      if (!Shards.insert(Each.Shard.Value).second || Snapshots.size() > 1)
        return Each.Request.Value + " ran twice on shard " +
               std::to_string(Each.Shard.Value);
    }
  }
  return "";
}

std::string AnswerOracle::checkExtraLoad() const {
  std::uint64_t First = 0;
  std::uint64_t Extra = 0;
  for (const FinishedQuery &Query : this->Schedule.finished()) {
    First += Query.Statistics.FirstAttempts;
    Extra += Query.Statistics.ExtraAttempts;
  }
  return Extra * 2 > First ? "extra load is above the target of 0.5" : "";
}

std::size_t AnswerOracle::executionsOf(const common::RequestId &Request) const {
  const auto &Executions = this->Schedule.searchers().executions();
  return static_cast<std::size_t>(
      std::count_if(Executions.begin(), Executions.end(),
                    [&](const testsupport::ExecutionRecord &Each) {
                      return Each.Request == Request;
                    }));
}

} // namespace acaciacross::query
