#ifndef ACACIACROSS_METRICS_CLASSREPORT_H
#define ACACIACROSS_METRICS_CLASSREPORT_H

#include "Common/Identifiers.h"
#include "Common/ResultCode.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace acaciacross::metrics {

/// Copy of one class's metrics on this VM.
struct ClassReport {
  common::ClassName Name;
  common::ServiceName Service;

  /// Ends of requests since the start of the process.
  std::map<common::ResultCode, std::uint64_t> Outcomes;

  /// Of answered requests in the last one to two minutes; the quantiles match
  /// ClassMetrics::quantiles and are empty without answers.
  std::vector<std::chrono::nanoseconds> Latencies;
  /// The percentile that the class's target names.
  std::chrono::nanoseconds LatencyAtTarget{0};
  double MeanCoverage = 0.0;
  std::uint64_t Answers = 0;

  /// Since the start of the process.
  std::uint64_t FirstAttempts = 0;
  std::uint64_t ExtraAttempts = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t HedgesWon = 0;
  std::uint64_t FreeReplacements = 0;
  std::uint64_t Restarts = 0;

  /// Extra attempts that the budget holds.
  std::uint64_t BudgetLeft = 0;
  std::uint64_t Running = 0;
  /// Requests of all classes of the service that wait for their admission.
  std::uint64_t ServiceQueued = 0;

  double extraLoad() const {
    return this->FirstAttempts == 0
               ? 0.0
               : static_cast<double>(this->ExtraAttempts) /
                     static_cast<double>(this->FirstAttempts);
  }
};

} // namespace acaciacross::metrics

#endif
