#include "Benchmarks/Capacity/QueryCase.h"

#include "TestSupport/ServiceViewBuilder.h"
#include <stdexcept>

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr std::uint64_t QueryCount = 1'000;
constexpr double ExtraLoadTarget = 0.05;
constexpr std::size_t RequestBytes = 64;
constexpr std::size_t ReplyBytes = 256;

} // namespace

QueryCase::QueryCase(std::uint32_t ShardCount, std::uint32_t SearcherCount)
    : Shards(ShardCount), Searchers(SearcherCount), Random(Seed),
      Selector(this->Random), Hedging(ExtraLoadTarget, {}),
      Budget(ExtraLoadTarget, ShardCount), Ids(common::Incarnation(7), 1) {}

std::string QueryCase::name() const {
  return "query." + std::to_string(this->Shards) + "_of_" +
         std::to_string(this->Searchers);
}

std::string QueryCase::unit() const { return "query"; }

std::uint64_t QueryCase::operations() const { return QueryCount; }

void QueryCase::prepare() {
  this->View =
      testsupport::ServiceViewBuilder{this->Shards, this->Searchers, 2, 2}
          .build();
  this->Selector.updateView(*this->View);
}

void QueryCase::run() {
  for (std::uint64_t I = 0; I < QueryCount; ++I)
    this->runOne(I);
}

query::QueryRequest QueryCase::makeRequest(std::uint64_t Number) const {
  query::QueryRequest Request;
  Request.Id = common::RequestId("boat-12-" + std::to_string(Number));
  Request.Class = common::ClassName("crew-plots");
  Request.Body = std::string(RequestBytes, 'q');
  Request.Deadline =
      this->Clock.monotonicNow() + std::chrono::milliseconds(160);
  Request.WallDeadline = this->Clock.wallNow() + std::chrono::milliseconds(160);
  Request.LatencyTarget = Request.Deadline;
  return Request;
}

query::AttemptResult QueryCase::answerTo(const query::AttemptSpec &Spec) const {
  const query::ShardView &Shard =
      this->View->Snapshots[0].Shards[Spec.Shard.Value];
  query::AttemptResult Result;
  Result.Attempt = Spec.Id;
  Result.Status = query::AttemptStatus::Answered;
  Result.Reply = query::ShardReply{Spec.Id, Spec.Snapshot, Spec.Shard,
                                   Shard.Range, std::string(ReplyBytes, 'r')};
  Result.Elapsed = std::chrono::milliseconds(5);
  return Result;
}

void QueryCase::runOne(std::uint64_t Number) {
  const common::MonotonicTime Now = this->Clock.monotonicNow();
  query::QueryExecution Query(
      this->makeRequest(Number), this->View,
      {this->Sender, this->Selector, this->Hedging, this->Budget, this->Ids});
  this->Sender.Started.clear();
  Query.start(Now);
  for (const query::AttemptSpec &Spec : this->Sender.Started)
    Query.onAttemptEnded(this->answerTo(Spec), Now);
  if (!Query.isFinished() ||
      !std::holds_alternative<query::CompleteAnswer>(Query.outcome()))
    throw std::logic_error("query was not answered completely");
}

} // namespace acaciacross::benchmarks
