#ifndef ACACIACROSS_FORWARDING_LEASTDELAYCHOICE_H
#define ACACIACROSS_FORWARDING_LEASTDELAYCHOICE_H

#include "Common/RandomSource.h"
#include "Forwarding/ReplicaChoice.h"

namespace acaciacross::forwarding {

/// Chooses the searcher from which an answer is expected first. Answers the
/// load of stragglers: paused, slow, cold and failing searchers lose work after
/// a few attempts.
class LeastDelayChoice final : public ReplicaChoice {
public:
  explicit LeastDelayChoice(common::RandomSource &RandomNumbers);

  std::shared_ptr<ReplicaRecord>
  choose(std::span<const std::shared_ptr<ReplicaRecord>> Replicas,
         std::span<const ReplicaRecord *const> Tried, const AttemptPort &Port,
         common::MonotonicTime Now, std::chrono::nanoseconds Typical) override;

private:
  common::RandomSource &Random;
};

} // namespace acaciacross::forwarding

#endif
