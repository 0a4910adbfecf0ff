#ifndef ACACIACROSS_TRAFFIC_REPORTCOLLECTOR_H
#define ACACIACROSS_TRAFFIC_REPORTCOLLECTOR_H

#include "Traffic/ReportSink.h"

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace acaciacross::traffic {

/// Puts the reports of several traffic threads together.
class ReportCollector {
public:
  /// Expected: threads that will report, at least one.
  ReportCollector(std::size_t Expected, std::shared_ptr<ReportSink> Receiver);

  /// Thread-safe. The last one gives everything to the receiver.
  void add(std::vector<metrics::ClassReport> Part);

private:
  std::mutex Mutex;
  std::size_t Missing;
  std::vector<metrics::ClassReport> Reports;
  std::shared_ptr<ReportSink> Sink;
};

} // namespace acaciacross::traffic

#endif
