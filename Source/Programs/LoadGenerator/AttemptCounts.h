#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_ATTEMPTCOUNTS_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_ATTEMPTCOUNTS_H

#include <cstdint>
#include <string>

namespace acaciacross::loadgenerator {

/// Numbers of attempts from the metrics of entry VMs.
struct AttemptCounts {
  double First = 0;
  double Extra = 0;

  /// Adds the counts of all classes on a page of GET /metrics.
  void addPage(const std::string &Page);
};

} // namespace acaciacross::loadgenerator

#endif
