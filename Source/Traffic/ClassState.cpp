#include "Traffic/ClassState.h"

namespace acaciacross::traffic {

namespace {

retries::HedgeBounds
boundsOf(const configuration::ClassDefinition &Definition) {
  retries::HedgeBounds Bounds;
  Bounds.Longest = Definition.LatencyTarget;
  return Bounds;
}

} // namespace

ClassState::ClassState(const configuration::ClassDefinition &Published,
                       std::uint32_t MaxBudget)
    : Definition(Published), Budget(Published.ExtraLoadTarget, MaxBudget),
      Hedging(Published.ExtraLoadTarget, boundsOf(Published)),
      Metrics(Published.Name, Published.TargetPercentile) {}

void ClassState::reconfigure(const configuration::ClassDefinition &Published,
                             std::uint32_t MaxBudget) {
  this->Definition = Published;
  this->Budget.reconfigure(Published.ExtraLoadTarget, MaxBudget);
  this->Hedging.reconfigure(Published.ExtraLoadTarget, boundsOf(Published));
  this->Metrics.reconfigure(Published.TargetPercentile);
  this->IsCurrent = true;
}

} // namespace acaciacross::traffic
