#include "Forwarding/LeastDelayChoice.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

// Without this VMs that know the same would send to the same searcher at once.
constexpr double Spread = 0.3;

} // namespace

LeastDelayChoice::LeastDelayChoice(common::RandomSource &RandomNumbers)
    : Random(RandomNumbers) {}

std::shared_ptr<ReplicaRecord> LeastDelayChoice::choose(
    std::span<const std::shared_ptr<ReplicaRecord>> Replicas,
    std::span<const ReplicaRecord *const> Tried, const AttemptPort &Port,
    common::MonotonicTime Now, std::chrono::nanoseconds Typical) {
  std::shared_ptr<ReplicaRecord> Best;
  double BestDelay = 0.0;
  for (const std::shared_ptr<ReplicaRecord> &Each : Replicas) {
    if (!Each->isListed() || !Each->isReachable(Now) ||
        Each->isSilent(Now, Typical) ||
        std::ranges::count(Tried, Each.get()) > 0 || !Port.hasRoom(*Each))
      continue;
    const double Delay =
        static_cast<double>(Each->expectedDelay(Now, Typical).count()) *
        (1.0 + Spread * this->Random.unitInterval());
    if (Best != nullptr && Delay >= BestDelay)
      continue;
    Best = Each;
    BestDelay = Delay;
  }
  return Best;
}

} // namespace acaciacross::forwarding
