#include "UnitTests/Query/AnswerOracle.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace acaciacross::query {

namespace {

using BodyByShard = std::map<std::uint32_t, std::string>;

// A complete answer is checked as a partial answer without missing shards.
PartialAnswer toPartial(const CompleteAnswer &Answer) {
  return {Answer.Snapshot, 1.0, Answer.ShardAnswers, {}};
}

double coverageOf(const SnapshotView &Map, const BodyByShard &Answered) {
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
  const bool IsMatching =
      std::any_of(Maps.begin(), Maps.end(), [&](const SnapshotView &Map) {
        return Map.Id == Answer.Snapshot &&
               this->matchesMap(Query, Answer, Map);
      });
  if (IsMatching)
    return "";
  return "the answer of " + Query.Request.Id.Value + " from " +
         Answer.Snapshot.Value + " matches no published map";
}

bool AnswerOracle::matchesMap(const FinishedQuery &Query,
                              const PartialAnswer &Answer,
                              const SnapshotView &Map) const {
  BodyByShard Answered;
  for (const ShardAnswer &Entry : Answer.ShardAnswers)
    Answered[Entry.Shard.Value] = Entry.Body;
  const std::vector<testsupport::DeliveryRecord> &Deliveries =
      this->Schedule.searchers().deliveries();
  BodyByShard Delivered;
  std::size_t MissingCount = 0;
  for (const ShardView &Shard : Map.Shards) {
    for (std::size_t I = 0; I < Query.DeliveredReplies; ++I) {
      const testsupport::DeliveryRecord &Delivery = Deliveries[I];
      if (Delivery.Request == Query.Request.Id && Delivery.Snapshot == Map.Id &&
          Delivery.Shard == Shard.Id && Delivery.Range == Shard.Range)
        Delivered.emplace(Shard.Id.Value, Delivery.Body);
    }
    for (const MissingShard &Missing : Answer.Missing)
      if (Missing.Shard == Shard.Id && Missing.Range == Shard.Range)
        ++MissingCount;
  }
  return Answered == Delivered && MissingCount == Answer.Missing.size() &&
         Answer.ShardAnswers.size() + MissingCount == Map.Shards.size() &&
         std::abs(Answer.Coverage - coverageOf(Map, Answered)) < 1e-9;
}

std::string AnswerOracle::checkRefusals() const {
  for (const FinishedQuery &Query : this->Schedule.finished()) {
    const auto *Refused = std::get_if<Refusal>(&Query.Result);
    const auto *Failed = std::get_if<Failure>(&Query.Result);
    if (Refused && this->countExecutions(Query.Request.Id) > 0)
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
    for (const auto &Execution : this->Schedule.searchers().executions()) {
      if (Execution.Request != Query.Request.Id)
        continue;
      Snapshots.insert(Execution.Snapshot.Value);
      if (!Shards.insert(Execution.Shard.Value).second || Snapshots.size() > 1)
        return Execution.Request.Value + " ran twice on shard " +
               std::to_string(Execution.Shard.Value);
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

std::size_t
AnswerOracle::countExecutions(const common::RequestId &Request) const {
  const auto &Executions = this->Schedule.searchers().executions();
  return static_cast<std::size_t>(
      std::count_if(Executions.begin(), Executions.end(),
                    [&](const testsupport::ExecutionRecord &Execution) {
                      return Execution.Request == Request;
                    }));
}

} // namespace acaciacross::query
