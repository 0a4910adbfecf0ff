#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_HEAPCOUNTER_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_HEAPCOUNTER_H

#include <cstdint>

namespace acaciacross::benchmarks {

/// Counts the calls of operator new, and the memory in use, of a program that
/// links it.
class HeapCounter {
public:
  static std::uint64_t allocations();
  /// Usable size of all blocks that are not freed, with the allocator's header
  /// of each.
  static std::int64_t bytesInUse();
};

} // namespace acaciacross::benchmarks

#endif
