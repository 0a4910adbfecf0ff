#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_ARRIVAL_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_ARRIVAL_H

#include <chrono>
#include <cstddef>

namespace acaciacross::loadgenerator {

/// One request that is to be sent.
struct Arrival {
  /// Since the start of the run.
  std::chrono::microseconds SendAt{0};
  std::size_t ClassIndex = 0;
};

} // namespace acaciacross::loadgenerator

#endif
