#include "Forwarding/GatherExecution.h"

#include "Forwarding/TopRecords.h"

#include <algorithm>
#include <utility>

namespace acaciacross::forwarding {

namespace {

constexpr int Success = 200;

} // namespace

GatherExecution::GatherExecution(const ForwardingTools &Shared,
                                 std::shared_ptr<const ForwardRequest> Whole,
                                 AnswerSink &Receiver)
    : Execution(Shared, std::move(Whole), Receiver),
      SettleAt(Shared.Partials.settleAt(this->request())) {
  for (const common::ServiceName &Shard :
       this->request().Target->Gather->Shards)
    this->addLeg(Shard, true);
}

std::optional<Answer> GatherExecution::decide(bool IsLast) {
  std::size_t In = 0;
  std::size_t Open = 0;
  for (const RequestLeg &Each : this->legs()) {
    In += Each.state() == LegState::Answered ? 1 : 0;
    Open += Each.state() == LegState::Open ? 1 : 0;
  }
  const std::size_t Least = this->request().Target->Gather->minShards();
  // Once too many shards are lost, waiting for the others helps nobody.
  if (In + Open < Least)
    return this->failure(false);
  const bool IsSettled = IsLast || this->now() >= this->SettleAt;
  if (In >= Least && (Open == 0 || IsSettled))
    return this->merge();
  if (IsLast)
    return this->failure(true);
  return std::nullopt;
}

std::optional<common::MonotonicTime> GatherExecution::decideAt() const {
  // Past the settling time every further shard asks for a decision anyway.
  return this->now() < this->SettleAt ? std::optional(this->SettleAt)
                                      : std::nullopt;
}

Answer GatherExecution::merge() const {
  Answer Merged;
  Merged.Kind = AnswerKind::Gathered;
  Merged.Message.Status = Success;
  std::vector<std::string_view> Parts;
  for (const RequestLeg &Each : this->legs()) {
    if (Each.state() != LegState::Answered) {
      ++Merged.MissingShards;
      continue;
    }
    Parts.push_back(Each.result()->Response.Body);
    Merged.Stamps.push_back(Each.result()->Stamp);
  }
  if (Merged.MissingShards > 0)
    Merged.Code = common::ResultCode::PartialCoverage;
  Merged.Message.Body =
      TopRecords::merge(Parts, this->request().Target->Gather->TopRecords);
  return Merged;
}

} // namespace acaciacross::forwarding
