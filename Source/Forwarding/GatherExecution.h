#ifndef ACACIACROSS_FORWARDING_GATHEREXECUTION_H
#define ACACIACROSS_FORWARDING_GATHEREXECUTION_H

#include "Forwarding/Execution.h"

namespace acaciacross::forwarding {

/// Asks one searcher of each shard and merges the records. All shards are those
/// of the version that was in effect when the request arrived.
class GatherExecution final : public Execution {
public:
  GatherExecution(const ForwardingTools &Shared,
                  std::shared_ptr<const ForwardRequest> Whole,
                  AnswerSink &Receiver);

private:
  std::optional<Answer> decide(bool IsLast) override;
  std::optional<common::MonotonicTime> decideAt() const override;

  Answer merge() const;

  common::MonotonicTime SettleAt;
};

} // namespace acaciacross::forwarding

#endif
