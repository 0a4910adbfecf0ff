#include "Traffic/ReportCollector.h"

#include <iterator>
#include <utility>

namespace acaciacross::traffic {

ReportCollector::ReportCollector(std::size_t ThreadCount,
                                 std::shared_ptr<ReportSink> Sink)
    : PendingCount(ThreadCount), Sink(std::move(Sink)) {}

void ReportCollector::add(std::vector<metrics::ClassReport> ThreadReports) {
  const std::lock_guard Guard(this->Mutex);
  std::move(ThreadReports.begin(), ThreadReports.end(),
            std::back_inserter(this->Reports));
  if (--this->PendingCount == 0)
    this->Sink->onReports(std::move(this->Reports));
}

} // namespace acaciacross::traffic
