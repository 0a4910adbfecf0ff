#ifndef ACACIACROSS_METRICS_CLASSREPORT_H
#define ACACIACROSS_METRICS_CLASSREPORT_H

#include "Common/Identifiers.h"
#include "Common/ResultCode.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace acaciacross::metrics {

/// Copy of the metrics of one class on this VM.
struct ClassReport {
  common::ClassName Name;
  common::ServiceName Service;

  /// Ended requests by result code since the start of the process.
  std::map<common::ResultCode, std::uint64_t> Outcomes;

  /// Latencies of answered requests in the last one to two minutes, one for
  /// each of ClassMetrics::quantiles; empty without answers.
  std::vector<std::chrono::nanoseconds> Latencies;
  /// Latency at the percentile of the latency target of the class.
  std::chrono::nanoseconds LatencyAtTargetPercentile{0};
  double MeanCoverage = 0.0;
  std::uint64_t Answers = 0;

  /// Since the start of the process.
  std::uint64_t FirstAttempts = 0;
  std::uint64_t ExtraAttempts = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t HedgesWon = 0;
  std::uint64_t FreeReplacements = 0;
  std::uint64_t Restarts = 0;

  /// Extra attempts that the extra-load budget still allows.
  std::uint64_t ExtraAttemptsLeft = 0;
  /// Queries of the class in progress.
  std::uint64_t Running = 0;
  /// Requests of all classes of the service that wait for admission.
  std::uint64_t QueuedServiceRequests = 0;

  /// Extra attempts for each first attempt.
  double extraLoad() const {
    return this->FirstAttempts == 0
               ? 0.0
               : static_cast<double>(this->ExtraAttempts) /
                     static_cast<double>(this->FirstAttempts);
  }
};

} // namespace acaciacross::metrics

#endif
