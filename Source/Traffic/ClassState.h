#ifndef ACACIACROSS_TRAFFIC_CLASSSTATE_H
#define ACACIACROSS_TRAFFIC_CLASSSTATE_H

#include "Configuration/ClassDefinition.h"
#include "Limits/ExtraLoadBudget.h"
#include "Metrics/ClassMetrics.h"
#include "Retries/QuantileHedgePolicy.h"

#include <cstdint>

namespace acaciacross::traffic {

/// What a traffic thread keeps for one class. Running queries refer to it, so
/// it stays when the class leaves the configuration.
struct ClassState {
  ClassState(const configuration::ClassDefinition &Published,
             std::uint32_t MaxBudget);

  /// Applies changed targets; budget, latencies and counts are kept.
  void reconfigure(const configuration::ClassDefinition &Published,
                   std::uint32_t MaxBudget);

  configuration::ClassDefinition Definition;
  limits::ExtraLoadBudget Budget;
  retries::QuantileHedgePolicy Hedging;
  metrics::ClassMetrics Metrics;
  std::uint64_t Running = 0;
  /// In the configuration in effect, and of this service.
  bool IsCurrent = true;
};

} // namespace acaciacross::traffic

#endif
