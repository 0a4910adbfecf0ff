#ifndef ACACIACROSS_FORWARDING_LEASTDELAYSELECTOR_H
#define ACACIACROSS_FORWARDING_LEASTDELAYSELECTOR_H

#include "Common/RandomSource.h"
#include "Forwarding/ReplicaSelector.h"

#include <string>

namespace acaciacross::forwarding {

/// Selects the searcher with the shortest expected delay, and of similar ones
/// the one in the failure domain of this VM. Paused, slow, cold and failing
/// searchers get less work after a few attempts. A cold searcher that states
/// what it tolerates is selected only if no warm one can be.
class LeastDelaySelector final : public ReplicaSelector {
public:
  /// OwnDomain: the failure domain of this VM.
  LeastDelaySelector(common::RandomSource &Random, std::string OwnDomain);

  std::shared_ptr<ReplicaRecord>
  choose(std::span<const std::shared_ptr<ReplicaRecord>> Replicas,
         std::span<const ReplicaRecord *const> Tried,
         const AttemptSender &Sender, common::MonotonicTime Now,
         std::chrono::nanoseconds Typical) override;

private:
  common::RandomSource &Random;
  std::string OwnDomain;
};

} // namespace acaciacross::forwarding

#endif
