#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_HEAPCOUNTER_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_HEAPCOUNTER_H

#include <cstdint>

namespace acaciacross::benchmarks {

/// Counts the calls of operator new and the heap memory in use of the program
/// that links it.
class HeapCounter {
public:
  /// Number of calls of operator new since the start.
  static std::uint64_t allocations();
  /// Usable size of all live blocks plus the allocator's header of each.
  static std::int64_t bytesInUse();
};

} // namespace acaciacross::benchmarks

#endif
