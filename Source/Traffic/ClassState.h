#ifndef ACACIACROSS_TRAFFIC_CLASSSTATE_H
#define ACACIACROSS_TRAFFIC_CLASSSTATE_H

#include "Configuration/ClassDefinition.h"
#include "Limits/ExtraLoadBudget.h"
#include "Metrics/ClassMetrics.h"
#include "Retries/QuantileHedgePolicy.h"

#include <cstdint>

namespace acaciacross::traffic {

/// State of one class on a traffic thread. Running queries refer to it, so it
/// is kept when the class is removed from the configuration.
struct ClassState {
  ClassState(const configuration::ClassDefinition &NewDefinition,
             std::uint32_t MaxBudget);

  /// Applies changed targets; the budget, the latencies and the counts are
  /// kept.
  void reconfigure(const configuration::ClassDefinition &NewDefinition,
                   std::uint32_t MaxBudget);

  configuration::ClassDefinition Definition;
  limits::ExtraLoadBudget Budget;
  retries::QuantileHedgePolicy Hedging;
  metrics::ClassMetrics Metrics;
  std::uint64_t Running = 0;
  /// Whether the class is in the configuration in effect and belongs to this
  /// service.
  bool IsCurrent = true;
};

} // namespace acaciacross::traffic

#endif
