#include "Traffic/ClassState.h"

namespace acaciacross::traffic {

namespace {

retries::HedgeBounds
hedgeBoundsFor(const configuration::ClassDefinition &Definition) {
  retries::HedgeBounds Bounds;
  Bounds.MaxDelay = Definition.LatencyTarget;
  return Bounds;
}

} // namespace

ClassState::ClassState(const configuration::ClassDefinition &NewDefinition,
                       std::uint32_t MaxBudget)
    : Definition(NewDefinition),
      Budget(NewDefinition.ExtraLoadTarget, MaxBudget),
      Hedging(NewDefinition.ExtraLoadTarget, hedgeBoundsFor(NewDefinition)),
      Metrics(NewDefinition.Name, NewDefinition.TargetPercentile) {}

void ClassState::reconfigure(
    const configuration::ClassDefinition &NewDefinition,
    std::uint32_t MaxBudget) {
  this->Definition = NewDefinition;
  this->Budget.reconfigure(NewDefinition.ExtraLoadTarget, MaxBudget);
  this->Hedging.reconfigure(NewDefinition.ExtraLoadTarget,
                            hedgeBoundsFor(NewDefinition));
  this->Metrics.reconfigure(NewDefinition.TargetPercentile);
  this->IsCurrent = true;
}

} // namespace acaciacross::traffic
