#include "Forwarding/GatherExecution.h"

#include "Forwarding/TopRecords.h"

#include <algorithm>
#include <utility>

namespace acaciacross::forwarding {

namespace {

constexpr int Success = 200;

} // namespace

GatherExecution::GatherExecution(const ForwardingDependencies &Dependencies,
                                 std::shared_ptr<const ForwardRequest> Request,
                                 AnswerSink &Sink)
    : Execution(Dependencies, std::move(Request), Sink),
      PartialAllowedFrom(
          Dependencies.PartialAnswers.partialAllowedFrom(this->request())),
      ShortestLatency(
          Dependencies.Services.latency(*this->request().Target).Unloaded) {
  for (const common::ServiceName &Shard :
       this->request().Target->Gather->Shards)
    this->addSubRequest(Shard, true);
}

// Parts are held until the last one arrives, and hundreds of large ones would
// not fit into the memory of a VM. No more records of a part than those of the
// answer can be in the answer.
void GatherExecution::onAttemptEnded(AttemptNumber Attempt,
                                     AttemptResult Result) {
  TopRecords::reduce(Result.Response.Body,
                     this->request().Target->Gather->TopRecords);
  Execution::onAttemptEnded(Attempt, std::move(Result));
}

std::optional<Answer> GatherExecution::decide(bool IsDeadlinePassed) {
  const WaitingParts Parts = this->countParts();
  const std::size_t AnsweredCount = Parts.AnsweredCount;
  const std::size_t MinShards = Parts.MinCount;
  const bool CountsWaiting = Parts.areNeeded(this->now());
  const auto OpenCount = static_cast<std::size_t>(
      std::ranges::count_if(this->subRequests(), [&](const SubRequest &Sub) {
        return Sub.state() == SubRequestState::Open &&
               (CountsWaiting || !Sub.isWaiting());
      }));
  // When too many shards are lost, the answer fails whatever the remaining ones
  // return.
  if (AnsweredCount + OpenCount < MinShards)
    return this->failure(false);
  const bool IsPartialAllowed =
      IsDeadlinePassed || this->now() >= this->PartialAllowedFrom;
  if (AnsweredCount >= MinShards && (OpenCount == 0 || IsPartialAllowed))
    return this->merge();
  if (IsDeadlinePassed)
    return this->failure(true);
  return std::nullopt;
}

std::optional<common::MonotonicTime> GatherExecution::nextDecisionAt() const {
  // After this time, every result of a shard triggers a decision anyway.
  return this->now() < this->PartialAllowedFrom
             ? std::optional(this->PartialAllowedFrom)
             : std::nullopt;
}

bool GatherExecution::areWaitingPartsNeeded() const {
  return this->countParts().areNeeded(this->now());
}

WaitingParts GatherExecution::countParts() const {
  WaitingParts Parts;
  for (const SubRequest &Sub : this->subRequests()) {
    Parts.AnsweredCount += Sub.state() == SubRequestState::Answered ? 1 : 0;
    Parts.ExpectedCount += Sub.isAnswerExpected() ? 1 : 0;
  }
  Parts.MinCount = this->request().Target->Gather->minShards();
  Parts.PartialAllowedFrom = this->PartialAllowedFrom;
  Parts.ShortestLatency = this->ShortestLatency;
  return Parts;
}

Answer GatherExecution::merge() const {
  Answer Merged;
  Merged.Kind = AnswerKind::Gathered;
  Merged.Message.Status = Success;
  std::vector<std::string_view> Parts;
  for (const SubRequest &Sub : this->subRequests()) {
    if (Sub.state() != SubRequestState::Answered) {
      ++Merged.MissingShards;
      continue;
    }
    Parts.push_back(Sub.result()->Response.Body);
    Merged.Stamps.push_back(Sub.result()->Stamp);
  }
  if (Merged.MissingShards > 0)
    Merged.Code = common::ResultCode::PartialCoverage;
  Merged.Message.Body =
      TopRecords::merge(Parts, this->request().Target->Gather->TopRecords);
  return Merged;
}

} // namespace acaciacross::forwarding
