#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_ATTEMPTCOUNTS_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_ATTEMPTCOUNTS_H

#include <cstdint>
#include <string>

namespace acaciacross::loadgenerator {

/// Attempts that entry VMs counted.
struct AttemptCounts {
  double First = 0;
  double Extra = 0;

  /// Adds what a page of GET /metrics states.
  void addPage(const std::string &Page);
};

} // namespace acaciacross::loadgenerator

#endif
