#ifndef ACACIACROSS_FORWARDING_LEASTDELAYSELECTOR_H
#define ACACIACROSS_FORWARDING_LEASTDELAYSELECTOR_H

#include "Common/RandomSource.h"
#include "Forwarding/ReplicaSelector.h"

namespace acaciacross::forwarding {

/// Selects the searcher with the shortest expected delay. Paused, slow, cold
/// and failing searchers get less work after a few attempts.
class LeastDelaySelector final : public ReplicaSelector {
public:
  explicit LeastDelaySelector(common::RandomSource &Random);

  std::shared_ptr<ReplicaRecord>
  choose(std::span<const std::shared_ptr<ReplicaRecord>> Replicas,
         std::span<const ReplicaRecord *const> Tried,
         const AttemptSender &Sender, common::MonotonicTime Now,
         std::chrono::nanoseconds Typical) override;

private:
  common::RandomSource &Random;
};

} // namespace acaciacross::forwarding

#endif
