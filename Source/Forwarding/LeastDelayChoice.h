#ifndef ACACIACROSS_FORWARDING_LEASTDELAYCHOICE_H
#define ACACIACROSS_FORWARDING_LEASTDELAYCHOICE_H

#include "Common/RandomSource.h"
#include "Forwarding/ReplicaSelector.h"

namespace acaciacross::forwarding {

/// Selects the searcher with the shortest expected delay. Paused, slow, cold
/// and failing searchers get less work after a few attempts.
class LeastDelayChoice final : public ReplicaSelector {
public:
  explicit LeastDelayChoice(common::RandomSource &Random);

  std::shared_ptr<ReplicaRecord>
  choose(std::span<const std::shared_ptr<ReplicaRecord>> Replicas,
         std::span<const ReplicaRecord *const> Tried, const AttemptPort &Port,
         common::MonotonicTime Now, std::chrono::nanoseconds Typical) override;

private:
  common::RandomSource &Random;
};

} // namespace acaciacross::forwarding

#endif
