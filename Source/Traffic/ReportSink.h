#ifndef ACACIACROSS_TRAFFIC_REPORTSINK_H
#define ACACIACROSS_TRAFFIC_REPORTSINK_H

#include "Metrics/ClassReport.h"

#include <vector>

namespace acaciacross::traffic {

/// Receives the metrics of all classes. Called once, on any thread; must return
/// without blocking.
class ReportSink {
public:
  virtual ~ReportSink() = default;

  virtual void onReports(std::vector<metrics::ClassReport> Reports) = 0;
};

} // namespace acaciacross::traffic

#endif
