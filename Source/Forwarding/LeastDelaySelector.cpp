#include "Forwarding/LeastDelaySelector.h"

#include <algorithm>
#include <utility>

namespace acaciacross::forwarding {

namespace {

// The random spread keeps VMs with the same observations from all selecting the
// same searcher at once.
constexpr double RandomSpread = 0.3;
// Traffic between failure domains is slower and charged, so another one is
// chosen for a clear gain only.
constexpr double OtherDomainFactor = 2.0;

void countWithheld(std::span<const std::shared_ptr<ReplicaRecord>> Replicas,
                   common::MonotonicTime Now) {
  for (const std::shared_ptr<ReplicaRecord> &Replica : Replicas)
    if (Replica->coldStart().isUsedUp(Now))
      Replica->coldStart().onWithheld();
}

} // namespace

LeastDelaySelector::LeastDelaySelector(common::RandomSource &Random,
                                       std::string OwnDomain)
    : Random(Random), OwnDomain(std::move(OwnDomain)) {}

std::shared_ptr<ReplicaRecord> LeastDelaySelector::choose(
    std::span<const std::shared_ptr<ReplicaRecord>> Replicas,
    std::span<const ReplicaRecord *const> Tried, const AttemptSender &Sender,
    common::MonotonicTime Now, std::chrono::nanoseconds Typical) {
  std::shared_ptr<ReplicaRecord> Best;
  bool IsBestCold = false;
  double BestDelay = 0.0;
  for (const std::shared_ptr<ReplicaRecord> &Replica : Replicas) {
    if (!Replica->isUsable(Now) || Replica->isUnresponsive(Now, Typical) ||
        std::ranges::count(Tried, Replica.get()) > 0 ||
        !Sender.hasFreeConnection(*Replica))
      continue;
    double Delay =
        static_cast<double>(Replica->expectedDelay(Now, Typical).count()) *
        (1.0 + RandomSpread * this->Random.unitInterval());
    if (Replica->entry().FailureDomain != this->OwnDomain)
      Delay *= OtherDomainFactor;
    const bool IsCold = Replica->coldStart().isCold(Now);
    const bool IsSameKind = IsCold == IsBestCold;
    if (Best != nullptr && (IsSameKind ? Delay >= BestDelay : IsCold))
      continue;
    Best = Replica;
    IsBestCold = IsCold;
    BestDelay = Delay;
  }
  if (Best == nullptr)
    countWithheld(Replicas, Now);
  return Best;
}

} // namespace acaciacross::forwarding
