#ifndef ACACIACROSS_FORWARDING_GATHEREXECUTION_H
#define ACACIACROSS_FORWARDING_GATHEREXECUTION_H

#include "Forwarding/Execution.h"
#include "Forwarding/WaitingParts.h"

namespace acaciacross::forwarding {

/// Sends a query to one searcher of each shard and merges the records. All
/// shards belong to the routing table version that was in effect when the
/// request arrived.
class GatherExecution final : public Execution {
public:
  GatherExecution(const ForwardingDependencies &Dependencies,
                  std::shared_ptr<const ForwardRequest> Request,
                  AnswerSink &Sink);

  void onAttemptEnded(AttemptNumber Attempt, AttemptResult Result) override;

private:
  std::optional<Answer> decide(bool IsDeadlinePassed) override;
  std::optional<common::MonotonicTime> nextDecisionAt() const override;
  bool areWaitingPartsNeeded() const override;

  WaitingParts countParts() const;
  Answer merge() const;

  common::MonotonicTime PartialAllowedFrom;
  std::chrono::nanoseconds ShortestLatency;
};

} // namespace acaciacross::forwarding

#endif
