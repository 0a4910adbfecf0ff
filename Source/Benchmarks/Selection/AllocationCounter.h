#ifndef ACACIACROSS_BENCHMARKS_SELECTION_ALLOCATIONCOUNTER_H
#define ACACIACROSS_BENCHMARKS_SELECTION_ALLOCATIONCOUNTER_H

#include <cstdint>

namespace acaciacross::benchmarks {

/// Counts the calls of operator new in the program that links it.
class AllocationCounter {
public:
  static std::uint64_t count();
};

} // namespace acaciacross::benchmarks

#endif
