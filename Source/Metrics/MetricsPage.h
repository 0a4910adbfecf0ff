#ifndef ACACIACROSS_METRICS_METRICSPAGE_H
#define ACACIACROSS_METRICS_METRICSPAGE_H

#include "Metrics/ClassReport.h"

#include <span>
#include <string>

namespace acaciacross::metrics {

/// Formats class reports in the Prometheus text format, version 0.0.4.
class MetricsPage {
public:
  static std::string render(std::span<const ClassReport> Reports);
};

} // namespace acaciacross::metrics

#endif
