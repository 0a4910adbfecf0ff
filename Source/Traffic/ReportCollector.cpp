#include "Traffic/ReportCollector.h"

#include <iterator>
#include <utility>

namespace acaciacross::traffic {

ReportCollector::ReportCollector(std::size_t Expected,
                                 std::shared_ptr<ReportSink> Receiver)
    : Missing(Expected), Sink(std::move(Receiver)) {}

void ReportCollector::add(std::vector<metrics::ClassReport> Part) {
  const std::lock_guard Guard(this->Mutex);
  std::move(Part.begin(), Part.end(), std::back_inserter(this->Reports));
  if (--this->Missing == 0)
    this->Sink->onReports(std::move(this->Reports));
}

} // namespace acaciacross::traffic
