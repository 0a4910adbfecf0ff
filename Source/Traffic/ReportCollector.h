#ifndef ACACIACROSS_TRAFFIC_REPORTCOLLECTOR_H
#define ACACIACROSS_TRAFFIC_REPORTCOLLECTOR_H

#include "Traffic/ReportSink.h"

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace acaciacross::traffic {

/// Merges the reports of several traffic threads.
class ReportCollector {
public:
  /// ThreadCount: number of threads that will report, at least one.
  ReportCollector(std::size_t ThreadCount, std::shared_ptr<ReportSink> Sink);

  /// Adds the reports of one thread; the last call passes all reports to the
  /// sink. Thread-safe.
  void add(std::vector<metrics::ClassReport> ThreadReports);

private:
  std::mutex Mutex;
  std::size_t PendingCount;
  std::vector<metrics::ClassReport> Reports;
  std::shared_ptr<ReportSink> Sink;
};

} // namespace acaciacross::traffic

#endif
