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
          Dependencies.PartialAnswers.partialAllowedFrom(this->request())) {
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
  std::size_t AnsweredCount = 0;
  std::size_t OpenCount = 0;
  for (const SubRequest &Sub : this->subRequests()) {
    AnsweredCount += Sub.state() == SubRequestState::Answered ? 1 : 0;
    OpenCount += Sub.state() == SubRequestState::Open ? 1 : 0;
  }
  const std::size_t MinShards = this->request().Target->Gather->minShards();
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
