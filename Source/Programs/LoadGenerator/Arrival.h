#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_ARRIVAL_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_ARRIVAL_H

#include <chrono>
#include <cstddef>

namespace acaciacross::loadgenerator {

/// A request that has to be sent at a given time.
struct Arrival {
  /// Offset from the start of the run.
  std::chrono::microseconds SendAt{0};
  std::size_t ClassIndex = 0;
};

} // namespace acaciacross::loadgenerator

#endif
